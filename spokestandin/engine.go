package spokestandin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeengine"
	"mulberryspoke.example/mulberryspoke/spokehttp"
)

const (
	defaultSlots        = 8
	defaultStep         = 10 * time.Millisecond
	defaultPrefill      = 256
	defaultCachePrompts = 64
	loadRefresh         = 20 * spokeclock.Millis(1)
)

// EngineFaults are the faults of a model engine.
type EngineFaults struct {
	Faults `yaml:",inline"`
	// Slow multiplies the time of each step when above one.
	Slow float64 `json:"slow,omitempty"`
	// Truncate ends that many streams without their end.
	Truncate int `json:"truncate,omitempty"`
	// TruncateAfter is how many tokens a truncated stream still delivers.
	TruncateAfter int `json:"truncate_after,omitempty"`
	// Duplicate repeats every token of that many streams.
	Duplicate int `json:"duplicate,omitempty"`
	// Cross puts tokens of another attempt into that many streams.
	Cross int `json:"cross,omitempty"`
	// Skip leaves a token out of that many streams.
	Skip int `json:"skip,omitempty"`
	// LoadLag is how old load reports are.
	LoadLag spokeclock.Millis `json:"load_lag_millis,omitempty"`
	// CacheGaps leaves out every second cache event.
	CacheGaps bool `json:"cache_gaps,omitempty"`
}

// EngineUse counts what an engine did.
type EngineUse struct {
	// Requests counts answers begun.
	Requests int64 `json:"requests"`
	// Tokens counts tokens generated.
	Tokens int64 `json:"tokens"`
	// Computed counts prompt tokens computed.
	Computed int64 `json:"computed"`
	// Recomputed counts tokens computed for resumed answers.
	Recomputed int64 `json:"recomputed"`
	// Cached counts prompt tokens found in the prefix cache.
	Cached int64 `json:"cached"`
	// Orders are the orders taken, in order.
	Orders []spokeengine.Order `json:"orders"`
}

// Engine is a model engine that batches continuously. Set its fields before
// Run.
type Engine struct {
	// Name names the backend server.
	Name string
	// Slots is how many answers run at once. Zero means eight.
	Slots int
	// Step is the time of one step, in which each running answer gains a
	// token. Zero means ten milliseconds.
	Step time.Duration
	// SequenceCost is added to a step for each running answer.
	SequenceCost time.Duration
	// Prefill is how many prompt tokens one step computes. Zero means 256.
	Prefill int
	// ChecksOrders refuses an order with an old fencing number.
	ChecksOrders bool
	// CachePrompts is how many prompts the prefix cache holds. Zero means 64.
	CachePrompts int

	faulty   faulty
	mutex    sync.Mutex
	faults   EngineFaults
	waiting  []*sequence
	running  []*sequence
	prefixes *prefixCache
	caches   *attemptCache
	use      EngineUse
	fence    int64
	reports  []timedLoad
	events   []spokeengine.CacheEvent
	wake     chan struct{}
}

type timedLoad struct {
	at   spokeclock.Millis
	load spokeengine.Load
}

// sequence is one answer in the engine.
type sequence struct {
	request spokeengine.GenerateRequest
	prompt  string
	left    int
	compute int
	next    int
	out     chan spokeengine.Event
	gone    bool
	quirk   quirk
}

// quirk is what goes wrong with one stream.
type quirk struct {
	truncateAfter int
	duplicate     bool
	cross         bool
	skip          bool
}

// Token returns the token at a place of the answer to a prompt, so that a
// caller can check an answer.
func Token(prompt string, index int) string {
	return fmt.Sprintf("t%04x ", xxhash.Sum64String(fmt.Sprintf("%d|%s", index, prompt))&0xffff)
}

// PromptOf joins a conversation to the prompt that Token is made from.
func PromptOf(messages []spokeengine.Message) string {
	parts := make([]string, 0, len(messages))
	for _, message := range messages {
		parts = append(parts, message.Role+": "+message.Content)
	}
	return strings.Join(parts, "\n")
}

