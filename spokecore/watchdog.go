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
	// freeServerInterval is the time between two checks whether a server has become free for a
	// stream whose server is silent.
	freeServerInterval = 200 * spokeclock.Millis(1)
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
	isServerLostFunc  func() bool
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
		isServerLostFunc:  func() bool { return r.isServerLost(attempt.Instance().Name) },
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
	next := w.untilNextCheck(silence)
	switch {
	case silence < w.silenceLimit():
	case w.mustStay(silence):
		if !w.awaitsFirst {
			next = min(next, freeServerInterval)
		}
	default:
		w.attempt.RecordStall()
		if w.allowMoveFunc() {
			w.cancel(errServerSilent)
			return
		}
	}
	w.timer.Reset(next.Duration())
}

func (w *watchdog) silenceLimit() spokeclock.Millis {
	if w.awaitsFirst {
		return w.limits.FirstEvent
	}
	return w.limits.EventGap
}

// mustStay reports whether the request stays at its silent server as every other one is full
// too. Without an answer it may still be queued, and would only lose its position in the
// queue; a stream that has begun would break off.
func (w *watchdog) mustStay(silence spokeclock.Millis) bool {
	if w.awaitsFirst {
		return silence < queuedFactor*w.limits.FirstEvent && !w.hasFreeServerFunc()
	}
	return !w.isServerLostFunc() && !w.hasFreeServerFunc()
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
