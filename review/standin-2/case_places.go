package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// placesConnections is above the number of callers' connections that the project derives from
// the sheet (1,406), and below the descriptors of a machine (4,100).
const placesConnections = 2000

// playPlaces plays callers that nobody controls: many chunked bodies at once, in very small
// chunks, that stop just short of their end and stay open, while ordinary callers try.
func playPlaces(record *recorder, trouble bool) string {
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
	target := h.inZone("south-c")[0]
	if trouble {
		record.line("%d connections to %s send a head of %d bytes and a body in chunks of one byte that stops before its end", placesConnections, target.name, len(plainHead()))
		watch := &memoryWatch{harness: h, machine: target}
		go func() {
			for i := range placesConnections {
				go flood(watch, plainHead(), i)
				time.Sleep(time.Millisecond)
			}
		}()
	}
	time.Sleep(3 * time.Second)
	const callers, playTime = 10, 30 * time.Second
	var mutex sync.Mutex
	start := time.Now()
	answeredAt, longest, longestAt := start, time.Duration(0), start
	asked, answered := 0, 0
	notReady := 0
	var running sync.WaitGroup
	for range callers {
		running.Go(func() {
			for time.Since(start) < playTime {
				_, got := h.ask(target, "GET", "/look/1", "key-kept", 2500*time.Millisecond)
				mutex.Lock()
				asked++
				if got.err == nil {
					answered++
					if gap := time.Since(answeredAt); gap > longest {
						longest, longestAt = gap, answeredAt
					}
					answeredAt = time.Now()
				}
				mutex.Unlock()
				time.Sleep(500 * time.Millisecond)
			}
		})
	}
	for time.Since(start) < playTime {
		if !target.isReady() {
			notReady++
			record.line("%s isn't ready", target.name)
		}
		time.Sleep(time.Second)
	}
	running.Wait()
	if gap := time.Since(answeredAt); gap > longest {
		longest, longestAt = gap, answeredAt
	}
	record.line("%d callers: %d of %d requests got an answer; the longest time without any was %.1f s from %.1f s on; %s wasn't ready %d times", callers, answered, asked, longest.Seconds(), longestAt.Sub(record.start).Seconds(), target.name, notReady)
	const contactTime = 3 * time.Second
	if longest > contactTime && notReady == 0 {
		return fmt.Sprintf("RECOVER: %s said that it was ready and took no new channel of %d callers for %.1f s", target.name, callers, longest.Seconds())
	}
	return ""
}
