package spoketable

import (
	"context"
	"sync"
)

// EraTracker keeps the newest era of a table that any of its answers has told. The
// zero value knows none. It is safe for concurrent use.
type EraTracker struct {
	mutex sync.Mutex
	era   Era
	// current is done once the era has ended.
	current context.Context
	end     context.CancelFunc
}

// Observe records the era of an answer. It returns false if the answer is of an
// older era than another one, so that its rows may no longer exist.
func (t *EraTracker) Observe(era Era) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if era <= t.era {
		return era == t.era
	}
	t.era = era
	if t.end != nil {
		t.end()
	}
	t.current, t.end = nil, nil
	return true
}

// Era returns the newest era, or zero.
func (t *EraTracker) Era() Era {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.era
}

// Current returns a context that is done when a newer era is observed.
func (t *EraTracker) Current() context.Context {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.current == nil {
		t.current, t.end = context.WithCancel(context.Background())
	}
	return t.current
}
