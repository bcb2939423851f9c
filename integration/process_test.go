package integration

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// programFolder holds the programs under test, which TestMain builds.
var programFolder string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "mulberryspoke")
	if err != nil {
		panic(err)
	}
	programFolder = folder
	args := []string{"build", "-o", folder + "/"}
	if os.Getenv("MULBERRYSPOKE_RACE") != "" {
		args = append(args, "-race")
	}
	build := exec.Command("go", append(args, "../cmd/...")...)
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// process is a program that a test runs, and can kill and start again.
type process struct {
	name string
	args []string
	log  *os.File

	mutex  sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

func startProcess(t *testing.T, name, program string, args ...string) *process {
	t.Helper()
	log, err := os.Create(filepath.Join(t.TempDir(), name+".log"))
	require.NoError(t, err)
	p := &process{name: name, args: append([]string{program}, args...), log: log}
	p.start(t)
	t.Cleanup(func() {
		p.signal(syscall.SIGKILL)
		<-p.exited
		if text, _ := os.ReadFile(log.Name()); strings.Contains(string(text), "DATA RACE") {
			t.Errorf("%s has a data race:\n%s", name, text)
		}
		if t.Failed() && os.Getenv("MULBERRYSPOKE_SHOW_LOGS") != "" {
			text, _ := os.ReadFile(log.Name())
			t.Logf("log of %s:\n%s", name, text)
		}
		_ = log.Close()
	})
	return p
}

func (p *process) start(t *testing.T) {
	t.Helper()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	cmd := exec.Command(filepath.Join(programFolder, p.args[0]), p.args[1:]...)
	cmd.Stderr = p.log
	cmd.Stdout = p.log
	require.NoError(t, cmd.Start())
	ended := make(chan struct{})
	p.cmd = cmd
	p.exited = ended
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
}

func (p *process) signal(signal syscall.Signal) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	_ = p.cmd.Process.Signal(signal)
}

// waitExit waits for the process to exit and returns its exit code.
func (p *process) waitExit(t *testing.T, within time.Duration) int {
	t.Helper()
	select {
	case <-p.exited:
		return p.cmd.ProcessState.ExitCode()
	case <-time.After(within):
		t.Fatalf("%s did not exit within %s", p.name, within)
		return 0
	}
}