// Handler returns the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	e.fill()
	service := http.NewServeMux()
	service.HandleFunc("POST /v1/generate", e.generate)
	service.Handle("GET /v1/load", spokehttp.Handle(e.load))
	service.Handle("POST /v1/kv/import", spokehttp.Handle(e.importCache))
	service.Handle("POST /v1/kv/export", spokehttp.Handle(e.exportCache))
	service.Handle("POST /v1/orders", spokehttp.Handle(e.order))
	service.Handle("GET /v1/cache_events", spokehttp.Handle(e.cacheEvents))
	mux := http.NewServeMux()
	mux.Handle("/", e.faulty.wrap(service))
	mux.Handle("POST /control", control(e.Control))
	mux.Handle("GET /use", spokehttp.Handle(e.report))
	mux.HandleFunc("POST /control/exit", exit)
	return mux
}

func (e *Engine) fill() {
	if e.Slots == 0 {
		e.Slots = defaultSlots
	}
	if e.Step == 0 {
		e.Step = defaultStep
	}
	if e.Prefill == 0 {
		e.Prefill = defaultPrefill
	}
	if e.CachePrompts == 0 {
		e.CachePrompts = defaultCachePrompts
	}
	e.prefixes = newPrefixCache(e.CachePrompts)
	e.caches = newAttemptCache()
	e.wake = make(chan struct{}, 1)
}

// Control replaces the faults.
func (e *Engine) Control(faults EngineFaults) {
	e.faulty.set(faults.Faults)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.faults = faults
}

// Run generates tokens until ctx ends.
func (e *Engine) Run(ctx context.Context) {
	for {
		pause := e.step()
		if pause > 0 {
			time.Sleep(pause)
			if ctx.Err() != nil {
				return
			}
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-e.wake:
		}
	}
}

// step moves every running answer on and returns how long the step takes, or
// zero when there is nothing to do.
func (e *Engine) step() time.Duration {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.sweep()
	e.admit()
	if len(e.running) == 0 {
		return 0
	}
	budget := e.Prefill
	for _, s := range e.running {
		budget = e.advance(s, budget)
	}
	pause := e.Step + time.Duration(len(e.running))*e.SequenceCost
	if e.faults.Slow > 1 {
		pause = time.Duration(float64(pause) * e.faults.Slow)
	}
	return pause
}

// sweep drops answers that have ended or were cancelled.
func (e *Engine) sweep() {
	e.running = keep(e.running)
	e.waiting = keep(e.waiting)
}

func keep(list []*sequence) []*sequence {
	kept := list[:0]
	for _, s := range list {
		if !s.gone {
			kept = append(kept, s)
		}
	}
	return kept
}

// admit fills free slots by priority, then by arrival.
func (e *Engine) admit() {
	for len(e.running) < e.Slots && len(e.waiting) > 0 {
		best := 0
		for i, s := range e.waiting {
			if s.request.Priority > e.waiting[best].request.Priority {
				best = i
			}
		}
		e.running = append(e.running, e.waiting[best])
		e.waiting = append(e.waiting[:best], e.waiting[best+1:]...)
	}
}

// advance computes prompt tokens within the step's budget, or gives the
// answer its next token.
func (e *Engine) advance(s *sequence, budget int) int {
	if s.left > 0 {
		share := min(budget, s.left)
		s.left -= share
		return budget - share
	}
	if s.next >= s.request.MaxTokens {
		s.out <- spokeengine.Event{Attempt: s.request.Attempt, Index: s.next, Finish: "length"}
		e.end(s)
		return budget
	}
	event := spokeengine.Event{Attempt: s.request.Attempt, Index: s.next, Token: Token(s.prompt, s.next)}
	event.Computed, s.compute = s.compute, 0
	s.next++
	e.use.Tokens++
	s.out <- event
	return budget
}

func (e *Engine) end(s *sequence) {
	if s.gone {
		return
	}
	s.gone = true
	e.caches.put(s.request.Attempt, promptTokens(s.prompt)+s.next)
	close(s.out)
}

