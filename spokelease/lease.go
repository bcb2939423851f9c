package spokelease

import (
	"context"
	"sync"

	"github.com/rs/zerolog"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spoketable"
)

const (
	keyPrefix   = "lease/"
	defaultTerm = 6 * spokeclock.Second
	// renewals is how often a term is renewed before it lapses.
	renewals = 3
	// marginDivisor is the part of the term that the holder gives up, so that
	// it stops before any contender starts.
	marginDivisor = 6
)

// FencingNumber is a fencing number. A later holder always has a greater one.
type FencingNumber int64

// Record is the row of a lease.
type Record struct {
	// Holder is the entry instance that holds the lease; empty when released.
	Holder string `json:"holder"`
	// Fence is the fencing number of the last holder.
	Fence FencingNumber `json:"fence"`
	// Term is the span in milliseconds for which a renewal holds.
	Term spokeclock.Millis `json:"term_millis"`
	// RenewalCount counts the renewals, so that each one changes the row.
	RenewalCount int64 `json:"renewal"`
}

// Lease is one process's claim on a duty. Set its fields before Run.
type Lease struct {
	// ReadFunc reads rows of the table that keeps the lease.
	ReadFunc func(ctx context.Context, keys ...string) ([]spoketable.Row, error)
	// TransactFunc tries a transaction on that table once.
	TransactFunc func(ctx context.Context, transaction spoketable.Transaction) (spoketable.Outcome, error)
	// Clock tells the time. Nil means the real one.
	Clock *spokeclock.Clock
	// Name names the duty.
	Name string
	// Holder names this process.
	Holder string
	// Term is the span for which a renewal holds. Zero means six seconds.
	Term spokeclock.Millis
	// MaxDeliveryDelay is the longest time an order takes to reach a server. A
	// successor waits it out after the term.
	MaxDeliveryDelay spokeclock.Millis
	// TakeoverDelay is how long the new holder of a released lease does nothing yet, so
	// that the duty cannot go back and forth within that time. A lease that has
	// lapsed needs no quiet, as its term has been waited out. Zero means that
	// every holder acts at once.
	TakeoverDelay spokeclock.Millis
	// EligibleFunc reports whether this process should contend for the lease
	// while it does not hold it, so that few read its row. Nil means always.
	EligibleFunc func() bool
	// Log takes the lease's log lines.
	Log zerolog.Logger

	mutex       sync.Mutex
	fence       FencingNumber
	heldUntil   spokeclock.Millis
	actsFrom    spokeclock.Millis
	seenVersion spoketable.Version
	seenAt      spokeclock.Millis
	renewal     int64
}

// Run acquires and renews the lease until ctx ends, then releases it.
func (l *Lease) Run(ctx context.Context) {
	if l.Term == 0 {
		l.Term = defaultTerm
	}
	spokeclock.Every(ctx, l.Term/renewals, func() { l.AcquireOrRenew(ctx) })
	l.Release()
}

// Held returns the fencing number, and whether the lease is held at this
// moment by the process's own clock. It is safe for concurrent use. Call it
// right before each order.
func (l *Lease) Held() (FencingNumber, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.Clock.Now()
	return l.fence, now >= l.actsFrom && now < l.heldUntil
}

// holds reports whether the lease is held, also while the holder is quiet.
func (l *Lease) holds() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.Clock.Now() < l.heldUntil
}

// AcquireOrRenew makes one round of acquiring or renewing the lease. Run calls it at an
// interval.
func (l *Lease) AcquireOrRenew(ctx context.Context) {
	if !l.holds() && l.EligibleFunc != nil && !l.EligibleFunc() {
		return
	}
	started := l.Clock.Now()
	rows, err := l.ReadFunc(ctx, keyPrefix+l.Name)
	if err != nil {
		return
	}
	record, ok := l.decode(rows[0])
	if !ok {
		return
	}
	if !l.mayWrite(record, rows[0].Version, started) {
		return
	}
	l.write(ctx, record, rows[0].Version, started)
}

func (l *Lease) decode(row spoketable.Row) (Record, bool) {
	if row.Version == 0 {
		return Record{}, true
	}
	record, err := spoketable.DecodeRow[Record](row)
	if err != nil {
		l.Log.Error().Err(err).Str("lease", l.Name).Msg("Lease row is malformed.")
		return Record{}, false
	}
	return record, true
}

// mayWrite reports whether the lease is this process's own, free, or lapsed by
// this process's own observation.
func (l *Lease) mayWrite(record Record, version spoketable.Version, now spokeclock.Millis) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if record.Holder == "" {
		return true
	}
	if record.Holder == l.Holder && record.Fence == l.fence {
		return true
	}
	if l.seenVersion != version {
		l.seenVersion = version
		l.seenAt = now
		return false
	}
	return now-l.seenAt >= record.Term+l.MaxDeliveryDelay
}

func (l *Lease) write(ctx context.Context, old Record, version spoketable.Version, started spokeclock.Millis) {
	next := l.successor(old, started)
	outcome, err := l.TransactFunc(ctx, spoketable.Transaction{
		Conditions: []spoketable.Condition{{Key: keyPrefix + l.Name, Version: version}},
		Writes:     []spoketable.Write{spoketable.EncodeWrite(keyPrefix+l.Name, next)},
	})
	if err != nil || !outcome.Committed {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if next.Fence != l.fence {
		l.actsFrom = started
		if old.Holder == "" && old.Fence > 0 {
			l.actsFrom += l.TakeoverDelay
		}
		l.Log.Info().Str("lease", l.Name).Int64("fence", int64(next.Fence)).Msg("Lease acquired.")
	}
	l.fence = next.Fence
	l.renewal = next.RenewalCount
	l.heldUntil = started + l.Term - l.Term/marginDivisor
}

// successor returns the row of a renewal, or of a new holding with a greater
// fencing number when the old one has lapsed here.
func (l *Lease) successor(old Record, now spokeclock.Millis) Record {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	next := Record{Holder: l.Holder, Fence: old.Fence + 1, Term: l.Term, RenewalCount: l.renewal + 1}
	if old.Holder == l.Holder && old.Fence == l.fence && now < l.heldUntil {
		next.Fence = old.Fence
	}
	return next
}

// Release gives the lease up, if it is held. Run calls it at its end.
func (l *Lease) Release() {
	held := l.holds()
	l.mutex.Lock()
	fence := l.fence
	l.heldUntil = 0
	l.mutex.Unlock()
	if !held {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), spokeclock.Second.Duration())
	defer cancel()
	rows, err := l.ReadFunc(ctx, keyPrefix+l.Name)
	if err != nil {
		return
	}
	record, ok := l.decode(rows[0])
	if !ok || record.Holder != l.Holder || record.Fence != fence {
		return
	}
	record.Holder = ""
	_, err = l.TransactFunc(ctx, spoketable.Transaction{
		Conditions: []spoketable.Condition{{Key: keyPrefix + l.Name, Version: rows[0].Version}},
		Writes:     []spoketable.Write{spoketable.EncodeWrite(keyPrefix+l.Name, record)},
	})
	l.Log.Info().Err(err).Str("lease", l.Name).Msg("Lease released.")
}
