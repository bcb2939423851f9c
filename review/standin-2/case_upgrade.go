package main

import (
	"fmt"
	"os"
	"slices"
	"sync"
	"time"
)

// playUpgrade plays workers that crash and come back under their names with the next version of
// their software, while the store is down: two of twelve, and later one of them again and
// another one.
func playUpgrade(record *recorder, trouble bool) string {
	h := newHarness(record, map[string]int{"south-a": 2, "south-b": 3, "south-c": 1, "south-d": 2}, 284)
	defer h.saveLogs(os.Getenv("LOGS"))
	zones := []string{"south-a", "south-b", "south-c", "south-d"}
	var engines []*engine
	for i := range 12 {
		engines = append(engines, h.startEngine(fmt.Sprintf("i-lm%02d", i), zones[i%len(zones)], "v1"))
	}
	h.store.put("op", "config", streamManifest(true))
	h.startAll()

	const playTime = 20 * time.Second
	var mutex sync.Mutex
	mixed, whole, began := 0, 0, 0
	start := time.Now()
	var running sync.WaitGroup
	for i := range 160 {
		running.Go(func() {
			time.Sleep(time.Duration(i) * 25 * time.Millisecond)
			for time.Since(start) < playTime {
				m := h.machines[i%len(h.machines)]
				got := h.askStream(m, 12*time.Second)
				slices.Sort(got.versions)
				versions := slices.Compact(got.versions)
				mutex.Lock()
				began++
				if got.events == streamEvents && got.err == nil {
					whole++
				}
				if len(versions) > 1 {
					mixed++
				}
				mutex.Unlock()
				record.line("client: %s at %s: status %d, %d events,%s err %v", got.id, m.name, got.status, got.events, got.text, got.err)
			}
		})
	}
	at := func(seconds float64) {
		time.Sleep(time.Until(start.Add(time.Duration(seconds * float64(time.Second)))))
	}
	if trouble {
		at(6.0)
		h.storeIsAway.Store(true)
		for _, m := range h.machines {
			m.store.cut()
		}
		record.line("the store is down")
		at(6.2)
		crashAndReturn(engines[:2])
		at(10.0)
		crashAndReturn(engines[1:3])
		at(10.5)
		h.storeIsAway.Store(false)
		for _, m := range h.machines {
			if err := m.store.heal(); err != nil {
				fatal("%v", err)
			}
		}
		record.line("the store is back")
	}
	running.Wait()
	record.line("%d streams, %d of them whole; %d hold events of two software versions", began, whole, mixed)
	const allowed = 2
	if mixed > allowed {
		return fmt.Sprintf("ORDER: %d answers hold events of workers of two software versions", mixed)
	}
	return ""
}

// crashAndReturn has workers crash that come back after half a second, under the names that they
// had, with the next version of their software.
func crashAndReturn(engines []*engine) {
	for _, e := range engines {
		e.crash()
		time.AfterFunc(500*time.Millisecond, func() { e.begin("v2") })
	}
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
