package spokeclock

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Millis is an instant since the start of the process or a span of time, in
// milliseconds. The zero value is the start of the process.
type Millis int64

// Second is one second.
const Second Millis = 1000

// FromDuration returns the whole milliseconds of a standard duration.
func FromDuration(d time.Duration) Millis {
	return Millis(d.Milliseconds())
}

// Duration returns the span as a standard duration.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// RetryAfterSeconds returns the span in whole seconds, rounded up and at least one.
func (m Millis) RetryAfterSeconds() int {
	return max(1, int((m+Second-1)/Second))
}

// Clock tells a monotonic time. The zero value is ready for use and safe for
// concurrent use.
type Clock struct {
	// NowFunc replaces the process's monotonic time. Nil means the real one.
	NowFunc func() Millis
}

var processStart = time.Now()

// Now returns the time since the start of the process.
func (c *Clock) Now() Millis {
	if c != nil && c.NowFunc != nil {
		return c.NowFunc()
	}
	return FromDuration(time.Since(processStart))
}

// NewBootClock returns a clock that goes on while the machine is suspended. Leases need
// it: the store's time does not stop with this machine's.
func NewBootClock() *Clock {
	start := bootTime()
	return &Clock{NowFunc: func() Millis { return bootTime() - start }}
}

// bootTime falls back to the process's own time where the system has no such
// clock.
func bootTime() Millis {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return FromDuration(time.Since(processStart))
	}
	return FromDuration(time.Duration(now.Nano()))
}

// NewSteadyWallFunc returns a function that tells the time since the Unix epoch as it
// was when the process started, carried on by a clock that does not jump.
func NewSteadyWallFunc() func() Millis {
	clock := NewBootClock()
	start := Wall() - clock.Now()
	return func() Millis { return start + clock.Now() }
}

// Wall returns the time since the Unix epoch, for records that outlive a
// process. Nothing is decided by comparing the walls of two processes.
func Wall() Millis {
	return Millis(time.Now().UnixMilli())
}

// Sleep waits for a span of time. It returns early with the context's error
// when ctx ends.
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

// Every calls f at an interval until ctx ends. The first call comes at once.
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

// Manual is a clock's time that a test moves by hand. It is safe for
// concurrent use.
type Manual struct {
	now atomic.Int64
}

// Clock returns a clock that shows the manual time.
func (m *Manual) Clock() *Clock {
	return &Clock{NowFunc: func() Millis { return Millis(m.now.Load()) }}
}

// Advance moves the time forward.
func (m *Manual) Advance(by Millis) {
	m.now.Add(int64(by))
}
