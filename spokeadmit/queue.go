package spokeadmit

import (
	"context"
	"sync"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeerror"
)

// Kind is the kind of an error of this package.
type Kind string

const (
	// KindOverloaded means that the expected wait exceeds MaxWait.
	KindOverloaded Kind = "overloaded"
	// KindWaitTimeout means that no slot became free within MaxWait.
	KindWaitTimeout Kind = "wait_lapsed"
	// KindCancelled means that the caller's context ended during the wait.
	KindCancelled Kind = "cancelled"
)

const (
	// gapSmoothing is the weight of the old mean in the moving average of the
	// time between two releases.
	gapSmoothing = 0.95
	// pollInterval is the time between two checks for capacity that became free
	// without a release here, at peers or at new backend servers.
	pollInterval = 10 * spokeclock.Millis(1)
)

// Capacity is the number of requests that a service can run for this instance.
type Capacity struct {
	// Slots is the number of slots, including those that this instance's
	// admitted requests take.
	Slots int
	// LongSlots is the number of them that long answers may take.
	LongSlots int
}

// Request describes a request that needs a slot.
type Request struct {
	// Workspace is the name of the workspace that sent the request.
	Workspace string
	// Weight is the workspace's weight in the fair share. It must be positive.
	Weight int
	// LongAnswer is true if a long answer is expected.
	LongAnswer bool
	// MaxWait is the longest time in the queue.
	MaxWait spokeclock.Millis
}

// Queue admits the requests of one service. Set its fields before the first
// call. It is safe for concurrent use.
type Queue struct {
	// CapacityFunc returns the capacity of the service's backend servers, less
	// the slots that peers' requests take. It is called with the queue locked.
	CapacityFunc func() Capacity
	// Clock measures the time between releases. Nil means the process's
	// monotonic clock.
	Clock *spokeclock.Clock

	// mutex guards the fields below. It is held by the callers of all unexported
	// methods except enqueue, removeWaiter and pollOnce.
	mutex             sync.Mutex
	waiting           []*waiter
	workspaceInFlight map[string]int
	inFlight          int
	longInFlight      int
	// meanGap is the moving average of the time between two releases while all slots
	// are taken, in milliseconds.
	meanGap float64
	// lastReleaseAt is zero until the first release.
	lastReleaseAt spokeclock.Millis
	// isFull is whether all slots are taken, and fullSince since when.
	isFull    bool
	fullSince spokeclock.Millis
	isPolling bool
}

// waiter is a request in the queue.
type waiter struct {
	request Request
	// admitted is closed when the request gets a slot.
	admitted chan struct{}
}

// Admission is the slot of an admitted request. Release it exactly once.
type Admission struct {
	queue   *Queue
	request Request
}

// Admit waits for a slot. It fails at once with KindOverloaded if the expected
// wait exceeds request.MaxWait, with KindWaitTimeout if no slot became free
// within MaxWait, and with KindCancelled if ctx ended first.
func (q *Queue) Admit(ctx context.Context, request Request) (*Admission, error) {
	w, err := q.enqueue(request)
	if err != nil {
		return nil, err
	}
	waitCtx, cancel := context.WithTimeout(ctx, request.MaxWait.Duration())
	defer cancel()
	select {
	case <-w.admitted:
		return &Admission{queue: q, request: request}, nil
	case <-waitCtx.Done():
	}
	if !q.removeWaiter(w) {
		// The request was admitted just as the wait ended.
		return &Admission{queue: q, request: request}, nil
	}
	if ctx.Err() != nil {
		return nil, spokeerror.New("admit", KindCancelled, ctx.Err())
	}
	return nil, spokeerror.Newf("admit", KindWaitTimeout, "no slot became free within %d ms", request.MaxWait)
}

// enqueue adds a request to the queue and admits it if there is a free slot. It
// returns an error of KindOverloaded if the expected wait exceeds MaxWait.
func (q *Queue) enqueue(request Request) (*waiter, error) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.workspaceInFlight == nil {
		q.workspaceInFlight = make(map[string]int)
	}
	w := &waiter{request: request, admitted: make(chan struct{})}
	q.waiting = append(q.waiting, w)
	q.admitWaiting()
	if isAdmitted(w) {
		return w, nil
	}
	if q.expectedWait(request) > request.MaxWait {
		q.removeLocked(w)
		return nil, spokeerror.Newf("admit", KindOverloaded, "the expected wait for a slot exceeds %d ms", request.MaxWait)
	}
	q.startPolling()
	return w, nil
}

func isAdmitted(w *waiter) bool {
	select {
	case <-w.admitted:
		return true
	default:
		return false
	}
}

// removeWaiter removes a waiter from the queue and reports whether it was still
// waiting.
func (q *Queue) removeWaiter(w *waiter) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.removeLocked(w)
}

