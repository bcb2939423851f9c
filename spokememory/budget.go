package spokememory

import (
	"math/rand/v2"
	"sync"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeerror"
)

// Kind is the kind of an error of this package. It is also the reason that metrics and
// log lines give.
type Kind string

const (
	// KindFull means that the budget has no room for further bytes.
	KindFull Kind = "full"
	// KindWorkspaceShare means that the workspace holds its part of the budget while
	// others send.
	KindWorkspaceShare Kind = "workspace_share"
	// KindEvicted means that the body arrived too slowly and has lost its bytes.
	KindEvicted Kind = "evicted"
	// KindAnswer means that an answer was not buffered further, for want of room. The rest of
	// its body is forwarded as it comes. A head or an event that doesn't fit ends the answer.
	KindAnswer Kind = "answer_not_buffered"
	// KindTooLarge means that a body is longer than a request's body may be.
	KindTooLarge Kind = "too_large"
	// KindInvalidLimit means that a flag sets a limit that isn't allowed.
	KindInvalidLimit Kind = "invalid_limit"
	// KindNotRead means that a body ended early or came too late.
	KindNotRead Kind = "not_read"
)

const (
	// smallBytes is the size up to which a body may use the reserve. It is above that of
	// nearly all requests, whose prompts have up to 12,000 tokens.
	smallBytes = 128 << 10
	// smallUnknownBytes is the same for a body of unknown length, which may become large.
	smallUnknownBytes = 32 << 10
	// largeShare is the part of the budget that all bodies may fill. The rest is the
	// reserve for small ones.
	largeShare = 0.75
	// workspaceShare is the part of the budget that one workspace may hold while others
	// send.
	workspaceShare = 0.5
	// workspaceActiveTime is how long a workspace counts as sending after its last request.
	workspaceActiveTime = 10 * spokeclock.Second
	// stallLimit is the time without a byte after which a body is evicted if its bytes are
	// needed. It is above three retransmissions in a row of a lost packet (1.4 s).
	stallLimit = 2 * spokeclock.Second
	// slowGrace and minBytesPerSecond define the slow bodies, which are evicted in any
	// case. The largest body takes 3.4 s on a link of 10 Mbit/s, and 300 at once on such a
	// link have 4 KB/s each.
	slowGrace         = 10 * spokeclock.Second
	minBytesPerSecond = 4 << 10
	// minRetryAfter and maxRetryAfter bound the time after which refused callers come
	// back. It is random, as those that are refused together would come back together.
	minRetryAfter = 200 * spokeclock.Millis(1)
	maxRetryAfter = 600 * spokeclock.Millis(1)
)

// Decision is a refusal or an eviction with its inputs.
type Decision struct {
	kind      Kind
	workspace string
	held      int64
	requested int64
	age       spokeclock.Millis
}

// Kind returns the reason.
func (d Decision) Kind() Kind { return d.kind }

// Workspace returns the workspace of the request, or "".
func (d Decision) Workspace() string { return d.workspace }

// Held returns the bytes that all requests held.
func (d Decision) Held() int64 { return d.held }

// Requested returns the bytes that were requested, or that the evicted body held.
func (d Decision) Requested() int64 { return d.requested }

// Age returns the time since the body began.
func (d Decision) Age() spokeclock.Millis { return d.age }

// Budget bounds the bytes that all callers together make this process hold. Its fields
// are set before the first call. A nil Budget has no bound. It is safe for concurrent use.
type Budget struct {
	// Limit is the bound in bytes. Zero means none.
	Limit int64
	// Clock is the source of time. Nil means the real clock.
	Clock *spokeclock.Clock
	// DecidedFunc is called with each refusal and each eviction. It may be nil.
	DecidedFunc func(Decision)

	mutex sync.Mutex
	held  int64
	// reading are the reservations of bodies that are being read and may be evicted.
	reading    map[*Reservation]struct{}
	workspaces map[string]*workspaceUse
}

// workspaceUse is what a workspace holds.
type workspaceUse struct {
	held       int64
	lastUsedAt spokeclock.Millis
}

