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

// Faults are the faults that every HTTP stand-in can inject.
type Faults struct {
	// Unavailable answers every call with status 503.
	Unavailable bool `json:"down,omitempty"`
	// Frozen accepts calls and answers none until it is reset.
	Frozen bool `json:"frozen,omitempty"`
	// RequestDelay is the time that each call waits before it takes effect.
	RequestDelay spokeclock.Millis `json:"delay_millis,omitempty"`
	// AbortResponses is the number of calls whose connection is closed after the
	// call took effect.
	AbortResponses int `json:"lose_answers,omitempty"`
	// AbortRequests is the number of calls whose connection is closed before the
	// call takes effect.
	AbortRequests int `json:"lose_requests,omitempty"`
	// ResponseDelay is the time that each response waits after the call took
	// effect.
	ResponseDelay spokeclock.Millis `json:"delay_answers_millis,omitempty"`
	// PathPrefix limits the aborts and delays to paths with this prefix.
	PathPrefix string `json:"path,omitempty"`
	// BodyContains limits the aborts and delays to request bodies that contain
	// this text.
	BodyContains string `json:"containing,omitempty"`
}

// faultInjector wraps the handler of a stand-in and injects Faults.
type faultInjector struct {
	mutex  sync.Mutex
	faults Faults
}

func (f *faultInjector) setFaults(faults Faults) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.faults = faults
}

// callFaults are the faults of one call.
type callFaults struct {
	faults        Faults
	abortResponse bool
	abortRequest  bool
}

func (f *faultInjector) nextCallFaults(path, body string) callFaults {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	call := callFaults{faults: f.faults}
	if !strings.HasPrefix(path, f.faults.PathPrefix) || !strings.Contains(body, f.faults.BodyContains) {
		call.faults.RequestDelay = 0
		call.faults.ResponseDelay = 0
		return call
	}
	if f.faults.AbortRequests > 0 {
		f.faults.AbortRequests--
		call.abortRequest = true
		return call
	}
	if f.faults.AbortResponses > 0 {
		f.faults.AbortResponses--
		call.abortResponse = true
	}
	return call
}

func (f *faultInjector) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		f.serveWithFaults(f.nextCallFaults(r.URL.Path, string(body)), next, w, r)
	})
}

func (f *faultInjector) serveWithFaults(call callFaults, next http.Handler, w http.ResponseWriter, r *http.Request) {
	if call.faults.Frozen {
		f.waitWhileFrozen(r.Context())
	}
	if call.faults.Unavailable {
		http.Error(w, "the service is down", http.StatusServiceUnavailable)
		return
	}
	if call.abortRequest {
		panic(http.ErrAbortHandler)
	}
	if spokeclock.Sleep(r.Context(), call.faults.RequestDelay) != nil {
		panic(http.ErrAbortHandler)
	}
	if !call.abortResponse && call.faults.ResponseDelay == 0 {
		next.ServeHTTP(w, r)
		return
	}
	buffered := &bufferedResponse{header: make(http.Header), status: http.StatusOK}
	next.ServeHTTP(buffered, r.WithContext(context.WithoutCancel(r.Context())))
	if call.abortResponse || spokeclock.Sleep(r.Context(), call.faults.ResponseDelay) != nil {
		panic(http.ErrAbortHandler)
	}
	buffered.send(w)
}

const frozenPollInterval = 10 * spokeclock.Millis(1)

// waitWhileFrozen blocks a call until the stand-in is no longer frozen. It
// aborts the call if the context ends first.
func (f *faultInjector) waitWhileFrozen(ctx context.Context) {
	for {
		f.mutex.Lock()
		frozen := f.faults.Frozen
		f.mutex.Unlock()
		if !frozen {
			return
		}
		if spokeclock.Sleep(ctx, frozenPollInterval) != nil {
			panic(http.ErrAbortHandler)
		}
	}
}

// bufferedResponse buffers a response so that it can be discarded or sent late.
type bufferedResponse struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (b *bufferedResponse) Header() http.Header         { return b.header }
func (b *bufferedResponse) WriteHeader(status int)      { b.status = status }
func (b *bufferedResponse) Write(p []byte) (int, error) { return b.body.Write(p) }

func (b *bufferedResponse) send(w http.ResponseWriter) {
	for name, values := range b.header {
		w.Header()[name] = values
	}
	w.WriteHeader(b.status)
	_, _ = w.Write(b.body.Bytes())
}

// controlHandler returns the handler of a stand-in's /control, which decodes
// the settings and applies them.
func controlHandler[Settings any](apply func(Settings)) http.Handler {
	return spokehttp.JSONHandler(func(_ context.Context, settings Settings) (struct{}, error) {
		apply(settings)
		return struct{}{}, nil
	})
}
