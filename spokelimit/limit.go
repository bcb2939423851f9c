package spokelimit

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeconfig"
)

const (
	minimumBurst = 1
	retryUnknown = spokeclock.Second
)

// Limiter enforces the rates of all workspaces at one entry instance. The zero
// value is ready for use. It is safe for concurrent use.
type Limiter struct {
	mutex      sync.Mutex
	workspaces map[string]*state
}

type state struct {
	requests   *rate.Limiter
	tokens     *rate.Limiter
	concurrent int
	revision   spokeconfig.Revision
	sharers    int
}

// Decision tells whether a request is within its workspace's limits.
type Decision struct {
	allowed bool
	limit   string
	after   spokeclock.Millis

	perSecond float64
	level     float64
	credit    float64
}

// Rate returns the rate of the allotment that refused the request.
func (v Decision) Rate() float64 { return v.perSecond }

// GlobalLevel returns what was left of the whole allotment, as far as known.
func (v Decision) GlobalLevel() float64 { return v.level }

// LocalLevel returns what was left of this instance's part.
func (v Decision) LocalLevel() float64 { return v.credit }

// Allowed reports whether the request may go on.
func (v Decision) Allowed() bool { return v.allowed }

// ExceededLimit returns the setting that refused the request.
func (v Decision) ExceededLimit() string { return v.limit }

// RetryAfter returns when a repeat may succeed.
func (v Decision) RetryAfter() spokeclock.Millis { return v.after }

// BeginRequest counts a request of up to so many answer tokens. Sharers is the number
// of entry instances that share the workspace's limits. An allowed request
// must be ended by End.
func (l *Limiter) BeginRequest(w *spokeconfig.Workspace, revision spokeconfig.Revision, sharers, tokens int) Decision {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	s := l.state(w, revision, max(1, sharers))
	if w.Concurrency > 0 && s.concurrent >= part(w.Concurrency, s.sharers) {
		return Decision{limit: "concurrent_requests", after: retryUnknown}
	}
	now := time.Now()
	if wait := take(s.requests, now, 1); wait > 0 {
		return Decision{limit: "requests_per_second", after: spokeclock.Of(wait) + 1}
	}
	if wait := take(s.tokens, now, tokens); wait > 0 {
		return Decision{limit: "tokens_per_second", after: spokeclock.Of(wait) + 1}
	}
	s.concurrent++
	return Decision{allowed: true}
}

// EndRequest ends an allowed request.
func (l *Limiter) EndRequest(workspace string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if s, ok := l.workspaces[workspace]; ok {
		s.concurrent--
	}
}

func (l *Limiter) state(w *spokeconfig.Workspace, revision spokeconfig.Revision, sharers int) *state {
	if l.workspaces == nil {
		l.workspaces = make(map[string]*state)
	}
	s, ok := l.workspaces[w.Name]
	if !ok {
		s = &state{}
		l.workspaces[w.Name] = s
	}
	if s.revision != revision || s.sharers != sharers {
		s.revision = revision
		s.sharers = sharers
		s.requests = resize(s.requests, w.RequestRate, sharers)
		s.tokens = resize(s.tokens, w.TokenRate, sharers)
	}
	return s
}

// resize returns a bucket of an instance's part of a rate, which holds one
// second of it. Nil means no limit.
func resize(old *rate.Limiter, perSecond float64, sharers int) *rate.Limiter {
	if perSecond == 0 {
		return nil
	}
	own := perSecond / float64(sharers)
	burst := max(minimumBurst, int(own))
	if old == nil {
		return rate.NewLimiter(rate.Limit(own), burst)
	}
	old.SetLimit(rate.Limit(own))
	old.SetBurst(burst)
	return old
}

// take removes n from a bucket, or returns the time until it would be there.
// More than a full bucket counts as a full one.
func take(bucket *rate.Limiter, now time.Time, n int) time.Duration {
	if bucket == nil {
		return 0
	}
	reservation := bucket.ReserveN(now, min(n, bucket.Burst()))
	wait := reservation.DelayFrom(now)
	if wait > 0 {
		reservation.CancelAt(now)
	}
	return wait
}

// part divides a whole limit, rounding up so that nobody is left with none.
func part(whole, sharers int) int {
	return (whole + sharers - 1) / sharers
}
