package spokestandin

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeengine"
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
	// SlowdownFactor multiplies the time of each step when above one.
	SlowdownFactor float64 `json:"slow,omitempty"`
	// TruncatedStreams ends that many streams without their end.
	TruncatedStreams int `json:"truncate,omitempty"`
	// TruncateAfterTokens is how many tokens a truncated stream still delivers.
	TruncateAfterTokens int `json:"truncate_after,omitempty"`
	// DuplicateTokenStreams repeats every token of that many streams.
	DuplicateTokenStreams int `json:"duplicate,omitempty"`
	// ForeignTokenStreams puts tokens of another attempt into that many streams.
	ForeignTokenStreams int `json:"cross,omitempty"`
	// MissingTokenStreams leaves a token out of that many streams.
	MissingTokenStreams int `json:"skip,omitempty"`
	// LoadLag is how old load reports are.
	LoadLag spokeclock.Millis `json:"load_lag_millis,omitempty"`
	// CacheEventGaps leaves out every second cache event.
	CacheEventGaps bool `json:"cache_gaps,omitempty"`
}

// Engine is a model engine that batches continuously. Set its fields before
// Run.
type Engine struct {
	// Name names the backend server.
	Name string
	// Slots is how many answers run at once. Zero means eight.
	Slots int
	// StepTime is the time of one step, in which each running answer gains a
	// token. Zero means ten milliseconds.
	StepTime time.Duration
	// SequenceStepTime is added to a step for each running answer.
	SequenceStepTime time.Duration
	// PrefillTokensPerStep is how many prompt tokens one step computes. Zero means 256.
	PrefillTokensPerStep int
	// ChecksFencing refuses an order with an old fencing number.
	ChecksFencing bool
	// PrefixCacheEntries is how many prompts the prefix cache holds. Zero means 64.
	PrefixCacheEntries int

	faulty   faulty
	mutex    sync.Mutex
	faults   EngineFaults
	waiting  []*sequence
	running  []*sequence
	prefixes *prefixCache
	caches   *attemptCache
	use      EngineCounters
	fence    int64
	reports  []timedLoad
	events   []spokeengine.CacheEvent
	wake     chan struct{}
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
	fault   streamFault
}

// TokenAt returns the token at a place of the answer to a prompt, so that a
// caller can check an answer.
func TokenAt(prompt string, index int) string {
	return fmt.Sprintf("t%04x ", xxhash.Sum64String(fmt.Sprintf("%d|%s", index, prompt))&0xffff)
}

// JoinPrompt joins a conversation to the prompt that Token is made from.
func JoinPrompt(messages []spokeengine.Message) string {
	parts := make([]string, 0, len(messages))
	for _, message := range messages {
		parts = append(parts, message.Role+": "+message.Content)
	}
	return strings.Join(parts, "\n")
}

func (e *Engine) fill() {
	if e.Slots == 0 {
		e.Slots = defaultSlots
	}
	if e.StepTime == 0 {
		e.StepTime = defaultStep
	}
	if e.PrefillTokensPerStep == 0 {
		e.PrefillTokensPerStep = defaultPrefill
	}
	if e.PrefixCacheEntries == 0 {
		e.PrefixCacheEntries = defaultCachePrompts
	}
	e.prefixes = newPrefixCache(e.PrefixCacheEntries)
	e.caches = newAttemptCache()
	e.wake = make(chan struct{}, 1)
}

// SetFaults replaces the faults.
func (e *Engine) SetFaults(faults EngineFaults) {
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
	budget := e.PrefillTokensPerStep
	for _, s := range e.running {
		budget = e.advance(s, budget)
	}
	pause := e.StepTime + time.Duration(len(e.running))*e.SequenceStepTime
	if e.faults.SlowdownFactor > 1 {
		pause = time.Duration(float64(pause) * e.faults.SlowdownFactor)
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
		s.out <- spokeengine.Event{AttemptID: s.request.AttemptID, Index: s.next, FinishReason: "length"}
		e.end(s)
		return budget
	}
	event := spokeengine.Event{AttemptID: s.request.AttemptID, Index: s.next, Token: TokenAt(s.prompt, s.next)}
	event.ComputedTokens, s.compute = s.compute, 0
	s.next++
	e.use.GeneratedTokens++
	s.out <- event
	return budget
}

func (e *Engine) end(s *sequence) {
	if s.gone {
		return
	}
	s.gone = true
	e.caches.put(s.request.AttemptID, promptTokens(s.prompt)+s.next)
	close(s.out)
}

func promptTokens(prompt string) int {
	return len(strings.Fields(prompt))
}

func (e *Engine) enqueue(request spokeengine.GenerateRequest) *sequence {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	s := &sequence{
		request: request,
		prompt:  JoinPrompt(request.Messages),
		next:    len(request.DeliveredTokens),
		out:     make(chan spokeengine.Event, request.MaxTokens+1),
		fault:   e.takeStreamFault(),
	}
	s.left = e.toCompute(s)
	s.compute = s.left
	e.use.Requests++
	e.use.ComputedTokens += int64(s.left)
	if len(request.DeliveredTokens) > 0 {
		e.use.RecomputedTokens += int64(s.left)
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
	total := promptTokens(s.prompt) + len(s.request.DeliveredTokens)
	covered := e.caches.get(s.request.CacheAttemptID)
	if covered == 0 {
		covered = e.prefixes.take(s.request.Messages, e.note)
	}
	covered = min(covered, total)
	e.use.CachedTokens += int64(covered)
	return total - covered
}

func (e *Engine) note(prefix uint64, dropped bool) {
	event := spokeengine.CacheEvent{Sequence: int64(len(e.events)), Prefix: prefix, Dropped: dropped}
	e.events = append(e.events, event)
}

func (e *Engine) cancel(s *sequence) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.end(s)
}
