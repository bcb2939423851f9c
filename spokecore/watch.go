package spokecore

import (
	"context"
	"sync"
	"time"

	"mulberryspoke.example/mulberryspoke/spokebackend"
	"mulberryspoke.example/mulberryspoke/spokeclock"
)

const (
	// lateFactor is how many latency targets a server may be silent before its
	// answer counts as late and, where it may be repeated, goes elsewhere.
	lateFactor = 3
	// gapFactor is the same for the pause between events.
	gapFactor = 2
	// leastSilence keeps short targets from taking every pause for a failure.
	leastSilence = 300 * spokeclock.Millis(1)
	// turnFactor is how many times the first silence a request may wait its turn
	// while every other server is full too.
	turnFactor = 4
	// leastCheck bounds the work of looking at silent servers.
	leastCheck = 10 * spokeclock.Millis(1)
)

// watch notices when a server is silent for too long, before any report of the
// server could say so. It ends the attempt only if another server may run the
// request, and within the budget for repeats.
type watch struct {
	clock   *spokeclock.Clock
	work    *spokebackend.Attempt
	cancel  context.CancelCauseFunc
	mayMove func() bool
	better  func() bool
	silence SilenceLimits

	mutex  sync.Mutex
	timer  *time.Timer
	last   spokeclock.Millis
	first  bool
	paused bool
	ended  bool
}

// watch begins to watch an attempt. Requests without a target are not watched.
func (r *run) watch(work *spokebackend.Attempt, cancel context.CancelCauseFunc) *watch {
	w := &watch{
		clock: r.core.Clock, work: work, cancel: cancel, last: r.core.Clock.Now(), first: true, silence: r.silence(),
		mayMove: func() bool { return r.mayRunAgain() && r.service.budget.AllowRetry() },
		better:  func() bool { return r.hasBetterPlace(work.Instance().Name) },
	}
	if w.silence.FirstEvent == 0 {
		w.ended = true
		return w
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.timer = time.AfterFunc(w.silence.FirstEvent.Duration(), w.check)
	return w
}

// silence returns the request's bounds, or those that follow from its route.
func (r *run) silence() SilenceLimits {
	s, route := r.request.SilenceLimits, r.request.Route
	if s.FirstEvent == 0 && route.LatencyTarget > 0 {
		s.FirstEvent = max(leastSilence, lateFactor*route.LatencyTarget)
	}
	if s.EventGap == 0 {
		s.EventGap = max(leastSilence, gapFactor*route.GapTarget)
	}
	return s
}

// event notes an event.
func (w *watch) event() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.last = w.clock.Now()
	if w.first && !w.ended {
		w.timer.Reset(w.untilCheck(0).Duration())
	}
	w.first = false
}

// pause stops the count while the caller is the slow one.
func (w *watch) pause() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.paused = true
}

// resume starts the count again.
func (w *watch) resume() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.paused = false
	w.last = w.clock.Now()
}

func (w *watch) stop() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.ended = true
	if w.timer != nil {
		w.timer.Stop()
	}
}

// check notes a silent server, and gives the attempt up when it is silent for
// too long.
func (w *watch) check() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.ended {
		return
	}
	silence := w.clock.Now() - w.last
	if w.paused {
		silence = 0
	}
	if !w.first && w.silence.SlowGap > 0 && silence >= w.silence.SlowGap {
		w.work.RecordStall()
	}
	if silence >= w.limit() && !w.isQueued(silence) {
		w.work.RecordStall()
		if w.mayMove() {
			w.cancel(errSilent)
			return
		}
	}
	w.timer.Reset(w.untilCheck(silence).Duration())
}

func (w *watch) limit() spokeclock.Millis {
	if w.first {
		return w.silence.FirstEvent
	}
	return w.silence.EventGap
}

// isQueued reports whether a request without an answer may just be queued.
// Where every other server is full too, a move would only lose its turn.
func (w *watch) isQueued(silence spokeclock.Millis) bool {
	return w.first && silence < turnFactor*w.silence.FirstEvent && !w.better()
}

// untilCheck returns the time until the next look, after a silence.
func (w *watch) untilCheck(silence spokeclock.Millis) spokeclock.Millis {
	limit := w.limit()
	if !w.first && w.silence.SlowGap > 0 {
		limit = min(limit, w.silence.SlowGap)
	}
	if silence < limit {
		return max(leastCheck, limit-silence)
	}
	return limit
}
