package spokestandin

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"sync"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokehttp"
)

// Faults are what every HTTP stand-in can be told to do wrong.
type Faults struct {
	// Unavailable refuses every call with status 503.
	Unavailable bool `json:"down,omitempty"`
	// Frozen takes calls and never answers them.
	Frozen bool `json:"frozen,omitempty"`
	// RequestDelay holds each call back before it takes effect.
	RequestDelay spokeclock.Millis `json:"delay_millis,omitempty"`
	// AbortResponses cuts the connection after the effect of that many calls.
	AbortResponses int `json:"lose_answers,omitempty"`
	// AbortRequests cuts the connection before the effect of that many calls.
	AbortRequests int `json:"lose_requests,omitempty"`
	// ResponseDelay holds answers back after the effect.
	ResponseDelay spokeclock.Millis `json:"delay_answers_millis,omitempty"`
	// PathPrefix limits the losses and delays to paths that begin so.
	PathPrefix string `json:"path,omitempty"`
	// BodyContains limits them to bodies that contain it.
	BodyContains string `json:"containing,omitempty"`
}

// faulty wraps a stand-in's handler and injects faults.
type faulty struct {
	mutex  sync.Mutex
	faults Faults
}

func (f *faulty) set(faults Faults) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.faults = faults
}

// plan is what goes wrong with one call.
type plan struct {
	faults      Faults
	loseAnswer  bool
	loseRequest bool
}

func (f *faulty) plan(path, body string) plan {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	p := plan{faults: f.faults}
	if !strings.HasPrefix(path, f.faults.PathPrefix) || !strings.Contains(body, f.faults.BodyContains) {
		p.faults.RequestDelay = 0
		p.faults.ResponseDelay = 0
		return p
	}
	if f.faults.AbortRequests > 0 {
		f.faults.AbortRequests--
		p.loseRequest = true
		return p
	}
	if f.faults.AbortResponses > 0 {
		f.faults.AbortResponses--
		p.loseAnswer = true
	}
	return p
}

func (f *faulty) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		f.serve(f.plan(r.URL.Path, string(body)), next, w, r)
	})
}

func (f *faulty) serve(p plan, next http.Handler, w http.ResponseWriter, r *http.Request) {
	if p.faults.Frozen {
		f.waitThaw(r.Context())
	}
	if p.faults.Unavailable {
		http.Error(w, "the service is down", http.StatusServiceUnavailable)
		return
	}
	if p.loseRequest {
		panic(http.ErrAbortHandler)
	}
	if spokeclock.Sleep(r.Context(), p.faults.RequestDelay) != nil {
		panic(http.ErrAbortHandler)
	}
	if !p.loseAnswer && p.faults.ResponseDelay == 0 {
		next.ServeHTTP(w, r)
		return
	}
	held := &heldAnswer{header: make(http.Header), status: http.StatusOK}
	next.ServeHTTP(held, r.WithContext(context.WithoutCancel(r.Context())))
	if p.loseAnswer || spokeclock.Sleep(r.Context(), p.faults.ResponseDelay) != nil {
		panic(http.ErrAbortHandler)
	}
	held.send(w)
}

const thawPoll = 10 * spokeclock.Millis(1)

// waitThaw holds a call until the stand-in is no longer frozen.
func (f *faulty) waitThaw(ctx context.Context) {
	for {
		f.mutex.Lock()
		frozen := f.faults.Frozen
		f.mutex.Unlock()
		if !frozen {
			return
		}
		if spokeclock.Sleep(ctx, thawPoll) != nil {
			panic(http.ErrAbortHandler)
		}
	}
}

// heldAnswer keeps an answer so that it can be lost or sent late.
type heldAnswer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (h *heldAnswer) Header() http.Header         { return h.header }
func (h *heldAnswer) WriteHeader(status int)      { h.status = status }
func (h *heldAnswer) Write(p []byte) (int, error) { return h.body.Write(p) }

func (h *heldAnswer) send(w http.ResponseWriter) {
	for name, values := range h.header {
		w.Header()[name] = values
	}
	w.WriteHeader(h.status)
	_, _ = w.Write(h.body.Bytes())
}

// control makes the handler of a stand-in's /control.
func control[Settings any](set func(Settings)) http.Handler {
	return spokehttp.JSONHandler(func(_ context.Context, settings Settings) (struct{}, error) {
		set(settings)
		return struct{}{}, nil
	})
}
