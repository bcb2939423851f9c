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
	// renewalsPerTerm is the number of renewal attempts before a term expires.
	renewalsPerTerm = 3
	// fencesPerEra is added to the fencing number with each restore of the table. It
	// exceeds the number of holders that a restore can make the table forget.
	fencesPerEra = 1_000_000
	// maxRecordTerm bounds the term of another holder's record, which is waited out.
	maxRecordTerm = 5 * 60 * spokeclock.Second
	// maxFence bounds the fencing number of a record, so that a greater one follows.
	maxFence = 1 << 62
	// ownRecordRenewals is the number of renewal intervals after which a record of
	// this instance that this process didn't write is certain to be of a run that has
	// ended.
	ownRecordRenewals = 2
	// safetyMarginDivisor sets the safety margin to a sixth of the term. The
	// holder stops that much earlier, before any contender can start.
	safetyMarginDivisor = 6
)

// FencingNumber orders the holders of a lease: a later holder always has a
// greater number.
type FencingNumber int64

// Record is the content of a lease's row.
type Record struct {
	// Holder is the name of the entry instance that owns the lease. It is empty
	// after a release.
	Holder string `json:"holder"`
	// Fence is the fencing number of the current or last holder.
	Fence FencingNumber `json:"fence"`
	// Term is the time for which a renewal is valid.
	Term spokeclock.Millis `json:"term_millis"`
	// RenewalCount increases with every renewal, so that each one changes the row.
	RenewalCount int64 `json:"renewal"`
	// Era is the table's era in which the record was written.
	Era spoketable.Era `json:"era,omitempty"`
}

// Lease lets one process contend for a duty and keep it. Set its fields before
// Run.
type Lease struct {
	// ReadFunc reads rows of the table that stores the lease.
	ReadFunc func(ctx context.Context, keys ...string) ([]spoketable.Row, error)
	// TransactFunc attempts a transaction on that table once.
	TransactFunc func(ctx context.Context, transaction spoketable.Transaction) (spoketable.Outcome, error)
	// Clock is the time source. Nil means the real clock.
	Clock *spokeclock.Clock
	// Name is the name of the duty.
	Name string
	// Holder is the name of this process.
	Holder string
	// Term is the time for which a renewal is valid. Zero means six seconds.
	Term spokeclock.Millis
	// MaxDeliveryDelay is the longest time that an order of the holder takes to
	// reach a server. A contender waits this long after the term before it takes
	// over.
	MaxDeliveryDelay spokeclock.Millis
	// TakeoverDelay is how long the new holder of a released lease stays
	// inactive, so that the duty cannot move back and forth within that time. An
	// expired lease needs no delay, as the contender has waited for its term to
	// pass. Zero means that every holder is active at once.
	TakeoverDelay spokeclock.Millis
	// EligibleFunc reports whether this process should contend for the lease
	// while it doesn't hold it. This limits the number of processes that read the
	// row. Nil means always.
	EligibleFunc func() bool
	// Log receives the log messages of the lease.
	Log zerolog.Logger

	mutex           sync.Mutex
	fence           FencingNumber
	heldUntil       spokeclock.Millis
	activeFrom      spokeclock.Millis
	observedVersion spoketable.Version
	observedEra     spoketable.Era
	observedAt      spokeclock.Millis
	renewalCount    int64
}

// Run acquires and renews the lease until ctx is done, then releases it.
func (l *Lease) Run(ctx context.Context) {
	if l.Term == 0 {
		l.Term = defaultTerm
	}
	spokeclock.Every(ctx, l.Term/renewalsPerTerm, func() { l.AcquireOrRenew(ctx) })
	l.Release()
}

// Held returns the fencing number, and whether this process owns the lease and
// is active now by its own clock. It is safe for concurrent use. Call it
// immediately before each order.
func (l *Lease) Held() (FencingNumber, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.Clock.Now()
	return l.fence, now >= l.activeFrom && now < l.heldUntil
}

// owns reports whether this process owns the lease. Unlike Held, it also
// returns true during the takeover delay.
func (l *Lease) owns() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.Clock.Now() < l.heldUntil
}

// AcquireOrRenew makes one attempt to acquire or renew the lease. Run calls it
// periodically.
func (l *Lease) AcquireOrRenew(ctx context.Context) {
	if !l.owns() && l.EligibleFunc != nil && !l.EligibleFunc() {
		return
	}
	started := l.Clock.Now()
	rows, err := l.ReadFunc(ctx, keyPrefix+l.Name)
	if err != nil {
		return
	}
	record, ok := l.decodeRecord(rows[0])
	if !ok {
		return
	}
	if !l.canWrite(record, rows[0], started) {
		return
	}
	l.writeRecord(ctx, record, rows[0], started)
}