// Reservation is what one request holds. It belongs to one goroutine.
type Reservation struct {
	budget    *Budget
	workspace string
	// announced is the length of the body; negative if it is not known.
	announced int64
	// smallLimit is the size of the body up to which the request may use the reserve.
	smallLimit int64
	// copies is the number of copies of the body that are charged besides it.
	copies    int64
	startedAt spokeclock.Millis

	// The fields below are guarded by the budget's mutex.
	held        int64
	received    int64
	lastArrival spokeclock.Millis
	evictFunc   func()
	isEvicted   bool
}

// Held returns the bytes that all requests hold.
func (b *Budget) Held() int64 {
	if b == nil {
		return 0
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.held
}

// RetryAfter returns the time after which a refused caller should come back.
func RetryAfter() spokeclock.Millis {
	return minRetryAfter + rand.N(maxRetryAfter-minRetryAfter) //nolint:gosec // Spreading callers needs no secrecy.
}

// Open begins the reservation of a request. Announced is the length of its body in bytes,
// negative if it is not known. Release must be called on each path.
func (b *Budget) Open(workspace string, announced int64) *Reservation {
	r := &Reservation{budget: b, workspace: workspace, announced: announced, smallLimit: smallBytes}
	if announced < 0 {
		r.smallLimit = smallUnknownBytes
	}
	if b != nil {
		r.startedAt = b.Clock.Now()
	}
	return r
}

// SetCopies tells how many copies of the body will be charged besides it. It is called before
// the first charge.
func (r *Reservation) SetCopies(copies int64) { r.copies = copies }

// isUnbounded reports whether nothing is charged.
func (r *Reservation) isUnbounded() bool {
	return r == nil || r.budget == nil || r.budget.Limit <= 0
}

// Grow charges n bytes more. It returns an error of kind KindFull, KindWorkspaceShare or
// KindEvicted if they must not be used.
func (r *Reservation) Grow(n int64) error {
	if r.isUnbounded() {
		return nil
	}
	if kind := r.budget.growAndReport(r, n, ""); kind != "" {
		return spokeerror.New("hold bytes", kind, nil)
	}
	return nil
}

// HoldAnswer charges n bytes more of a buffered answer. It reports whether they may be
// used.
func (r *Reservation) HoldAnswer(n int) bool {
	return r.isUnbounded() || r.budget.growAndReport(r, int64(n), KindAnswer) == ""
}

// growAndReport charges n bytes and reports the decisions. It returns the reason if they
// must not be used, and reports it as reportedKind if that is set.
func (b *Budget) growAndReport(r *Reservation, n int64, reportedKind Kind) Kind {
	b.mutex.Lock()
	decisions, kind := b.grow(r, n)
	b.mutex.Unlock()
	if kind != "" && reportedKind != "" && len(decisions) > 0 {
		decisions[len(decisions)-1].kind = reportedKind
	}
	b.report(decisions)
	return kind
}

// grow charges n bytes or returns the reason why not. It also returns all decisions.
func (b *Budget) grow(r *Reservation, n int64) (decisions []Decision, kind Kind) {
	if r.isEvicted {
		// The eviction has been reported.
		return nil, KindEvicted
	}
	now := b.Clock.Now()
	use := b.useOf(r.workspace, now)
	// The share comes first, as others' bodies must not be evicted for a request that is refused.
	isOwn := func(other *Reservation) bool { return other.workspace == r.workspace }
	for use.held+n > int64(workspaceShare*float64(b.Limit)) && b.othersSend(r.workspace, now) {
		victim := b.longestStalled(r, now, isOwn)
		if victim == nil {
			return append(decisions, b.decide(r, KindWorkspaceShare, n, now)), KindWorkspaceShare
		}
		decisions = append(decisions, b.evict(victim, now))
	}
	ceiling := b.ceilingFor(r, n)
	for b.held+n > ceiling {
		victim := b.longestStalled(r, now, func(*Reservation) bool { return true })
		if victim == nil {
			return append(decisions, b.decide(r, KindFull, n, now)), KindFull
		}
		decisions = append(decisions, b.evict(victim, now))
	}
	b.held += n
	use.held += n
	r.held += n
	return decisions, ""
}

// ceilingFor returns how much may be held with n bytes more of a request.
func (b *Budget) ceilingFor(r *Reservation, n int64) int64 {
	if r.announced <= r.smallLimit && r.held+n <= r.smallLimit*(1+r.copies) {
		return b.Limit
	}
	return int64(largeShare * float64(b.Limit))
}

func (b *Budget) useOf(workspace string, now spokeclock.Millis) *workspaceUse {
	use, exists := b.workspaces[workspace]
	if !exists {
		use = &workspaceUse{}
		if b.workspaces == nil {
			b.workspaces = make(map[string]*workspaceUse)
		}
		b.workspaces[workspace] = use
	}
	use.lastUsedAt = now
	return use
}

// othersSend reports whether another workspace holds bytes or has sent a request lately.
// It forgets the workspaces that have not.
func (b *Budget) othersSend(workspace string, now spokeclock.Millis) bool {
	isAny := false
	for name, use := range b.workspaces {
		switch {
		case name == workspace:
		case use.held > 0 || now-use.lastUsedAt <= workspaceActiveTime:
			isAny = true
		default:
			delete(b.workspaces, name)
		}
	}
	return isAny
}

// longestStalled returns the reading reservation that has waited longest for a byte, at
// least for stallLimit, of those that may be evicted, or nil.
func (b *Budget) longestStalled(except *Reservation, now spokeclock.Millis, mayEvictFunc func(*Reservation) bool) *Reservation {
	var longest *Reservation
	for r := range b.reading {
		isStalled := r != except && r.held > 0 && now-r.lastArrival >= stallLimit
		if isStalled && mayEvictFunc(r) && (longest == nil || r.lastArrival < longest.lastArrival) {
			longest = r
		}
	}
	return longest
}

// evict takes a reservation its bytes. Its reader ends at once.
func (b *Budget) evict(r *Reservation, now spokeclock.Millis) Decision {
	decision := b.decide(r, KindEvicted, r.held, now)
	r.isEvicted = true
	b.free(r)
	r.evictFunc()
	return decision
}

func (b *Budget) decide(r *Reservation, kind Kind, requested int64, now spokeclock.Millis) Decision {
	return Decision{kind: kind, workspace: r.workspace, held: b.held, requested: requested, age: now - r.startedAt}
}

func (b *Budget) report(decisions []Decision) {
	if b.DecidedFunc == nil {
		return
	}
	for _, decision := range decisions {
		b.DecidedFunc(decision)
	}
}

// free returns the bytes of a reservation.
func (b *Budget) free(r *Reservation) {
	delete(b.reading, r)
	b.held -= r.held
	if use, exists := b.workspaces[r.workspace]; exists {
		use.held -= r.held
	}
	r.held = 0
}

// beginReading makes the reservation one that may be evicted, by a call of evictFunc. It
// must not block and must not call the budget.
func (r *Reservation) beginReading(evictFunc func()) {
	if r.isUnbounded() {
		return
	}
	b := r.budget
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.reading == nil {
		b.reading = make(map[*Reservation]struct{})
	}
	r.evictFunc, r.lastArrival = evictFunc, b.Clock.Now()
	b.reading[r] = struct{}{}
}

// recordArrival records that n bytes of the body have arrived.
func (r *Reservation) recordArrival(n int) {
	if r.isUnbounded() {
		return
	}
	r.budget.mutex.Lock()
	defer r.budget.mutex.Unlock()
	r.received += int64(n)
	r.lastArrival = r.budget.Clock.Now()
}

// endReading keeps the reservation from being evicted, as its body is complete. It
// reports whether it has not been evicted before.
func (r *Reservation) endReading() bool {
	if r.isUnbounded() {
		return true
	}
	r.budget.mutex.Lock()
	defer r.budget.mutex.Unlock()
	delete(r.budget.reading, r)
	return !r.isEvicted
}

// Release returns the bytes. Further calls have no effect.
func (r *Reservation) Release() {
	if r.isUnbounded() {
		return
	}
	r.budget.mutex.Lock()
	defer r.budget.mutex.Unlock()
	r.budget.free(r)
}

// EvictSlow evicts the bodies that arrive more slowly than minBytesPerSecond after
// slowGrace. It is to be called about once a second.
func (b *Budget) EvictSlow() {
	if b == nil {
		return
	}
	b.mutex.Lock()
	now := b.Clock.Now()
	var decisions []Decision
	for r := range b.reading {
		age := now - r.startedAt
		if age >= slowGrace && r.received < minBytesPerSecond*int64(age/spokeclock.Second) {
			decisions = append(decisions, b.evict(r, now))
		}
	}
	b.mutex.Unlock()
	b.report(decisions)
}
