package integration

import (
	"fmt"
	"net"
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

// programs is the folder of the built programs.
var programs string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "mulberryspoke")
	if err != nil {
		panic(err)
	}
	programs = folder
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

// process is a started program.
type process struct {
	name string
	args []string
	log  *os.File

	mutex sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
}

func startProcess(t *testing.T, name, program string, args ...string) *process {
	t.Helper()
	log, err := os.Create(filepath.Join(t.TempDir(), name+".log"))
	require.NoError(t, err)
	p := &process{name: name, args: append([]string{program}, args...), log: log}
	p.start(t)
	t.Cleanup(func() {
		p.signal(syscall.SIGKILL)
		<-p.ended
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
	cmd := exec.Command(filepath.Join(programs, p.args[0]), p.args[1:]...)
	cmd.Stderr = p.log
	cmd.Stdout = p.log
	require.NoError(t, cmd.Start())
	ended := make(chan struct{})
	p.cmd = cmd
	p.ended = ended
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

// exits waits for the process to end and returns its exit code.
func (p *process) exits(t *testing.T, within time.Duration) int {
	t.Helper()
	select {
	case <-p.ended:
		return p.cmd.ProcessState.ExitCode()
	case <-time.After(within):
		t.Fatalf("%s did not end within %s", p.name, within)
		return 0
	}
}

// firstPort is below the range from which the kernel takes ports for outgoing
// connections, so that none of those can take a port that a test has chosen.
const (
	firstPort = 17000
	portCount = 14000
)

var ports struct {
	sync.Mutex
	next int
}

// freeAddress returns a loopback address that no other test of this run uses.
func freeAddress(t *testing.T) string {
	t.Helper()
	ports.Lock()
	defer ports.Unlock()
	for range portCount {
		ports.next++
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+(os.Getpid()+ports.next)%portCount)
		// Listening to find out would leave the port taken for a moment if a
		// process is being started meanwhile, which inherits the socket.
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return address
		}
		_ = conn.Close()
	}
	t.Fatal("no port is free")
	return ""
}
