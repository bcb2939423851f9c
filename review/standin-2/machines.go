package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// machine is an edge machine with one process of the project.
type machine struct {
	name, zone            string
	front, ready, control string
	metrics               int
	store                 *storeGate
	// toPeers are the relays through which this machine reaches the others, by name.
	toPeers  map[string]*gate
	settings string
	command  *exec.Cmd
	exited   chan error
}

// harness is a small deployment on loopback.
type harness struct {
	folder   string
	program  string
	store    *store
	cloud    string
	machines []*machine
	record   *recorder
	memoryMB int
	// storeIsAway keeps servers from writing to the store.
	storeIsAway atomic.Bool
}

// recorder writes record.txt.
type recorder struct {
	mutex sync.Mutex
	file  *os.File
	start time.Time
}

func newRecorder(path string) *recorder {
	file, err := os.Create(path)
	if err != nil {
		fatal("record: %v", err)
	}
	return &recorder{file: file, start: time.Now()}
}

func (r *recorder) line(format string, args ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	text := fmt.Sprintf("%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
	_, _ = r.file.WriteString(text)
}

// exitCannotRun is the exit code of a case that could not run.
const exitCannotRun = 2

var cleanups []func()

func runCleanups() {
	for i := len(cleanups) - 1; i >= 0; i-- {
		cleanups[i]()
	}
	cleanups = nil
}

func fatal(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "the case could not run: "+format+"\n", args...)
	runCleanups()
	os.Exit(exitCannotRun)
}

// Ports are taken from below the range that the kernel gives to outgoing connections, so that
// one that is free stays free.
const (
	firstPort = 12000
	lastPort  = 31000
)

var nextPort = firstPort + rand.IntN(lastPort-firstPort)

// freePorts returns ports of loopback on which nothing listens.
func freePorts(count int) []int {
	var ports []int
	for tries := 0; len(ports) < count; tries++ {
		if tries > lastPort-firstPort {
			fatal("there are no free ports")
		}
		nextPort++
		if nextPort > lastPort {
			nextPort = firstPort
		}
		listener, err := net.Listen("tcp", local(nextPort))
		if err != nil {
			continue
		}
		_ = listener.Close()
		ports = append(ports, nextPort)
	}
	return ports
}

func local(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// newHarness prepares machines in zones, with the counts of a sheet.
func newHarness(record *recorder, zones map[string]int, memoryMB int) *harness {
	folder, err := os.MkdirTemp("", "review2-")
	if err != nil {
		fatal("%v", err)
	}
	cleanups = append(cleanups, func() { _ = os.RemoveAll(folder) })
	program, err := filepath.Abs("target/mulberryspoke")
	if err != nil {
		fatal("%v", err)
	}
	if _, err := os.Stat(program); err != nil {
		fatal("%v", err)
	}
	h := &harness{folder: folder, program: program, store: newStore(), record: record, memoryMB: memoryMB}
	h.startCloud()
	for _, zone := range []string{"south-a", "south-b", "south-c", "south-d"} {
		for i := range zones[zone] {
			ports := freePorts(4)
			h.machines = append(h.machines, &machine{
				name: fmt.Sprintf("edge-%s-%d", zone, i+1), zone: zone, front: local(ports[0]), ready: local(ports[1]), control: local(ports[2]), metrics: ports[3], toPeers: make(map[string]*gate),
			})
		}
	}
	for _, m := range h.machines {
		h.prepare(m)
	}
	return h
}

func (h *harness) startCloud() {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fatal("%v", err)
	}
	h.cloud = listener.Addr().String()
	go func() {
		_ = http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			h.record.line("cloud: %s %s holder %s generation %s", r.Method, r.URL.Path, r.Header.Get("Mulberryspoke-Duty-Holder"), r.Header.Get("Mulberryspoke-Fence-Token"))
		}))
	}()
}

// prepare opens the relays and the store's gate of a machine.
func (h *harness) prepare(m *machine) {
	relays := make(map[string]string)
	for _, peer := range h.machines {
		if peer == m {
			continue
		}
		relay := &gate{serve: relayTo(peer.control)}
		if err := relay.open(local(freePorts(1)[0])); err != nil {
			fatal("%v", err)
		}
		m.toPeers[peer.name] = relay
		relays[peer.control] = relay.address
	}
	m.store = &storeGate{store: h.store}
	m.store.mapRow = func(row storeRow) storeRow { return mapAddresses(row, relays) }
	m.store.gate.serve = httpServe(m.store)
	if err := m.store.open(local(freePorts(1)[0])); err != nil {
		fatal("%v", err)
	}
}

// mapAddresses replaces the addresses of machines in a row by those of relays.
func mapAddresses(row storeRow, relays map[string]string) storeRow {
	if row.Table == "op" || row.Table == "servers" || len(row.Value) == 0 {
		return row
	}
	text := string(row.Value)
	for address, relay := range relays {
		text = strings.ReplaceAll(text, `"`+address+`"`, `"`+relay+`"`)
	}
	row.Value = []byte(text)
	return row
}