func (l *Lease) decodeRecord(row spoketable.Row) (Record, bool) {
	if row.Version == 0 {
		return Record{}, true
	}
	record, err := spoketable.DecodeRow[Record](row)
	if err != nil {
		l.Log.Error().Err(err).Str("lease", l.Name).Msg("Lease row is malformed.")
		return Record{}, false
	}
	if record.Fence < 0 || record.Fence > maxFence || record.Era < 0 || record.Era > row.Era {
		l.Log.Error().Int64("fence", int64(record.Fence)).Int64("era", int64(record.Era)).Str("lease", l.Name).Msg("Lease row is out of range.")
		return Record{}, false
	}
	record.Term = min(record.Term, maxRecordTerm)
	return record, true
}

// canWrite reports whether this process owns the lease, or the lease has been
// released, or it has expired as observed by this process. A record of an earlier
// era may be older than the last one: only the process that owns the lease by its
// own clock may replace it at once. An earlier run of this instance has ended when
// this one starts, so that only its last orders have to be waited out.
func (l *Lease) canWrite(record Record, row spoketable.Row, now spokeclock.Millis) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	isOutdated := record.Era < row.Era
	switch {
	case isOutdated && l.fence > 0 && now < l.heldUntil:
		return true
	case isOutdated:
	case record.Holder == "", record.Holder == l.Holder && record.Fence == l.fence:
		return true
	}
	if l.observedVersion != row.Version || l.observedEra != row.Era {
		l.observedVersion = row.Version
		l.observedEra = row.Era
		l.observedAt = now
		return false
	}
	wait := max(record.Term, l.Term) + l.MaxDeliveryDelay
	if record.Holder == l.Holder && !isOutdated {
		wait = max(l.MaxDeliveryDelay, ownRecordRenewals*l.Term/renewalsPerTerm)
	}
	return now-l.observedAt >= wait
}

func (l *Lease) writeRecord(ctx context.Context, old Record, row spoketable.Row, started spokeclock.Millis) {
	next := l.nextRecord(old, row.Era, started)
	outcome, err := l.TransactFunc(ctx, spoketable.Transaction{
		Conditions: []spoketable.Condition{{Key: keyPrefix + l.Name, Version: row.Version}},
		Writes:     []spoketable.Write{spoketable.EncodeWrite(keyPrefix+l.Name, next)},
	})
	if err != nil || !outcome.Committed || outcome.Era != row.Era {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if next.Fence != l.fence {
		l.activeFrom = started
		if old.Holder == "" && old.Fence > 0 {
			l.activeFrom += l.TakeoverDelay
		}
		l.Log.Info().Str("lease", l.Name).Int64("fence", int64(next.Fence)).Msg("Lease acquired.")
	}
	l.fence = next.Fence
	l.renewalCount = next.RenewalCount
	l.heldUntil = started + l.Term - l.Term/safetyMarginDivisor
}

// nextRecord returns the record of a renewal. If this process doesn't hold the
// lease or its term has expired by its own clock, the record has a greater
// fencing number, also than any that a restore of the table has lost.
func (l *Lease) nextRecord(old Record, era spoketable.Era, now spokeclock.Millis) Record {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	next := Record{Holder: l.Holder, Fence: old.Fence + 1 + fencesPerEra*FencingNumber(era-old.Era), Term: l.Term, RenewalCount: l.renewalCount + 1, Era: era}
	isHeld := old.Holder == l.Holder && old.Fence == l.fence
	if (isHeld || old.Era < era) && l.fence > 0 && now < l.heldUntil {
		next.Fence = l.fence
	}
	return next
}

// Release gives up the lease if this process owns it. Run calls it when ctx is
// done.
func (l *Lease) Release() {
	owned := l.owns()
	l.mutex.Lock()
	fence := l.fence
	l.heldUntil = 0
	l.mutex.Unlock()
	if !owned {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), spokeclock.Second.Duration())
	defer cancel()
	rows, err := l.ReadFunc(ctx, keyPrefix+l.Name)
	if err != nil {
		return
	}
	record, ok := l.decodeRecord(rows[0])
	if !ok || record.Holder != l.Holder || record.Fence != fence || record.Era != rows[0].Era {
		return
	}
	record.Holder = ""
	outcome, err := l.TransactFunc(ctx, spoketable.Transaction{
		Conditions: []spoketable.Condition{{Key: keyPrefix + l.Name, Version: rows[0].Version}},
		Writes:     []spoketable.Write{spoketable.EncodeWrite(keyPrefix+l.Name, record)},
	})
	if err != nil || !outcome.Committed {
		l.Log.Warn().Err(err).Str("lease", l.Name).Msg("Lease could not be released; it expires.")
		return
	}
	l.Log.Info().Str("lease", l.Name).Msg("Lease released.")
}
