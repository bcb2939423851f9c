package main

import (
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"
)

// playSignals plays a planned stop of a machine whose SIGTERM comes twice, a second apart.
func playSignals(record *recorder, trouble bool) string {
	h := newHarness(record, map[string]int{"south-a": 2, "south-b": 3, "south-c": 1, "south-d": 2}, 284)
	defer h.saveLogs(os.Getenv("LOGS"))
	zones := []string{"south-a", "south-b", "south-c", "south-d"}
	for i := range 4 {
		h.startEngine(fmt.Sprintf("i-lm%02d", i), zones[i], "v1")
	}
	h.store.put("op", "config", streamManifest(false))
	h.startAll()
	target := h.inZone("south-d")[0]
	const streams = 24
	var mutex sync.Mutex
	whole, cut := 0, 0
	var running sync.WaitGroup
	for i := range streams {
		running.Go(func() {
			time.Sleep(time.Duration(i) * 20 * time.Millisecond)
			got := h.askStream(target, 12*time.Second)
			record.line("client: %s at %s: status %d, %d events,%s err %v", got.id, target.name, got.status, got.events, got.text, got.err)
			mutex.Lock()
			defer mutex.Unlock()
			if got.events == streamEvents && got.err == nil {
				whole++
			} else {
				cut++
			}
		})
	}
	time.Sleep(1500 * time.Millisecond)
	signal := func() {
		_ = target.command.Process.Signal(syscall.SIGTERM)
		record.line("platform: SIGTERM to %s", target.name)
	}
	signal()
	if trouble {
		time.Sleep(time.Second)
		signal()
	}
	stopped := time.Now()
	select {
	case err := <-target.exited:
		record.line("%s ended %.1f s after its last SIGTERM: %v", target.name, time.Since(stopped).Seconds(), err)
	case <-time.After(9 * time.Second):
		record.line("%s didn't end within the grace period", target.name)
	}
	running.Wait()
	record.line("%d of %d streams were whole, %d were cut", whole, streams, cut)
	if cut > 0 {
		return fmt.Sprintf("LOST: %d of %d streams that workers ran were cut without a complete answer in a planned stop", cut, streams)
	}
	return ""
}

// streamManifest returns a manifest with one route of streams.
func streamManifest(isResumable bool) map[string]any {
	manifest := manifestOf(5, "lm", "key-kept")
	manifest["routes"] = []any{map[string]any{
		"name": "r-chat", "host": callersHost, "prefix": "/chat/", "kind": "streaming", "timeoutMs": 12000, "targetLatencyMs": 500, "priority": 0, "service": "lm", "maxAttempts": 2, "public": false, "sticky": true, "resumable": isResumable, "gapAimMs": 500,
	}}
	manifest["services"] = []any{map[string]any{
		"name": "lm", "healthPath": "/health", "maxConnections": 370, "protocol": "h1", "tls": false,
		"engine": map[string]any{"slots": 64, "kvCapacity": 550405, "kvTokenBytes": 18432, "linkMbps": 280000.0, "moves": true, "backups": true, "stride": 6, "most": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handleS": 5.0, "models": []any{map[string]any{"name": "m"}}},
	}}
	return manifest
}
