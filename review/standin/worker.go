package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Worker is a stand-in for one model worker or application server (PROTOCOL.md, "Workers").
type Worker struct {
	ID, Service, Zone, Version string
	Slots                      int
	// Events and EventPause shape its streams.
	Events     int
	EventPause time.Duration
	// Work is how long a plain answer takes.
	Work   time.Duration
	store  *Store
	record *Record
	// hook, if set, may answer a request in place of the worker. It returns true if it did.
	hook func(w http.ResponseWriter, r *http.Request) bool

	mu       sync.Mutex
	address  string
	server   *http.Server
	state    string
	born     int64
	sequence int
	running  int
	alive    bool
	beats    bool
	gone     chan struct{}
	arrivals []arrival
}

type arrival struct {
	at     time.Time
	id     string
	path   string
	worker string
}

const heartbeat = 1200 * time.Millisecond

// Start starts a run of the worker: it listens, at the address that it had if there is
// one, and registers itself.
func (k *Worker) Start() error {
	k.mu.Lock()
	address := k.address
	k.mu.Unlock()
	if address == "" {
		address = fmt.Sprintf("%s:%d", freeAddress(workerPort), workerPort)
	}
	var listener net.Listener
	var err error
	for range 50 {
		if listener, err = net.Listen("tcp", address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	k.mu.Lock()
	k.address, k.state, k.born, k.sequence, k.running, k.alive, k.beats = listener.Addr().String(), "ready", time.Now().UnixMilli(), 0, 0, true, true
	k.server = &http.Server{Handler: k, ReadHeaderTimeout: 10 * time.Second}
	server := k.server
	k.gone = make(chan struct{})
	gone := k.gone
	k.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	k.register()
	go func() {
		ticker := time.NewTicker(heartbeat)
		defer ticker.Stop()
		for {
			select {
			case <-gone:
				return
			case <-ticker.C:
				k.register()
			}
		}
	}()
	return nil
}

// register writes the worker's entry.
func (k *Worker) register() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.alive || !k.beats {
		return
	}
	k.sequence++
	k.store.Put("servers", k.ID, map[string]any{
		"service": k.Service, "address": k.address, "zone": k.Zone, "version": k.Version, "slots": k.Slots, "state": k.state,
		"coldRemainingMs": 0, "stage": "both", "sequence": k.sequence, "born": k.born,
	})
}

// Drain reports that the worker leaves. It exits after the linger, and its entry is removed.
func (k *Worker) Drain(linger time.Duration) {
	k.mu.Lock()
	k.state = "draining"
	k.mu.Unlock()
	k.register()
	k.record.Logf("worker %s (%s %s) reports draining and exits %.1f s later", k.ID, k.Service, k.Version, linger.Seconds())
	time.AfterFunc(linger, func() {
		k.record.Logf("worker %s (%s %s) exits", k.ID, k.Service, k.Version)
		k.Stop()
		k.store.Delete("servers", k.ID)
	})
}

// Stop ends the run: nothing listens any more, and all channels are closed.
func (k *Worker) Stop() {
	k.mu.Lock()
	if !k.alive {
		k.mu.Unlock()
		return
	}
	k.alive = false
	close(k.gone)
	server := k.server
	k.mu.Unlock()
	_ = server.Close()
}

// Arrivals returns the requests that have reached the worker.
func (k *Worker) Arrivals() []arrival {
	k.mu.Lock()
	defer k.mu.Unlock()
	return append([]arrival(nil), k.arrivals...)
}

func (k *Worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("Mulberryspoke-Instance-Id", k.ID)
		w.WriteHeader(http.StatusOK)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("Mulberryspoke-Attempt-Id")
	h := w.Header()
	if id != "" {
		h.Set("Mulberryspoke-Attempt-Id", id)
	}
	if expected := r.Header.Get("Mulberryspoke-Expect-Instance"); expected != "" && expected != k.ID {
		h.Set("Mulberryspoke-Instance-Id", k.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	k.mu.Lock()
	k.arrivals = append(k.arrivals, arrival{at: time.Now(), id: id, path: r.URL.Path, worker: k.ID})
	k.running++
	load := fmt.Sprintf("%d,0,%d", k.running, k.Slots)
	k.mu.Unlock()
	defer func() { k.mu.Lock(); k.running--; k.mu.Unlock() }()
	h.Set("Mulberryspoke-Server-Load", load)
	if k.hook != nil && k.hook(w, r) {
		return
	}
	h.Set("Mulberryspoke-Server-Stamp", "3e1b."+k.ID+"."+id)
	if strings.HasPrefix(r.URL.Path, "/chat/") {
		k.stream(w, r)
		return
	}
	select {
	case <-time.After(k.Work):
	case <-r.Context().Done():
		return
	}
	answer := fmt.Sprintf("%s answers %s (%d bytes read)", k.ID, id, len(body))
	h.Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = io.WriteString(w, answer)
}

// stream sends the events after the one that the request names. Each holds the version of
// the worker's software.
func (k *Worker) stream(w http.ResponseWriter, r *http.Request) {
	deadline := time.Now().Add(time.Minute)
	if ms, err := strconv.Atoi(r.Header.Get("Mulberryspoke-Deadline-Ms")); err == nil {
		deadline = time.Now().Add(time.Duration(ms) * time.Millisecond)
	}
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	for i := after + 1; i <= k.Events; i++ {
		select {
		case <-time.After(k.EventPause):
		case <-r.Context().Done():
			return
		}
		if time.Now().After(deadline) {
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %s event %d\n\n", i, k.Version, k.ID, i); err != nil {
			return
		}
		w.(http.Flusher).Flush()
	}
}
