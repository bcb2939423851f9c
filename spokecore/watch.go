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
)

// watch notices when a server is silent for too long. It ends the attempt only
// if the request may be repeated.
type watch struct {
	work   *spokebackend.Work
	cancel context.CancelCauseFunc
	mayEnd func() bool
	gap    spokeclock.Millis

	mutex sync.Mutex
	timer *time.Timer
	ended bool
}

// watch begins to watch an attempt. Requests without a target are not watched.
func (r *run) watch(work *spokebackend.Work, cancel context.CancelCauseFunc) *watch {
	route := r.request.Route
	w := &watch{
		work: work, cancel: cancel,
		mayEnd: func() bool {
			return r.request.repeatable() && r.ran < r.request.maxAttempts()
		},
		gap: max(leastSilence, gapFactor*route.GapTarget),
	}
	if route.LatencyTarget > 0 {
		w.timer = time.AfterFunc(max(leastSilence, lateFactor*route.LatencyTarget).Duration(), w.lapse)
	}
	return w
}

// fed notes an event.
func (w *watch) fed() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.timer != nil && !w.ended {
		w.timer.Reset(w.gap.Duration())
	}
}

// pause stops the count while the caller is the slow one.
func (w *watch) pause() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.timer != nil {
		w.timer.Stop()
	}
}

func (w *watch) stop() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.ended = true
	if w.timer != nil {
		w.timer.Stop()
	}
}

func (w *watch) lapse() {
	w.mutex.Lock()
	ended := w.ended
	w.mutex.Unlock()
	if ended {
		return
	}
	w.work.Stalled()
	if w.mayEnd() {
		w.cancel(errSilent)
	}
}
