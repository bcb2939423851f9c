package spokeretry

import "sync"

const (
	defaultRatio   = 0.1
	defaultReserve = 10
)

// Budget allows retries as a part of the requests that came. Set its fields
// before the first call. It is safe for concurrent use.
type Budget struct {
	// Ratio is the number of retries allowed for each request. Zero means 0.1.
	Ratio float64
	// Burst is the largest number of retries saved up. Zero means 10.
	Burst float64
	// BurstFunc replaces Reserve by a number that changes, such as a part of
	// what many processes share. The budget then begins with half of it, as an
	// earlier run of the process may have spent the rest. It is called with the
	// budget locked.
	BurstFunc func() float64

	mutex  sync.Mutex
	filled bool
	tokens float64
}

// RecordRequest counts a first try.
func (b *Budget) RecordRequest() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.fill()
	b.tokens = min(b.reserve(), b.tokens+b.ratio())
}

// AllowRetry takes one retry out of the budget and reports whether it was there.
func (b *Budget) AllowRetry() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.fill()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *Budget) fill() {
	if b.filled {
		return
	}
	b.filled = true
	b.tokens = b.reserve()
	if b.BurstFunc != nil {
		b.tokens /= 2
	}
}

func (b *Budget) ratio() float64 {
	if b.Ratio == 0 {
		return defaultRatio
	}
	return b.Ratio
}

func (b *Budget) reserve() float64 {
	if b.BurstFunc != nil {
		return b.BurstFunc()
	}
	if b.Burst == 0 {
		return defaultReserve
	}
	return b.Burst
}
