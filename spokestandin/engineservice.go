package spokestandin

import (
	"context"
	"encoding/json"
	"net/http"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeengine"
	"mulberryspoke.example/mulberryspoke/spokehttp"
)

// EngineCounters are the totals of a model engine since its start.
type EngineCounters struct {
	// Requests is the number of answers requested.
	Requests int64 `json:"requests"`
	// GeneratedTokens is the number of tokens generated.
	GeneratedTokens int64 `json:"tokens"`
	// ComputedTokens is the number of tokens to compute before generation: of
	// prompts and of the resumed parts of answers.
	ComputedTokens int64 `json:"computed"`
	// RecomputedTokens is the part of ComputedTokens that belongs to resumed
	// answers.
	RecomputedTokens int64 `json:"recomputed"`
	// CachedTokens is the number of tokens found in the prefix cache or a moved KV
	// cache.
	CachedTokens int64 `json:"cached"`
	// Orders are the accepted orders, oldest first.
	Orders []spokeengine.Order `json:"orders"`
}

type timedLoad struct {
	measuredAt spokeclock.Millis
	load       spokeengine.Load
}

// Handler returns the HTTP handler of the engine and its control calls.
func (e *Engine) Handler() http.Handler {
	e.setDefaults()
	service := http.NewServeMux()
	service.HandleFunc("POST /v1/generate", e.generate)
	service.Handle("GET /v1/load", spokehttp.JSONHandler(e.load))
	service.Handle("POST /v1/kv/import", spokehttp.JSONHandler(e.importCache))
	service.Handle("POST /v1/kv/export", spokehttp.JSONHandler(e.exportCache))
	service.Handle("POST /v1/orders", spokehttp.JSONHandler(e.acceptOrder))
	service.Handle("GET /v1/cache_events", spokehttp.JSONHandler(e.cacheEvents))
	mux := http.NewServeMux()
	mux.Handle("/", e.injector.wrap(service))
	mux.Handle("POST /control", controlHandler(e.SetFaults))
	mux.Handle("GET /use", spokehttp.JSONHandler(e.getCounters))
	mux.HandleFunc("POST /control/exit", handleExit)
	return mux
}

func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
	var request spokeengine.GenerateRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if e.refuseResume(w, request) {
		return
	}
	s := e.enqueue(request)
	defer e.cancelSequence(s)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	controller := http.NewResponseController(w)
	_ = controller.Flush()
	for {
		select {
		case <-r.Context().Done():
			return
		case event, ok := <-s.events:
			if !ok {
				return
			}
			s.writeEventWithFaults(w, event)
			_ = controller.Flush()
		}
	}
}

func (e *Engine) load(context.Context, struct{}) (spokeengine.Load, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	clock := (*spokeclock.Clock)(nil)
	now := clock.Now()
	load := spokeengine.Load{Slots: e.Slots, Running: len(e.running), Waiting: len(e.waiting)}
	if len(e.loadReports) == 0 || now-e.loadReports[len(e.loadReports)-1].measuredAt >= loadReportInterval {
		e.loadReports = append(e.loadReports, timedLoad{measuredAt: now, load: load})
	}
	for len(e.loadReports) > 1 && e.loadReports[1].measuredAt <= now-e.faults.LoadLag {
		e.loadReports = e.loadReports[1:]
	}
	lagged := e.loadReports[0].load
	lagged.Age = now - e.loadReports[0].measuredAt
	return lagged, nil
}

func (e *Engine) getCounters(context.Context, struct{}) (EngineCounters, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.counters, nil
}

func (e *Engine) acceptOrder(_ context.Context, order spokeengine.Order) (struct{}, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.ChecksFencing && order.FencingNumber < e.highestFencingNumber {
		return struct{}{}, &spokehttp.StatusError{Code: http.StatusConflict, Body: "the order's fencing number is out of date"}
	}
	e.highestFencingNumber = max(e.highestFencingNumber, order.FencingNumber)
	e.counters.Orders = append(e.counters.Orders, order)
	return struct{}{}, nil
}

func (e *Engine) exportCache(_ context.Context, request spokeengine.CacheMoveRequest) (spokeengine.KVCache, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	tokens := e.attemptCaches.tokenCount(request.AttemptID)
	for _, s := range e.running {
		if s.request.AttemptID == request.AttemptID {
			tokens = promptTokens(s.prompt) + s.nextIndex
		}
	}
	if tokens == 0 {
		return spokeengine.KVCache{}, &spokehttp.StatusError{Code: http.StatusNotFound, Body: "no KV cache of this attempt"}
	}
	return spokeengine.KVCache{AttemptID: request.AttemptID, Tokens: tokens}, nil
}

func (e *Engine) importCache(ctx context.Context, request spokeengine.CacheMoveRequest) (spokeengine.KVCache, error) {
	cache, err := spokehttp.PostJSON[spokeengine.KVCache](ctx, standinClient, request.Source+"/v1/kv/export", request)
	if err != nil {
		return spokeengine.KVCache{}, &spokehttp.StatusError{Code: http.StatusBadGateway, Body: err.Error()}
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.attemptCaches.setTokens(cache.AttemptID, cache.Tokens)
	return cache, nil
}

func (e *Engine) cacheEvents(context.Context, struct{}) ([]spokeengine.CacheEvent, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	var events []spokeengine.CacheEvent
	for i, event := range e.cacheEventLog {
		if e.faults.CacheEventGaps && i%2 == 1 {
			continue
		}
		events = append(events, event)
	}
	return events, nil
}