func promptTokens(prompt string) int {
	return len(strings.Fields(prompt))
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

func (e *Engine) enqueue(request spokeengine.GenerateRequest) *sequence {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	s := &sequence{
		request: request,
		prompt:  PromptOf(request.Messages),
		next:    len(request.Resume),
		out:     make(chan spokeengine.Event, request.MaxTokens+1),
		quirk:   e.takeQuirk(),
	}
	s.left = e.toCompute(s)
	s.compute = s.left
	e.use.Requests++
	e.use.Computed += int64(s.left)
	if len(request.Resume) > 0 {
		e.use.Recomputed += int64(s.left)
	}
	e.waiting = append(e.waiting, s)
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return s
}

// toCompute returns how many tokens no cache covers.
func (e *Engine) toCompute(s *sequence) int {
	total := promptTokens(s.prompt) + len(s.request.Resume)
	covered := e.caches.get(s.request.MovedFrom)
	if covered == 0 {
		covered = e.prefixes.take(s.request.Messages, e.note)
	}
	covered = min(covered, total)
	e.use.Cached += int64(covered)
	return total - covered
}

func (e *Engine) note(prefix uint64, dropped bool) {
	event := spokeengine.CacheEvent{Sequence: int64(len(e.events)), Prefix: prefix, Dropped: dropped}
	e.events = append(e.events, event)
}

func (e *Engine) takeQuirk() quirk {
	q := quirk{truncateAfter: -1}
	if e.faults.Truncate > 0 {
		e.faults.Truncate--
		q.truncateAfter = e.faults.TruncateAfter
	}
	q.duplicate = take(&e.faults.Duplicate)
	q.cross = take(&e.faults.Cross)
	q.skip = take(&e.faults.Skip)
	return q
}

func take(left *int) bool {
	if *left == 0 {
		return false
	}
	*left--
	return true
}

// write sends an event, with what goes wrong with its stream.
func (s *sequence) write(w http.ResponseWriter, event spokeengine.Event) {
	produced := event.Index - len(s.request.Resume)
	if s.quirk.truncateAfter >= 0 && produced >= s.quirk.truncateAfter {
		panic(http.ErrAbortHandler)
	}
	if s.quirk.skip && produced == 1 && event.Finish == "" {
		return
	}
	if s.quirk.cross {
		foreign := event
		foreign.Attempt = "another-attempt"
		foreign.Token = "WRONG "
		writeEvent(w, foreign)
	}
	writeEvent(w, event)
	if s.quirk.duplicate && event.Finish == "" {
		writeEvent(w, event)
	}
}

func writeEvent(w http.ResponseWriter, event spokeengine.Event) {
	text, _ := json.Marshal(event)
	_, _ = fmt.Fprintf(w, "data: %s\n\n", text)
}

func (e *Engine) cancel(s *sequence) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.end(s)
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

func (e *Engine) report(context.Context, struct{}) (EngineUse, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.use, nil
}

func (e *Engine) order(_ context.Context, order spokeengine.Order) (struct{}, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.ChecksOrders && order.Fence < e.fence {
		return struct{}{}, &spokehttp.Status{Code: http.StatusConflict, Text: "old fencing number"}
	}
	e.fence = max(e.fence, order.Fence)
	e.use.Orders = append(e.use.Orders, order)
	return struct{}{}, nil
}

func (e *Engine) exportCache(_ context.Context, request spokeengine.MoveRequest) (spokeengine.Cache, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	tokens := e.caches.get(request.Attempt)
	for _, s := range e.running {
		if s.request.Attempt == request.Attempt {
			tokens = promptTokens(s.prompt) + s.next
		}
	}
	if tokens == 0 {
		return spokeengine.Cache{}, &spokehttp.Status{Code: http.StatusNotFound, Text: "no such cache"}
	}
	return spokeengine.Cache{Attempt: request.Attempt, Tokens: tokens}, nil
}

func (e *Engine) importCache(ctx context.Context, request spokeengine.MoveRequest) (spokeengine.Cache, error) {
	cache, err := spokehttp.Call[spokeengine.Cache](ctx, http.DefaultClient, request.Source+"/v1/kv/export", request)
	if err != nil {
		return spokeengine.Cache{}, &spokehttp.Status{Code: http.StatusBadGateway, Text: err.Error()}
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.caches.put(cache.Attempt, cache.Tokens)
	return cache, nil
}

func (e *Engine) cacheEvents(context.Context, struct{}) ([]spokeengine.CacheEvent, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	var events []spokeengine.CacheEvent
	for i, event := range e.events {
		if e.faults.CacheGaps && i%2 == 1 {
			continue
		}
		events = append(events, event)
	}
	return events, nil
}
