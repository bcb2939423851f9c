package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

const callersHost = "ficu95.example"

var attempts atomic.Int64

// answer is what a client got.
type answer struct {
	status int
	stamp  string
	body   string
	err    error
}

func (a answer) String() string {
	if a.err != nil {
		return "no answer: " + a.err.Error()
	}
	return fmt.Sprintf("%d, stamp %q", a.status, a.stamp)
}

// ask sends one request on a channel of its own.
func (h *harness) ask(m *machine, method, path, key string, limit time.Duration) (string, answer) {
	id := fmt.Sprintf("%016x", 0xa000_0000_0000_0000+uint64(attempts.Add(1)))
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+m.front+path, strings.NewReader(""))
	if err != nil {
		panic(err)
	}
	request.Host = callersHost
	request.Header.Set("Mulberryspoke-Attempt-Id", id)
	request.Header.Set("Mulberryspoke-Deadline-Ms", fmt.Sprint(limit.Milliseconds()))
	request.Header.Set("Authorization", "Bearer "+key)
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := transport.RoundTrip(request)
	got := answer{err: err}
	if err == nil {
		body, readErr := io.ReadAll(response.Body)
		_ = response.Body.Close()
		got = answer{status: response.StatusCode, stamp: response.Header.Get("Mulberryspoke-Server-Stamp"), body: string(body), err: readErr}
	}
	h.record.line("client: %s %s at %s as %s with key %s: %s", method, path, m.name, id, key, got)
	return id, got
}