func (q *Queue) removeLocked(w *waiter) bool {
	for i, other := range q.waiting {
		if other == w {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// admitWaiting admits waiting requests while there are free slots.
func (q *Queue) admitWaiting() {
	for {
		next, freeSlots := q.nextIndex()
		if next < 0 {
			if len(q.waiting) > 0 && freeSlots <= 0 {
				q.setFull(true)
			}
			return
		}
		w := q.waiting[next]
		q.waiting = append(q.waiting[:next], q.waiting[next+1:]...)
		q.workspaceInFlight[w.request.Workspace]++
		q.inFlight++
		if w.request.LongAnswer {
			q.longInFlight++
		}
		q.setFull(freeSlots <= 1)
		close(w.admitted)
	}
}

func (q *Queue) setFull(isFull bool) {
	if isFull && !q.isFull {
		q.fullSince = q.Clock.Now()
	}
	q.isFull = isFull
}

// nextIndex returns the index of the waiting request to admit next, or -1 if
// none can be admitted, and the number of free slots. Short answers go before long ones, then the workspace
// with the fewest requests in flight for its weight, then the oldest request.
func (q *Queue) nextIndex() (index, freeSlots int) {
	if len(q.waiting) == 0 {
		return -1, 0
	}
	capacity := q.CapacityFunc()
	freeSlots = capacity.Slots - q.inFlight
	if freeSlots <= 0 {
		return -1, freeSlots
	}
	best := -1
	for i, w := range q.waiting {
		if w.request.LongAnswer && capacity.LongSlots-q.longInFlight <= 0 {
			continue
		}
		if best < 0 || q.hasPriority(w.request, q.waiting[best].request) {
			best = i
		}
	}
	return best, freeSlots
}

// hasPriority reports whether a is admitted before b, whatever their order in
// the queue.
func (q *Queue) hasPriority(a, b Request) bool {
	if a.LongAnswer != b.LongAnswer {
		return !a.LongAnswer
	}
	return q.workspaceInFlight[a.Workspace]*b.Weight < q.workspaceInFlight[b.Workspace]*a.Weight
}

// Release frees the slot. It does nothing on a nil admission.
func (a *Admission) Release() {
	if a == nil {
		return
	}
	q := a.queue
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.workspaceInFlight[a.request.Workspace]--
	if q.workspaceInFlight[a.request.Workspace] == 0 {
		delete(q.workspaceInFlight, a.request.Workspace)
	}
	q.inFlight--
	if a.request.LongAnswer {
		q.longInFlight--
	}
	q.recordRelease()
	q.admitWaiting()
}

// recordRelease updates the mean time between two releases. Time in which slots were
// free says nothing of how soon one becomes free, and doesn't count.
func (q *Queue) recordRelease() {
	now := q.Clock.Now()
	if q.isFull {
		gap := float64(now - max(q.lastReleaseAt, q.fullSince))
		q.meanGap = gapSmoothing*q.meanGap + (1-gapSmoothing)*gap
	}
	q.lastReleaseAt = now
	q.setFull(false)
}

// waitingBefore returns the number of waiting requests that are admitted before
// a new one, as an estimate that ignores the fair share of the workspaces. Long
// answers don't count for a short one. The request itself counts if it is
// already in the queue.
func (q *Queue) waitingBefore(request Request) int {
	count := 0
	for _, w := range q.waiting {
		if !w.request.LongAnswer || request.LongAnswer {
			count++
		}
	}
	return count
}

// expectedWait is the number of requests to admit first times the mean time
// between two releases.
func (q *Queue) expectedWait(request Request) spokeclock.Millis {
	return spokeclock.Millis(float64(q.waitingBefore(request)) * q.meanGap)
}

// RetryAfter returns when a refused request should be retried: after its
// expected wait, and after one second at least.
func (q *Queue) RetryAfter(request Request) spokeclock.Millis {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return max(spokeclock.Second, q.expectedWait(request))
}

// Waiting returns the number of requests that wait for a slot.
func (q *Queue) Waiting() int {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return len(q.waiting)
}

// InFlight returns the number of admitted requests that haven't been released.
func (q *Queue) InFlight() int {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.inFlight
}

// startPolling starts a goroutine that checks for free capacity while requests
// wait. Slots that peers free cause no release here.
func (q *Queue) startPolling() {
	if q.isPolling {
		return
	}
	q.isPolling = true
	go func() {
		for q.pollOnce() {
			_ = spokeclock.Sleep(context.Background(), pollInterval)
		}
	}()
}

// pollOnce admits what it can and reports whether requests still wait.
func (q *Queue) pollOnce() bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.admitWaiting()
	q.isPolling = len(q.waiting) > 0
	return q.isPolling
}
