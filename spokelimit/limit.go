package spokelimit

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeconfig"
)

const (
	// minBurst is the smallest size of a bucket, in requests or tokens.
	minBurst = 1
	// concurrencyRetryAfter is the retry delay of a request over the concurrency
	// limit, as it is not known when another request will end.
	concurrencyRetryAfter = spokeclock.Second
)

// Limiter enforces the rates of all workspaces at one entry instance. The zero
// value is ready for use. It is safe for concurrent use.
type Limiter struct {
	mutex      sync.Mutex
	workspaces map[string]*workspaceState
}

// workspaceState holds the buckets of one workspace. A nil bucket means no
// limit.
type workspaceState struct {
	requests   *rate.Limiter
	tokens     *rate.Limiter
	concurrent int
	// revision and instances are those that the buckets were sized for.
	revision  spokeconfig.Revision
	instances int
}

// Decision is the result of checking a request against its workspace's limits.
type Decision struct {
	isAllowed     bool
	exceededLimit string
	retryAfter    spokeclock.Millis

	ratePerSecond float64
	globalLevel   float64
	localLevel    float64
	isShort       bool
	allowedPart   float64
	routePart     float64
	roomWait      spokeclock.Millis
	roomPerSecond float64
	countsAge     spokeclock.Millis
}

// CountsAge returns the time since any peer's counts were last received.
func (d Decision) CountsAge() spokeclock.Millis { return d.countsAge }

// RoomWait returns the time until a short allotment has paid what was spent too much.
func (d Decision) RoomWait() spokeclock.Millis { return d.roomWait }

// RoomPerSecond returns what this instance allows of the request's route per second while
// the allotment is short, in tokens or requests.
func (d Decision) RoomPerSecond() float64 { return d.roomPerSecond }

// IsShort reports whether the allotment was short, so that the route's precedence decided.
func (d Decision) IsShort() bool { return d.isShort }

// AllowedPart returns the part of the demand that a short allotment covered.
func (d Decision) AllowedPart() float64 { return d.allowedPart }

// RoutePart returns the part of the requests of the request's route that were allowed while
// the allotment was short.
func (d Decision) RoutePart() float64 { return d.routePart }

// Rate returns the rate per second of the allotment that refused the request,
// in tokens or requests.
func (d Decision) Rate() float64 { return d.ratePerSecond }

// GlobalLevel returns what was left of the whole allotment at the refusal, as
// far as this instance knew, in tokens or requests. It can be negative.
func (d Decision) GlobalLevel() float64 { return d.globalLevel }

// LocalLevel returns what was left of this instance's share of the allotment at
// the refusal, in tokens or requests. It can be negative.
func (d Decision) LocalLevel() float64 { return d.localLevel }

// Allowed reports whether the request is within its workspace's limits.
func (d Decision) Allowed() bool { return d.isAllowed }

// ExceededLimit returns the name of the setting that refused the request, or
// "" if it was allowed.
func (d Decision) ExceededLimit() string { return d.exceededLimit }

// RetryAfter returns the time after which a retry may succeed.
func (d Decision) RetryAfter() spokeclock.Millis { return d.retryAfter }

// BeginRequest counts a request that may return up to tokens answer tokens.
// Instances is the number of entry instances that divide the workspace's limits
// among them. Call EndRequest once for each allowed request.
func (l *Limiter) BeginRequest(w *spokeconfig.Workspace, revision spokeconfig.Revision, instances, tokens int) Decision {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	s := l.state(w, revision, max(1, instances))
	if w.Concurrency > 0 && s.concurrent >= perInstance(w.Concurrency, s.instances) {
		return Decision{exceededLimit: "concurrent_requests", retryAfter: concurrencyRetryAfter}
	}
	now := time.Now()
	request, wait := reserve(s.requests, now, 1)
	if wait > 0 {
		return Decision{exceededLimit: "requests_per_second", retryAfter: spokeclock.FromDuration(wait) + 1}
	}
	if _, wait := reserve(s.tokens, now, tokens); wait > 0 {
		if request != nil {
			request.CancelAt(now)
		}
		return Decision{exceededLimit: "tokens_per_second", retryAfter: spokeclock.FromDuration(wait) + 1}
	}
	s.concurrent++
	return Decision{isAllowed: true}
}

// EndRequest ends a request that BeginRequest allowed.
func (l *Limiter) EndRequest(workspace string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if s, ok := l.workspaces[workspace]; ok {
		s.concurrent--
	}
}

// state returns a workspace's state, with buckets resized if the configuration
// or the number of instances has changed.
func (l *Limiter) state(w *spokeconfig.Workspace, revision spokeconfig.Revision, instances int) *workspaceState {
	if l.workspaces == nil {
		l.workspaces = make(map[string]*workspaceState)
	}
	s, ok := l.workspaces[w.Name]
	if !ok {
		s = &workspaceState{}
		l.workspaces[w.Name] = s
	}
	if s.revision != revision || s.instances != instances {
		s.revision = revision
		s.instances = instances
		s.requests = resize(s.requests, w.RequestRate, instances)
		s.tokens = resize(s.tokens, w.TokenRate, instances)
	}
	return s
}

// resize returns a bucket for one instance's share of a rate. It holds one
// second of that share and keeps the old bucket's level. A rate of zero means
// no limit and returns nil.
func resize(old *rate.Limiter, perSecond float64, instances int) *rate.Limiter {
	if perSecond == 0 {
		return nil
	}
	share := perSecond / float64(instances)
	burst := max(minBurst, int(share))
	if old == nil {
		return rate.NewLimiter(rate.Limit(share), burst)
	}
	old.SetLimit(rate.Limit(share))
	old.SetBurst(burst)
	return old
}

// reserve removes n from a bucket and returns the reservation, nil without a
// bucket. If the bucket holds less, it removes nothing and returns the time until
// the bucket would hold n. An n above the bucket's size counts as a full bucket.
func reserve(bucket *rate.Limiter, now time.Time, n int) (*rate.Reservation, time.Duration) {
	if bucket == nil {
		return nil, 0
	}
	reservation := bucket.ReserveN(now, min(n, bucket.Burst()))
	wait := reservation.DelayFrom(now)
	if wait > 0 {
		reservation.CancelAt(now)
	}
	return reservation, wait
}

// perInstance divides a limit among instances. It rounds up so that no instance
// has a limit of zero.
func perInstance(limit, instances int) int {
	return (limit + instances - 1) / instances
}
