package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// worker is a stand-in of a worker of a plain service.
type worker struct {
	id, service, address string
	record               *recorder
	// work is how long a request takes.
	work time.Duration

	mutex sync.Mutex
	// runs counts the runs by attempt ID.
	runs    map[string]int
	running atomic.Int64
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("Mulberryspoke-Attempt-Id")
	header := rw.Header()
	header.Set("Mulberryspoke-Attempt-Id", attempt)
	if r.URL.Path == "/health" {
		header.Set("Mulberryspoke-Instance-Id", w.id)
		return
	}
	if expected := r.Header.Get("Mulberryspoke-Expect-Instance"); expected != "" && expected != w.id {
		header.Set("Mulberryspoke-Instance-Id", w.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	if attempt == "" {
		header.Set("Mulberryspoke-Not-Executed", "1")
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mutex.Lock()
	w.runs[attempt]++
	w.mutex.Unlock()
	running := w.running.Add(1)
	defer w.running.Add(-1)
	w.record.line("server %s (%s): runs %s %s of %s, tenant %s", w.id, w.service, r.Method, r.URL.Path, attempt, r.Header.Get("Mulberryspoke-Tenant"))
	time.Sleep(w.work)
	header.Set("Mulberryspoke-Server-Stamp", fmt.Sprintf("stamp.%s.%s", w.id, attempt))
	header.Set("Mulberryspoke-Server-Load", fmt.Sprintf("%d,0,6", running))
	header.Set("Content-Type", "text/plain")
	_, _ = fmt.Fprintf(rw, "%s answers %s for %s\n", w.id, attempt, r.Header.Get("Mulberryspoke-Tenant"))
}

// startWorker starts a worker that registers itself in the store.
func (h *harness) startWorker(id, service, zone string) *worker {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fatal("%v", err)
	}
	w := &worker{id: id, service: service, address: listener.Addr().String(), record: h.record, work: 30 * time.Millisecond, runs: make(map[string]int)}
	go func() { _ = http.Serve(listener, w) }()
	born := time.Now().UnixMilli()
	go func() {
		for sequence := 1; ; sequence++ {
			h.store.put("servers", id, map[string]any{
				"service": service, "address": w.address, "zone": zone, "version": "v1", "slots": 6, "state": "ready", "coldRemainingMs": 0, "sequence": sequence, "born": born,
			})
			time.Sleep(1200 * time.Millisecond)
		}
	}()
	return w
}
