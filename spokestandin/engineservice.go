package spokestandin

import (
	"context"
	"encoding/json"
	"net/http"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeengine"
	"mulberryspoke.example/mulberryspoke/spokehttp"
)

// EngineCounters counts what an engine did.
type EngineCounters struct {
	// Requests counts answers begun.
	Requests int64 `json:"requests"`
	// GeneratedTokens counts tokens generated.
	GeneratedTokens int64 `json:"tokens"`
	// ComputedTokens counts prompt tokens computed.
	ComputedTokens int64 `json:"computed"`
	// RecomputedTokens counts tokens computed for resumed answers.
	RecomputedTokens int64 `json:"recomputed"`
	// CachedTokens counts prompt tokens found in the prefix cache.
	CachedTokens int64 `json:"cached"`
	// Orders are the orders taken, in order.
	Orders []spokeengine.Order `json:"orders"`
}

type timedLoad struct {
	at   spokeclock.Millis
	load spokeengine.Load
}

// Handler returns the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	e.fill()
	service := http.NewServeMux()
	service.HandleFunc("POST /v1/generate", e.generate)
	service.Handle("GET /v1/load", spokehttp.JSONHandler(e.load))
	service.Handle("POST /v1/kv/import", spokehttp.JSONHandler(e.importCache))
	service.Handle("POST /v1/kv/export", spokehttp.JSONHandler(e.exportCache))
	service.Handle("POST /v1/orders", spokehttp.JSONHandler(e.order))
	service.Handle("GET /v1/cache_events", spokehttp.JSONHandler(e.cacheEvents))
	mux := http.NewServeMux()
	mux.Handle("/", e.faulty.wrap(service))
	mux.Handle("POST /control", control(e.SetFaults))
	mux.Handle("GET /use", spokehttp.JSONHandler(e.report))
	mux.HandleFunc("POST /control/exit", exit)
	return mux
}

func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
	var request spokeengine.GenerateRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s := e.enqueue(request)
	defer e.cancel(s)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flush := http.NewResponseController(w)
	_ = flush.Flush()
	for {
		select {
		case <-r.Context().Done():
			return
		case event, more := <-s.out:
			if !more {
				return
			}
			s.write(w, event)
			_ = flush.Flush()
		}
	}
}

func (e *Engine) load(context.Context, struct{}) (spokeengine.Load, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	clock := (*spokeclock.Clock)(nil)
	now := clock.Now()
	load := spokeengine.Load{Slots: e.Slots, Running: len(e.running), Waiting: len(e.waiting)}
	if len(e.reports) == 0 || now-e.reports[len(e.reports)-1].at >= loadRefresh {
		e.reports = append(e.reports, timedLoad{at: now, load: load})
	}
	for len(e.reports) > 1 && e.reports[1].at <= now-e.faults.LoadLag {
		e.reports = e.reports[1:]
	}
	lagged := e.reports[0].load
	lagged.Age = now - e.reports[0].at
	return lagged, nil
}

func (e *Engine) report(context.Context, struct{}) (EngineCounters, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.use, nil
}

func (e *Engine) order(_ context.Context, order spokeengine.Order) (struct{}, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.ChecksFencing && order.FencingNumber < e.fence {
		return struct{}{}, &spokehttp.StatusError{Code: http.StatusConflict, Body: "old fencing number"}
	}
	e.fence = max(e.fence, order.FencingNumber)
	e.use.Orders = append(e.use.Orders, order)
	return struct{}{}, nil
}

func (e *Engine) exportCache(_ context.Context, request spokeengine.CacheMoveRequest) (spokeengine.KVCache, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	tokens := e.caches.get(request.AttemptID)
	for _, s := range e.running {
		if s.request.AttemptID == request.AttemptID {
			tokens = promptTokens(s.prompt) + s.next
		}
	}
	if tokens == 0 {
		return spokeengine.KVCache{}, &spokehttp.StatusError{Code: http.StatusNotFound, Body: "no such cache"}
	}
	return spokeengine.KVCache{AttemptID: request.AttemptID, Tokens: tokens}, nil
}

func (e *Engine) importCache(ctx context.Context, request spokeengine.CacheMoveRequest) (spokeengine.KVCache, error) {
	cache, err := spokehttp.PostJSON[spokeengine.KVCache](ctx, http.DefaultClient, request.Source+"/v1/kv/export", request)
	if err != nil {
		return spokeengine.KVCache{}, &spokehttp.StatusError{Code: http.StatusBadGateway, Body: err.Error()}
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.caches.put(cache.AttemptID, cache.Tokens)
	return cache, nil
}

func (e *Engine) cacheEvents(context.Context, struct{}) ([]spokeengine.CacheEvent, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	var events []spokeengine.CacheEvent
	for i, event := range e.events {
		if e.faults.CacheEventGaps && i%2 == 1 {
			continue
		}
		events = append(events, event)
	}
	return events, nil
}
