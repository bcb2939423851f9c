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
	defaultSlots                = 8
	defaultStepTime             = 10 * time.Millisecond
	defaultPrefillTokensPerStep = 256
	defaultPrefixCacheEntries   = 64
	loadReportInterval          = 20 * spokeclock.Millis(1)
)

// EngineFaults are the faults that a model engine injects.
type EngineFaults struct {
	Faults `yaml:",inline"`
	// SlowdownFactor multiplies the time of each step if it is above one.
	SlowdownFactor float64 `json:"slow,omitempty"`
	// TruncatedStreams is the number of streams to cut before their final event.
	TruncatedStreams int `json:"truncate,omitempty"`
	// TruncateAfterTokens is the number of tokens that a truncated stream
	// delivers before it is cut.
	TruncateAfterTokens int `json:"truncate_after,omitempty"`
	// DuplicateTokenStreams is the number of streams in which each token is
	// sent twice.
	DuplicateTokenStreams int `json:"duplicate,omitempty"`
	// ForeignTokenStreams is the number of streams that also carry tokens
	// labelled with another attempt.
	ForeignTokenStreams int `json:"cross,omitempty"`
	// MissingTokenStreams is the number of streams from which the second token
	// is left out.
	MissingTokenStreams int `json:"skip,omitempty"`
	// RefusedResumes is the number of requests to resume an answer that are
	// answered with status 500.
	RefusedResumes int `json:"refuse_resumes,omitempty"`
	// GarbledResumes is the number of requests to resume an answer that are
	// answered with an event stream whose text is an error.
	GarbledResumes int `json:"garble_resumes,omitempty"`
	// LoadLag is the age of load reports.
	LoadLag spokeclock.Millis `json:"load_lag_millis,omitempty"`
	// CacheEventGaps omits every second cache event.
	CacheEventGaps bool `json:"cache_gaps,omitempty"`
}

// Engine is a stand-in of a model engine with continuous batching: in each step
// it computes prompt tokens and generates a token for each running answer. Set
// its fields before Handler, and call Handler before Run.
type Engine struct {
	// Name is the name of the backend server.
	Name string
	// Slots is how many answers run at the same time. Zero means 8.
	Slots int
	// StepTime is the time of one step, in which each running answer whose
	// prompt is computed gains a token. Zero means 10 ms.
	StepTime time.Duration
	// SequenceStepTime is added to the time of a step for each running
	// answer.
	SequenceStepTime time.Duration
	// PrefillTokensPerStep is the number of prompt tokens that one step
	// computes, over all answers. Zero means 256.
	PrefillTokensPerStep int
	// ChecksFencing refuses orders whose fencing number is lower than one
	// already seen.
	ChecksFencing bool
	// PrefixCacheEntries is the number of prompt prefixes that the prefix cache
	// holds. Zero means 64.
	PrefixCacheEntries int
	// SleepFunc waits between steps. Nil means time.Sleep.
	SleepFunc func(time.Duration)

	injector             faultInjector
	mutex                sync.Mutex
	faults               EngineFaults
	waiting              []*sequence
	running              []*sequence
	prefixes             *prefixCache
	attemptCaches        *attemptCache
	counters             EngineCounters
	highestFencingNumber int64
	loadReports          []timedLoad
	cacheEventLog        []spokeengine.CacheEvent
	wake                 chan struct{}
}

// sequence is one answer that the engine generates.
type sequence struct {
	request           spokeengine.GenerateRequest
	prompt            string
	prefillLeft       int
	unreportedPrefill int
	nextIndex         int
	events            chan spokeengine.Event
	ended             bool
	fault             streamFault
}

// TokenAt returns the token at an index of the answer to a prompt. It depends
// on nothing else, so that a caller can check an answer.
func TokenAt(prompt string, index int) string {
	return fmt.Sprintf("t%04x ", xxhash.Sum64String(fmt.Sprintf("%d|%s", index, prompt))&0xffff)
}

// JoinPrompt joins the messages of a conversation to the prompt that TokenAt
// takes.
func JoinPrompt(messages []spokeengine.Message) string {
	parts := make([]string, 0, len(messages))
	for _, message := range messages {
		parts = append(parts, message.Role+": "+message.Content)
	}
	return strings.Join(parts, "\n")
}

func (e *Engine) setDefaults() {
	if e.Slots == 0 {
		e.Slots = defaultSlots
	}
	if e.StepTime == 0 {
		e.StepTime = defaultStepTime
	}
	if e.PrefillTokensPerStep == 0 {
		e.PrefillTokensPerStep = defaultPrefillTokensPerStep
	}
	if e.PrefixCacheEntries == 0 {
		e.PrefixCacheEntries = defaultPrefixCacheEntries
	}
	e.prefixes = newPrefixCache(e.PrefixCacheEntries)
	e.attemptCaches = newAttemptCache()
	e.wake = make(chan struct{}, 1)
}

