package spokeclock

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Millis is a span of time in milliseconds. An instant is the span since the
// start of the process or, from Wall, since the Unix epoch.
type Millis int64

// Second is one second.
const Second Millis = 1000

// FromDuration converts a time.Duration, truncated to whole milliseconds.
func FromDuration(d time.Duration) Millis {
	return Millis(d.Milliseconds())
}

// Duration converts the span to a time.Duration.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// RetryAfterSeconds returns the span in whole seconds for a Retry-After header:
// rounded up, and at least one.
func (m Millis) RetryAfterSeconds() int {
	return max(1, int((m+Second-1)/Second))
}

// Clock is a source of monotonic time. The zero value and a nil pointer use the
// time since the start of the process. It is safe for concurrent use.
type Clock struct {
	// NowFunc returns the current time. Nil means the monotonic time since the
	// start of the process.
	NowFunc func() Millis
}

var processStart = time.Now()

// Now returns the current time: NowFunc's, or the time since the start of the
// process.
func (c *Clock) Now() Millis {
	if c != nil && c.NowFunc != nil {
		return c.NowFunc()
	}
	return FromDuration(time.Since(processStart))
}

// NewBootClock returns a clock that starts at zero and also counts the time
// that the machine is suspended. Leases need it, because the store's time goes
// on while this machine is suspended.
func NewBootClock() *Clock {
	start := timeSinceBoot()
	return &Clock{NowFunc: func() Millis { return timeSinceBoot() - start }}
}

// timeSinceBoot returns the time since the machine started, including the time
// that it was suspended. It falls back to the time since the start of the process
// if the system has no CLOCK_BOOTTIME.
func timeSinceBoot() Millis {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return FromDuration(time.Since(processStart))
	}
	return FromDuration(time.Duration(now.Nano()))
}

// NewSteadyWallFunc returns a function that returns the time since the Unix
// epoch. It reads the wall clock once, at this call, and adds the time elapsed
// on a boot clock, so that the result never jumps when the wall clock is set.
func NewSteadyWallFunc() func() Millis {
	clock := NewBootClock()
	start := Wall() - clock.Now()
	return func() Millis { return start + clock.Now() }
}

// Wall returns the time since the Unix epoch, for records that outlive a
// process. Wall clocks of different machines may differ, so no decision compares
// the wall times of two processes.
func Wall() Millis {
	return Millis(time.Now().UnixMilli())
}

// Sleep waits for a span of time. If ctx ends first, it returns early with the
// context's error.
func Sleep(ctx context.Context, m Millis) error {
	timer := time.NewTimer(m.Duration())
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// Every calls f immediately and then at each interval until ctx ends. A call
// that takes longer than the interval delays the next one.
func Every(ctx context.Context, interval Millis, f func()) {
	ticker := time.NewTicker(interval.Duration())
	defer ticker.Stop()
	for {
		f()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Manual is a time for tests that changes only when Advance is called. It
// starts at zero and is safe for concurrent use.
type Manual struct {
	now atomic.Int64
}

// Clock returns a clock that reads the manual time.
func (m *Manual) Clock() *Clock {
	return &Clock{NowFunc: func() Millis { return Millis(m.now.Load()) }}
}

// Advance moves the time forward by a span.
func (m *Manual) Advance(span Millis) {
	m.now.Add(int64(span))
}