func (h *harness) settingsOf(m *machine) string {
	return fmt.Sprintf(`node = %q
role = "entry"
machineClass = "edge"
serves = ["edge","control_plane"]
ip = "127.0.0.1"
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
south-a = "vn-south"
south-b = "vn-south"
south-c = "vn-south"
south-d = "vn-south"
[listen]
front = %q
ready = %q
control = %q
[limits]
cpuShare = 0.4
cores = 1
memoryMb = %d
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
`, m.name, m.zone, m.metrics, m.metrics, m.front, m.ready, m.control, h.memoryMB, m.store.address, h.cloud)
}

// start starts the process of a machine with the command of the deploy file.
func (h *harness) start(m *machine) {
	m.settings = filepath.Join(h.folder, m.name+".toml")
	if err := os.WriteFile(m.settings, []byte(h.settingsOf(m)), 0o600); err != nil {
		fatal("%v", err)
	}
	log, err := os.Create(filepath.Join(h.folder, m.name+".log"))
	if err != nil {
		fatal("%v", err)
	}
	m.command = exec.Command(h.program, "platform")
	m.command.Env = []string{"MULBERRYSPOKE_BOOT=" + m.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	m.command.Stdout, m.command.Stderr = log, log
	if err := m.command.Start(); err != nil {
		fatal("%v", err)
	}
	m.exited = make(chan error, 1)
	command := m.command
	go func(exited chan error) { exited <- command.Wait() }(m.exited)
	cleanups = append(cleanups, func() { _ = command.Process.Kill() })
	h.record.line("platform: %s starts %q", m.name, "mulberryspoke platform")
}

// isReady asks the readiness address as the balancer does.
func (m *machine) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + m.ready + "/api/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (h *harness) awaitReady() {
	deadline := time.Now().Add(15 * time.Second)
	for _, m := range h.machines {
		for !m.isReady() {
			if time.Now().After(deadline) {
				h.saveLogs(os.Getenv("LOGS"))
				fatal("%s isn't ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// startAll starts all machines until all links between them lead through relays. A machine
// that is greeted by another one before it has read the list of machines links to it directly,
// and the harness could not cut that link.
func (h *harness) startAll() {
	const maxTries = 6
	for try := 1; ; try++ {
		for _, m := range h.machines {
			h.start(m)
		}
		h.awaitReady()
		time.Sleep(settleTime)
		if h.directLinks() == 0 {
			return
		}
		if try == maxTries {
			fatal("machines have direct links")
		}
		h.record.line("harness: direct links between machines, starting anew")
		for _, m := range h.machines {
			_ = m.command.Process.Kill()
			<-m.exited
		}
	}
}

const settleTime = 2 * time.Second

// directLinks counts the connections to control addresses that no relay has opened.
func (h *harness) directLinks() int {
	data, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		fatal("%v", err)
	}
	isControl := make(map[string]bool)
	for _, m := range h.machines {
		_, port, _ := net.SplitHostPort(m.control)
		number, _ := strconv.Atoi(port)
		isControl[fmt.Sprintf("0100007F:%04X", number)] = true
	}
	const established, relays = "01", "0200007F"
	count := 0
	for _, line := range strings.Split(string(data), "\n") {
		fields := strings.Fields(line)
		if len(fields) > 3 && fields[3] == established && isControl[fields[2]] && !strings.HasPrefix(fields[1], relays) {
			count++
		}
	}
	return count
}

// cutOff cuts machines off from the store and from all machines outside the group.
func (h *harness) cutOff(group ...*machine) { h.forEachPath(group, (*gate).cut) }

// heal ends that.
func (h *harness) heal(group ...*machine) {
	h.forEachPath(group, func(g *gate) {
		if err := g.heal(); err != nil {
			fatal("heal: %v", err)
		}
	})
}

func (h *harness) forEachPath(group []*machine, act func(*gate)) {
	isIn := make(map[string]bool)
	for _, m := range group {
		isIn[m.name] = true
	}
	for _, m := range h.machines {
		if isIn[m.name] {
			act(&m.store.gate)
		}
		for peer, relay := range m.toPeers {
			if isIn[m.name] != isIn[peer] {
				act(relay)
			}
		}
	}
}

// saveLogs copies the processes' logs beside a record, for a look at a failure.
func (h *harness) saveLogs(to string) {
	if to == "" {
		return
	}
	for _, m := range h.machines {
		data, err := os.ReadFile(filepath.Join(h.folder, m.name+".log"))
		if err == nil {
			_ = os.WriteFile(filepath.Join(to, m.name+".log"), data, 0o600)
		}
	}
}

func mustJSON(value any) string {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return string(data)
}