// SetFaults replaces all faults of the engine.
func (e *Engine) SetFaults(faults EngineFaults) {
	e.injector.setFaults(faults.Faults)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.faults = faults
}

// maxLateSteps bounds the time that Run catches up, so that an engine that was
// suspended does not generate at once what it would have generated meanwhile.
const maxLateSteps = 250 * time.Millisecond

// Run executes the engine's steps until ctx ends. Steps that are late, as the process
// waits for the processor, follow each other at once: the accelerator that the engine
// stands in for keeps its pace.
func (e *Engine) Run(ctx context.Context) {
	sleep := e.SleepFunc
	if sleep == nil {
		sleep = time.Sleep
	}
	nextStepAt := time.Now()
	for ctx.Err() == nil {
		if pause := e.step(); pause > 0 {
			nextStepAt = later(nextStepAt, time.Now().Add(-maxLateSteps)).Add(pause)
			sleep(time.Until(nextStepAt))
			continue
		}
		select {
		case <-ctx.Done():
		case <-e.wake:
			nextStepAt = time.Now()
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// step executes one step for all running answers. It returns how long the step
// takes, or zero if no answer runs.
func (e *Engine) step() time.Duration {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.removeEnded()
	e.admitWaiting()
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

// removeEnded removes answers that are complete or were cancelled.
func (e *Engine) removeEnded() {
	e.running = withoutEnded(e.running)
	e.waiting = withoutEnded(e.waiting)
}

func withoutEnded(list []*sequence) []*sequence {
	remaining := list[:0]
	for _, s := range list {
		if !s.ended {
			remaining = append(remaining, s)
		}
	}
	return remaining
}

// admitWaiting moves waiting answers to free slots, by priority and then in
// order of arrival.
func (e *Engine) admitWaiting() {
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

// advance computes prompt tokens of one answer within the step's budget or, if
// the prompt is computed, generates the next token or the final event. It
// returns the budget that is left.
func (e *Engine) advance(s *sequence, budget int) int {
	if s.prefillLeft > 0 {
		computed := min(budget, s.prefillLeft)
		s.prefillLeft -= computed
		return budget - computed
	}
	if s.nextIndex >= s.request.MaxTokens {
		s.events <- spokeengine.Event{AttemptID: s.request.AttemptID, Index: s.nextIndex, FinishReason: "length"}
		e.endSequence(s)
		return budget
	}
	event := spokeengine.Event{AttemptID: s.request.AttemptID, Index: s.nextIndex, Token: TokenAt(s.prompt, s.nextIndex)}
	event.ComputedTokens, s.unreportedPrefill = s.unreportedPrefill, 0
	s.nextIndex++
	e.counters.GeneratedTokens++
	s.events <- event
	return budget
}

func (e *Engine) endSequence(s *sequence) {
	if s.ended {
		return
	}
	s.ended = true
	e.attemptCaches.setTokens(s.request.AttemptID, promptTokens(s.prompt)+s.nextIndex)
	close(s.events)
}

func promptTokens(prompt string) int {
	return len(strings.Fields(prompt))
}

func (e *Engine) enqueue(request spokeengine.GenerateRequest) *sequence {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	s := &sequence{
		request:   request,
		prompt:    JoinPrompt(request.Messages),
		nextIndex: len(request.DeliveredTokens),
		events:    make(chan spokeengine.Event, request.MaxTokens+1),
		fault:     e.nextStreamFault(),
	}
	s.prefillLeft = e.uncachedTokens(s)
	s.unreportedPrefill = s.prefillLeft
	e.counters.Requests++
	e.counters.ComputedTokens += int64(s.prefillLeft)
	if len(request.DeliveredTokens) > 0 {
		e.counters.RecomputedTokens += int64(s.prefillLeft)
	}
	e.waiting = append(e.waiting, s)
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return s
}

// uncachedTokens returns how many tokens of the prompt and of the resumed part
// of the answer must be computed, because neither a moved KV cache nor the
// prefix cache holds them.
func (e *Engine) uncachedTokens(s *sequence) int {
	total := promptTokens(s.prompt) + len(s.request.DeliveredTokens)
	cached := e.attemptCaches.tokenCount(s.request.CacheAttemptID)
	if cached == 0 {
		cached = e.prefixes.lookUpAndInsert(s.request.Messages, e.recordCacheEvent)
	}
	cached = min(cached, total)
	e.counters.CachedTokens += int64(cached)
	return total - cached
}

func (e *Engine) recordCacheEvent(prefix uint64, dropped bool) {
	event := spokeengine.CacheEvent{Sequence: int64(len(e.cacheEventLog)), Prefix: prefix, Dropped: dropped}
	e.cacheEventLog = append(e.cacheEventLog, event)
}

func (e *Engine) cancelSequence(s *sequence) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.endSequence(s)
}
