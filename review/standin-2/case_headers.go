package main

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// floodConnections is about the number of descriptors that a machine of the sheet has for
	// callers; it has 4,100 in all.
	floodConnections = 1400
	// headBytes is below maxHeaderBytes (16,384) of the manifest.
	headBytes = 16000
)

// playHeaders plays callers that nobody controls, at two of eight machines: many chunked bodies
// at once, in very small chunks, that stop just short of their end and stay open. Their heads are
// of legal size and have many short fields.
func playHeaders(record *recorder, trouble bool) string {
	h := newHarness(record, map[string]int{"south-a": 2, "south-b": 3, "south-c": 1, "south-d": 2}, 284)
	defer h.saveLogs(os.Getenv("LOGS"))
	h.startWorker("i-a1", "app-a", "south-a")
	h.startWorker("i-a2", "app-a", "south-b")
	h.startWorker("i-b1", "app-b", "south-b")
	manifest := manifestOf(5, "app-b", "key-kept")
	for _, route := range manifest["routes"].([]any) {
		route.(map[string]any)["timeoutMs"] = 15000
	}
	h.store.put("op", "config", manifest)
	h.startAll()
	flooded := h.inZone("south-a")
	var watched []*memoryWatch
	for _, m := range flooded {
		watch := &memoryWatch{harness: h, machine: m}
		watched = append(watched, watch)
		go watch.run()
		record.line("%s has %d MB resident in calm, of %d", m.name, residentMB(m.command.Process.Pid), h.memoryMB)
		if trouble {
			head := floodHead()
			record.line("%d connections to %s send a head of %d bytes with %d fields each, and a body in chunks of one byte that stops before its end", floodConnections, m.name, len(head), bytes.Count(head, []byte("\n"))-2)
			go func() {
				for i := range floodConnections {
					go flood(watch, head, i)
					time.Sleep(time.Millisecond)
				}
			}()
		}
	}
	const playTime = 20 * time.Second
	asked, answered := make(map[string]int), make(map[string]int)
	for start := time.Now(); time.Since(start) < playTime; time.Sleep(500 * time.Millisecond) {
		for _, m := range flooded {
			asked[m.name]++
			if _, got := h.ask(m, "GET", "/look/1", "key-kept", 2500*time.Millisecond); got.status == 200 {
				answered[m.name]++
			}
		}
	}
	broken := ""
	for _, watch := range watched {
		name, kills := watch.machine.name, watch.kills.Load()
		record.line("%s had %d MB resident at most, of %d, and was killed %d times; %d of %d ordinary requests were answered", name, watch.peak.Load(), h.memoryMB, kills, answered[name], asked[name])
		if kills > 0 {
			broken += fmt.Sprintf("%s took %d MB of %d and was killed %d times; ", name, watch.peak.Load(), h.memoryMB, kills)
		}
	}
	return broken
}

// memoryWatch is the platform at one machine: "A process that exceeds memoryMb is killed", and
// "A process that exits or is killed is restarted after a short delay".
type memoryWatch struct {
	harness *harness
	machine *machine
	peak    atomic.Int64
	kills   atomic.Int64
	// heads counts the heads sent to the process that runs now.
	heads atomic.Int64
}

func (w *memoryWatch) run() {
	const restartDelay = 500 * time.Millisecond
	for {
		pid := w.machine.command.Process.Pid
		now := residentMB(pid)
		w.peak.Store(max(now, w.peak.Load()))
		if now > int64(w.harness.memoryMB) {
			w.harness.record.line("platform: %s has %d MB resident of %d after %d such heads, and is killed", w.machine.name, now, w.harness.memoryMB, w.heads.Load())
			w.kills.Add(1)
			_ = w.machine.command.Process.Kill()
			<-w.machine.exited
			time.Sleep(restartDelay)
			w.heads.Store(0)
			w.harness.start(w.machine)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// residentMB returns the resident memory of a process.
func residentMB(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kilobytes, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kilobytes >> 10
		}
	}
	return 0
}

// plainHead returns the head of a request whose body has no announced length.
func plainHead() []byte { return append(headFields(), "\r\n"...) }

func headFields() []byte {
	return fmt.Appendf(nil, "POST /look/2 HTTP/1.1\r\nHost: %s\r\nMulberryspoke-Attempt-Id: %%016x\r\nMulberryspoke-Deadline-Ms: 15000\r\nAuthorization: Bearer key-kept\r\nTransfer-Encoding: chunked\r\n", callersHost)
}

// floodHead returns the head of such a request with many short fields besides.
func floodHead() []byte {
	var head bytes.Buffer
	head.Write(headFields())
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789!#$&'*+-.^_`|~"
	for _, a := range letters {
		for _, b := range letters {
			for _, c := range "abcd" {
				if head.Len() > headBytes {
					head.WriteString("\r\n")
					return head.Bytes()
				}
				fmt.Fprintf(&head, "%c%c%c:\r\n", a, b, c)
			}
		}
	}
	return head.Bytes()
}

// flood sends one request whose body doesn't end, again if the connection is closed.
func flood(watch *memoryWatch, head []byte, number int) {
	id := uint64(0xf000_0000_0000_0000) + uint64(number)<<16
	for {
		conn, err := net.DialTimeout("tcp", watch.machine.front, time.Second)
		if err != nil {
			time.Sleep(time.Second)
			continue
		}
		_, _ = conn.Write(bytes.Replace(head, []byte("%016x"), []byte(fmt.Sprintf("%016x", id)), 1))
		id++
		watch.heads.Add(1)
		for range 60 {
			if _, err := conn.Write([]byte("1\r\nx\r\n")); err != nil {
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
		_ = conn.SetReadDeadline(time.Now().Add(20 * time.Second))
		_, _ = conn.Read(make([]byte, 512))
		_ = conn.Close()
	}
}
