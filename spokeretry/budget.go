package spokeretry

import "sync"

const (
	defaultRatio = 0.1
	defaultBurst = 10
)

// Budget is a token bucket that allows retries in proportion to the number of
// requests. Its fields must be set before the first call. It is safe for
// concurrent use.
type Budget struct {
	// Ratio is the number of retries allowed per request. Zero means 0.1.
	Ratio float64
	// Burst is the number of unused retries that may accumulate. Zero means 10.
	Burst float64
	// BurstFunc, if not nil, replaces Burst by a value that may change, such as
	// this process's share of a common burst. The budget then starts half full,
	// as an earlier run of the process may have used the rest. BurstFunc is
	// called with the budget locked.
	BurstFunc func() float64

	mutex  sync.Mutex
	filled bool
	tokens float64
}

// RecordRequest counts the first attempt of a request.
func (b *Budget) RecordRequest() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.fill()
	b.tokens = min(b.burst(), b.tokens+b.ratio())
}

// AllowRetry reports whether a retry is allowed, and if so takes it from the
// budget.
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
	b.tokens = b.burst()
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

func (b *Budget) burst() float64 {
	if b.BurstFunc != nil {
		return b.BurstFunc()
	}
	if b.Burst == 0 {
		return defaultBurst
	}
	return b.Burst
}
