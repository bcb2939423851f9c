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
	// KindOverloaded says that the wait would be too long.
	KindOverloaded Kind = "overloaded"
	// KindWaitTimeout says that the request waited as long as it may.
	KindWaitTimeout Kind = "wait_lapsed"
	// KindCancelled says that the caller went away.
	KindCancelled Kind = "cancelled"
)

const (
	gapMemory    = 0.95
	pollInterval = 10 * spokeclock.Millis(1)
)

// Capacity is how many requests a service can take now.
type Capacity struct {
	// Slots is the number of free slots.
	Slots int
	// LongSlots is the number of them that long answers may take.
	LongSlots int
}

// Request asks for a place.
type Request struct {
	// Workspace names who asks.
	Workspace string
	// Weight is the workspace's part in a fair share. It must be positive.
	Weight int
	// LongAnswer says that a long answer is expected.
	LongAnswer bool
	// MaxWait is the longest wait.
	MaxWait spokeclock.Millis
}

// Queue admits the requests of one service. Set its fields before the first
// call. It is safe for concurrent use.
type Queue struct {
	// CapacityFunc returns the capacity that backend servers have besides what this
	// queue has admitted. It is called with the queue locked.
	CapacityFunc func() Capacity
	// Clock tells the time. Nil means the real one.
	Clock *spokeclock.Clock

	mutex    sync.Mutex
	waiting  []*waiter
	admitted map[string]int
	inUse    int
	longUse  int
	gap      float64
	lastEnd  spokeclock.Millis
	polling  bool
}

type waiter struct {
	request Request
	ready   chan struct{}
}

// Admission is an admitted request's place. Release it exactly once.
type Admission struct {
	queue   *Queue
	request Request
}

// Admit waits for a place. It returns an error of kind KindFull at once when
// the wait would be longer than allowed, KindLapsed when it was, or
// KindCancelled.
func (q *Queue) Admit(ctx context.Context, request Request) (*Admission, error) {
	w, err := q.enter(request)
	if err != nil {
		return nil, err
	}
	lapse, cancel := context.WithTimeout(ctx, request.MaxWait.Duration())
	defer cancel()
	select {
	case <-w.ready:
		return &Admission{queue: q, request: request}, nil
	case <-lapse.Done():
	}
	if !q.leave(w) {
		return &Admission{queue: q, request: request}, nil
	}
	if ctx.Err() != nil {
		return nil, spokeerror.New("admit", KindCancelled, ctx.Err())
	}
	return nil, spokeerror.Newf("admit", KindWaitTimeout, "no place within %d ms", request.MaxWait)
}

func (q *Queue) enter(request Request) (*waiter, error) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.admitted == nil {
		q.admitted = make(map[string]int)
	}
	w := &waiter{request: request, ready: make(chan struct{})}
	q.waiting = append(q.waiting, w)
	q.dispatch()
	if admittedNow(w) {
		return w, nil
	}
	if q.expectedWait(request) > request.MaxWait {
		q.remove(w)
		return nil, spokeerror.Newf("admit", KindOverloaded, "the expected wait is over %d ms", request.MaxWait)
	}
	q.poll()
	return w, nil
}

func admittedNow(w *waiter) bool {
	select {
	case <-w.ready:
		return true
	default:
		return false
	}
}

// leave removes a waiter and reports whether it was still waiting.
func (q *Queue) leave(w *waiter) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.remove(w)
}

func (q *Queue) remove(w *waiter) bool {
	for i, other := range q.waiting {
		if other == w {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// dispatch admits waiting requests while there is room.
func (q *Queue) dispatch() {
	for {
		next := q.next()
		if next < 0 {
			return
		}
		w := q.waiting[next]
		q.waiting = append(q.waiting[:next], q.waiting[next+1:]...)
		q.admitted[w.request.Workspace]++
		q.inUse++
		if w.request.LongAnswer {
			q.longUse++
		}
		close(w.ready)
	}
}

// next returns the waiting request to admit, or -1. Quick requests go before
// long ones, then the workspace with the least use for its weight, then the
// first to come.
func (q *Queue) next() int {
	if len(q.waiting) == 0 {
		return -1
	}
	capacity := q.CapacityFunc()
	if capacity.Slots-q.inUse <= 0 {
		return -1
	}
	best := -1
	for i, w := range q.waiting {
		if w.request.LongAnswer && capacity.LongSlots-q.longUse <= 0 {
			continue
		}
		if best < 0 || q.before(w.request, q.waiting[best].request) {
			best = i
		}
	}
	return best
}

func (q *Queue) before(a, b Request) bool {
	if a.LongAnswer != b.LongAnswer {
		return !a.LongAnswer
	}
	return q.admitted[a.Workspace]*b.Weight < q.admitted[b.Workspace]*a.Weight
}

// Release gives the place back. A nil place has nothing to give back.
func (a *Admission) Release() {
	if a == nil {
		return
	}
	q := a.queue
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.admitted[a.request.Workspace]--
	if q.admitted[a.request.Workspace] == 0 {
		delete(q.admitted, a.request.Workspace)
	}
	q.inUse--
	if a.request.LongAnswer {
		q.longUse--
	}
	q.count()
	q.dispatch()
}

// count keeps the mean time between two places that come free.
func (q *Queue) count() {
	now := q.Clock.Now()
	gap := float64(now - q.lastEnd)
	if q.lastEnd == 0 {
		gap = 0
	}
	q.lastEnd = now
	q.gap = gapMemory*q.gap + (1-gapMemory)*gap
}

// ahead returns how many waiting requests go before a new one.
func (q *Queue) ahead(request Request) int {
	count := 0
	for _, w := range q.waiting {
		if !w.request.LongAnswer || request.LongAnswer {
			count++
		}
	}
	return count
}

func (q *Queue) expectedWait(request Request) spokeclock.Millis {
	return spokeclock.Millis(float64(q.ahead(request)) * q.gap)
}

// RetryAfter returns how long a new request would wait, at least one second,
// as a time to come back after.
func (q *Queue) RetryAfter(request Request) spokeclock.Millis {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return max(spokeclock.Second, q.expectedWait(request))
}

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return len(q.waiting)
}

// InFlight returns the number of admitted requests.
func (q *Queue) InFlight() int {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.inUse
}

// poll looks for room that others made, while requests wait.
func (q *Queue) poll() {
	if q.polling {
		return
	}
	q.polling = true
	go func() {
		for q.pollOnce() {
			_ = spokeclock.Sleep(context.Background(), pollInterval)
		}
	}()
}

func (q *Queue) pollOnce() bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.dispatch()
	q.polling = len(q.waiting) > 0
	return q.polling
}
