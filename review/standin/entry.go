package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Entry is a machine that runs the project's own program, as a separate process.
type Entry struct {
	Name, Zone                           string
	Front, Ready, Control                string
	settingsPath, logPath, program, root string

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	// inRotation is whether the platform forwards new channels to the machine.
	inRotation bool
	misses     int
}

// Ports of a machine, the same on all of them, and of a worker. They are outside the range
// from which the system takes the ports of outgoing channels.
const (
	frontPort   = 8221
	readyPort   = 8224
	controlPort = 8229
	ownPort     = 7600
	workerPort  = 8080
)

// freeAddress returns a loopback address of its own at which the ports are free.
func freeAddress(ports ...int) string {
	for {
		ip := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))
		free := true
		for _, port := range ports {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			free = free && err == nil
			if err == nil {
				_ = listener.Close()
			}
		}
		if free {
			return ip
		}
	}
}

// Settings are what a case sets for its machines.
type Settings struct {
	Zones           []string
	Store, CloudAPI string
	Contracts       string
}

// NewEntry writes the settings of a machine as DEPLOY.md shows them, with the bounds of
// doinho-mound.
func NewEntry(root, dir, name, zone string, s Settings) (*Entry, error) {
	e := &Entry{Name: name, Zone: zone, root: root, program: filepath.Join(root, "target", "mulberryspoke")}
	ip := freeAddress(frontPort, readyPort, controlPort, ownPort)
	e.Front, e.Ready, e.Control = fmt.Sprintf("%s:%d", ip, frontPort), fmt.Sprintf("%s:%d", ip, readyPort), fmt.Sprintf("%s:%d", ip, controlPort)
	e.settingsPath, e.logPath = filepath.Join(dir, name+".toml"), filepath.Join(dir, name+".log")
	zones := ""
	for _, z := range s.Zones {
		zones += z + " = \"vn-south\"\n"
	}
	text := fmt.Sprintf(`node = %q
role = "entry"
machineClass = "edge"
serves = ["edge","control_plane"]
ip = %q
zone = %q
region = "vn-south"
portRange = [%d,%d]
seeds = []
bootstrap = true
inFaultBudget = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","quota","leader","platform"]
[zones]
%s[listen]
front = %q
ready = %q
control = %q
[limits]
cpuShare = 0.4
cores = 1
memoryMb = 284
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seedLagS = 3
addrReuseS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lostSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
maxStretchMs = 5000
strictRevoke = false
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetExtra = 56
quotaWindowS = 8
quotaOverage = 0.1
quotaSlack = 140000
requireFencing = false
leaseMs = 3000
thawMs = 300
usageWindowS = 5
usageOff = 0.05
usageLateS = 10
recoverS = 12
passMs = 120
againS = 10
[platform]
address = %q
form = "table"
writesPerS = 400
readsPerS = 2000
txMs = 5.0
partitionWritesS = 200
rowBytes = 65536
across = false
historyS = 20
blobBytes = 8388608
blobMs = 25.0
blobMbS = 80.0
[cloudApi]
address = %q
ratePerS = 50.0
duties = ["usage_report","autoscale"]
dutyPerS = 50.0
`, name, ip, zone, ownPort, ownPort+15, zones, e.Front, e.Ready, e.Control, s.Store, s.CloudAPI)
	return e, os.WriteFile(e.settingsPath, []byte(text), 0o600)
}

// Start starts the process with the command of the deploy file.
func (e *Entry) Start() error {
	log, err := os.OpenFile(e.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(e.program, "platform")
	command.Dir = e.root
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8", "MULBERRYSPOKE_BOOT=" + e.settingsPath}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() { _ = command.Wait(); close(exited) }()
	e.mu.Lock()
	e.command, e.exited = command, exited
	e.mu.Unlock()
	return nil
}

// Signal sends a signal to the process.
func (e *Entry) Signal(signal os.Signal) {
	e.mu.Lock()
	command := e.command
	e.mu.Unlock()
	if command != nil {
		_ = command.Process.Signal(signal)
	}
}

// Kill kills the process and waits for its end.
func (e *Entry) Kill() {
	e.mu.Lock()
	command, exited := e.command, e.exited
	e.command = nil
	e.mu.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Signal(syscall.SIGCONT)
	_ = command.Process.Kill()
	<-exited
}

// InRotation reports whether new channels are forwarded to the machine.
func (e *Entry) InRotation() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.inRotation
}

// probe asks once whether the machine is ready. Two misses take it out.
func (e *Entry) probe() {
	client := http.Client{Timeout: 900 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + e.Ready + "/api/ready")
	ready := err == nil && response.StatusCode == http.StatusOK
	if err == nil {
		_ = response.Body.Close()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if ready {
		e.misses, e.inRotation = 0, true
		return
	}
	e.misses++
	if e.misses >= 2 {
		e.inRotation = false
	}
}

// LogLines returns the lines of the process's log that hold all of the texts.
func (e *Entry) LogLines(texts ...string) []string {
	data, _ := os.ReadFile(e.logPath)
	var lines []string
	for _, line := range strings.Split(string(data), "\n") {
		holds := line != ""
		for _, text := range texts {
			holds = holds && strings.Contains(line, text)
		}
		if holds {
			lines = append(lines, line)
		}
	}
	return lines
}
