package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// engine is a stand-in of a model worker whose streams may be resumed.
type engine struct {
	harness           *harness
	id, zone, address string

	mutex    sync.Mutex
	version  string
	born     int64
	sequence int
	server   *http.Server
	active   atomic.Int64
}

const (
	streamEvents = 40
	eventGap     = 100 * time.Millisecond
)

// startEngine starts a model worker that registers itself in the store.
func (h *harness) startEngine(id, zone, version string) *engine {
	e := &engine{harness: h, id: id, zone: zone, address: local(freePorts(1)[0])}
	e.begin(version)
	go func() {
		for {
			time.Sleep(1200 * time.Millisecond)
			e.register()
		}
	}()
	return e
}

// begin starts a run of the worker, which registers itself at once.
func (e *engine) begin(version string) {
	listener, err := net.Listen("tcp", e.address)
	if err != nil {
		fatal("%v", err)
	}
	e.mutex.Lock()
	e.version, e.born = version, time.Now().UnixMilli()
	e.server = &http.Server{Handler: e.handler(version)}
	server := e.server
	e.mutex.Unlock()
	go func() { _ = server.Serve(listener) }()
	e.harness.record.line("server %s starts as version %s", e.id, version)
	e.register()
}

// crash ends the run: its channels are reset and its port is closed.
func (e *engine) crash() {
	e.mutex.Lock()
	server := e.server
	e.server = nil
	e.mutex.Unlock()
	_ = server.Close()
	e.harness.record.line("server %s crashes", e.id)
}

func (e *engine) register() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.server == nil || e.harness.storeIsAway.Load() {
		return
	}
	e.sequence++
	e.harness.store.put("servers", e.id, map[string]any{
		"service": "lm", "address": e.address, "zone": e.zone, "version": e.version, "slots": 64, "state": "ready", "coldRemainingMs": 0, "sequence": e.sequence, "born": e.born,
		"stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}},
	})
}

// handler returns the worker's handler. Each event names the version that made it.
func (e *engine) handler(version string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		attempt := r.Header.Get("Mulberryspoke-Attempt-Id")
		header := w.Header()
		header.Set("Mulberryspoke-Attempt-Id", attempt)
		if r.URL.Path == "/health" {
			header.Set("Mulberryspoke-Instance-Id", e.id)
			return
		}
		if expected := r.Header.Get("Mulberryspoke-Expect-Instance"); expected != "" && expected != e.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		active := e.active.Add(1)
		defer e.active.Add(-1)
		last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		e.harness.record.line("server %s (version %s): runs %s from event %d", e.id, version, attempt, last+1)
		header.Set("Content-Type", "text/event-stream")
		header.Set("Mulberryspoke-Server-Stamp", fmt.Sprintf("stamp.%s.%s", e.id, attempt))
		header.Set("Mulberryspoke-Weight-Versions", "1")
		header.Set("Mulberryspoke-Server-Load", fmt.Sprintf("%d,0,64", active))
		for n := last + 1; n <= streamEvents; n++ {
			select {
			case <-r.Context().Done():
				return
			case <-time.After(eventGap):
			}
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %s\n\n", n, version, e.id); err != nil {
				return
			}
			_ = http.NewResponseController(w).Flush()
		}
	})
}

// streamAnswer is a stream as a client got it.
type streamAnswer struct {
	id       string
	status   int
	events   int
	versions []string
	text     string
	err      error
}

// askStream sends a request for a stream and reads the answer to its end.
func (h *harness) askStream(m *machine, limit time.Duration) streamAnswer {
	number := attempts.Add(1)
	got := streamAnswer{id: fmt.Sprintf("%016x", 0xa000_0000_0000_0000+uint64(number))}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.front+"/chat/1", strings.NewReader("a question"))
	if err != nil {
		panic(err)
	}
	request.Host = callersHost
	for name, value := range map[string]string{
		"Mulberryspoke-Attempt-Id": got.id, "Mulberryspoke-Deadline-Ms": fmt.Sprint(limit.Milliseconds()), "Authorization": "Bearer key-kept",
		"Mulberryspoke-Model": "m", "Mulberryspoke-Token-Usage": "400,240", "Mulberryspoke-Prompt-Prefix": fmt.Sprintf("5c1e07a2:120,%08x:280", number),
	} {
		request.Header.Set(name, value)
	}
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
	if err != nil {
		got.err = err
		return got
	}
	defer func() { _ = response.Body.Close() }()
	got.status = response.StatusCode
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		data, isData := strings.CutPrefix(lines.Text(), "data: ")
		if !isData {
			continue
		}
		got.events++
		version, server, _ := strings.Cut(data, " ")
		if len(got.versions) == 0 || got.versions[len(got.versions)-1] != version {
			got.versions = append(got.versions, version)
			got.text += fmt.Sprintf(" from event %d on version %s at %s;", got.events, version, server)
		}
	}
	got.err = lines.Err()
	return got
}
