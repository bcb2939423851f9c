package spokecore

import (
	"context"
	"sync"
	"time"

	"mulberryspoke.example/mulberryspoke/spokebackend"
	"mulberryspoke.example/mulberryspoke/spokeclock"
)

const (
	// firstEventFactor is the number of latency targets that a server may be
	// silent before its first event. After that a repeatable request moves to
	// another server.
	firstEventFactor = 3
	// eventGapFactor is the same for the gap between events.
	eventGapFactor = 2
	// minSilenceLimit prevents routes with short targets from treating every
	// pause as a failure.
	minSilenceLimit = 300 * spokeclock.Millis(1)
	// queuedFactor is the number of first-event limits that a request may stay
	// queued at its server while every other server is full too.
	queuedFactor = 4
	// minCheckInterval bounds the cost of checking silent servers.
	minCheckInterval = 10 * spokeclock.Millis(1)
)

// watchdog detects a server that is silent for too long, earlier than any report
// of the server would show it. It cancels the attempt only if another server may
// run the request and the retry budget allows it.
type watchdog struct {
	clock             *spokeclock.Clock
	attempt           *spokebackend.Attempt
	cancel            context.CancelCauseFunc
	allowMoveFunc     func() bool
	hasFreeServerFunc func() bool
	limits            SilenceLimits

	mutex       sync.Mutex
	timer       *time.Timer
	silentSince spokeclock.Millis
	awaitsFirst bool
	paused      bool
	pausedAt    spokeclock.Millis
	stopped     bool
}

// startWatchdog starts to watch an attempt. A request without a limit for the
// first event is not watched.
func (r *requestRun) startWatchdog(attempt *spokebackend.Attempt, cancel context.CancelCauseFunc) *watchdog {
	w := &watchdog{
		clock: r.core.Clock, attempt: attempt, cancel: cancel, silentSince: r.core.Clock.Now(), awaitsFirst: true, limits: r.silenceLimits(),
		allowMoveFunc:     func() bool { return r.canRunAgain() && r.service.retryBudget.AllowRetry() },
		hasFreeServerFunc: func() bool { return r.hasFreeServer(attempt.Instance().Name) },
	}
	if w.limits.FirstEvent == 0 {
		w.stopped = true
		return w
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.timer = time.AfterFunc(w.limits.FirstEvent.Duration(), w.check)
	return w
}

// silenceLimits returns the limits of the request, with missing ones derived
// from the targets of its route.
func (r *requestRun) silenceLimits() SilenceLimits {
	limits, route := r.request.SilenceLimits, r.request.Route
	if limits.FirstEvent == 0 && route.LatencyTarget > 0 {
		limits.FirstEvent = max(minSilenceLimit, firstEventFactor*route.LatencyTarget)
	}
	if limits.EventGap == 0 {
		limits.EventGap = max(minSilenceLimit, eventGapFactor*route.EventGapTarget)
	}
	return limits
}

// recordEvent restarts the measurement of the silence.
func (w *watchdog) recordEvent() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.silentSince = w.clock.Now()
	if w.awaitsFirst && !w.stopped {
		w.timer.Reset(w.untilNextCheck(0).Duration())
	}
	w.awaitsFirst = false
}

// pause stops the measurement while the core is writing to the caller, so that a
// slow caller does not count against the server.
func (w *watchdog) pause() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.paused = true
	w.pausedAt = w.clock.Now()
}

// resume continues the measurement after a pause.
func (w *watchdog) resume() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.paused = false
	w.silentSince += w.clock.Now() - w.pausedAt
}

func (w *watchdog) stop() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
}

// check records a stall if the server is silent, and cancels the attempt if the
// silence exceeds its limit.
func (w *watchdog) check() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.stopped {
		return
	}
	silence := w.clock.Now() - w.silentSince
	if w.paused {
		silence = 0
	}
	if !w.awaitsFirst && w.limits.SlowGap > 0 && silence >= w.limits.SlowGap {
		w.attempt.RecordStall()
	}
	if silence >= w.silenceLimit() && !w.mayBeQueued(silence) {
		w.attempt.RecordStall()
		if w.allowMoveFunc() {
			w.cancel(errServerSilent)
			return
		}
	}
	w.timer.Reset(w.untilNextCheck(silence).Duration())
}

func (w *watchdog) silenceLimit() spokeclock.Millis {
	if w.awaitsFirst {
		return w.limits.FirstEvent
	}
	return w.limits.EventGap
}

// mayBeQueued reports whether a request without an answer may still be queued at
// its server. If every other server is full too, moving the request would only
// lose its position in the queue.
func (w *watchdog) mayBeQueued(silence spokeclock.Millis) bool {
	return w.awaitsFirst && silence < queuedFactor*w.limits.FirstEvent && !w.hasFreeServerFunc()
}

// untilNextCheck returns the time until the next check, given the silence so far.
func (w *watchdog) untilNextCheck(silence spokeclock.Millis) spokeclock.Millis {
	limit := w.silenceLimit()
	if !w.awaitsFirst && w.limits.SlowGap > 0 {
		limit = min(limit, w.limits.SlowGap)
	}
	if silence < limit {
		return max(minCheckInterval, limit-silence)
	}
	return limit
}
