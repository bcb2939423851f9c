package spokecore

import (
	"context"
	"errors"
	"slices"

	"mulberryspoke.example/mulberryspoke/spokebackend"
	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeerror"
	"mulberryspoke.example/mulberryspoke/spokerollout"
	"mulberryspoke.example/mulberryspoke/spokeroute"
)

// filterVersions returns the candidates that may serve the request while a new software
// version is rolled out. A stream that goes on stays at its version, unless that is barred.
func (r *requestRun) filterVersions(candidates []spokeroute.Candidate) []spokeroute.Candidate {
	if r.core.FilterVersionsFunc == nil {
		return candidates
	}
	filter := r.core.FilterVersionsFunc(r.request.Service.Name, r.versionDraw, r.failedVersion)
	switch {
	case filter.IsEmpty():
		return candidates
	case r.softwareVersion.Load() != nil:
		return keepCandidates(candidates, func(c spokeroute.Candidate) bool { return filter.AllowsInstead(c.SoftwareVersion) })
	}
	instead := keepCandidates(candidates, func(c spokeroute.Candidate) bool { return filter.AllowsInstead(c.SoftwareVersion) })
	if r.isUnrecorded {
		// While streams can't be recorded, only those of the service's base can begin.
		if others := keepCandidates(instead, func(c spokeroute.Candidate) bool { return c.SoftwareVersion != r.failedVersion }); len(others) > 0 {
			return others
		}
	}
	allowed := keepCandidates(candidates, func(c spokeroute.Candidate) bool { return filter.Allows(c.SoftwareVersion) })
	if r.hasUsable(allowed, filter) {
		return allowed
	}
	return instead
}

// mayServe reports whether a rollout lets servers of a version serve the request. It is safe
// for use by the watchdog.
func (r *requestRun) mayServe(version string) bool {
	if r.core.FilterVersionsFunc == nil {
		return true
	}
	filter := r.core.FilterVersionsFunc(r.request.Service.Name, r.versionDraw, "")
	if r.softwareVersion.Load() != nil {
		return filter.AllowsInstead(version)
	}
	return filter.IsEmpty() || filter.Allows(version)
}

// hasUsable reports whether one of the candidates can serve the request.
func (r *requestRun) hasUsable(candidates []spokeroute.Candidate, filter spokerollout.Filter) bool {
	for _, c := range candidates {
		isSound := !c.Suspended && !c.Throttled && !slices.Contains(r.triedServers, c.Name)
		if !c.Draining && (isSound || filter.IsFirm()) {
			return true
		}
	}
	return false
}

func keepCandidates(candidates []spokeroute.Candidate, keepFunc func(spokeroute.Candidate) bool) []spokeroute.Candidate {
	kept := make([]spokeroute.Candidate, 0, len(candidates))
	for _, c := range candidates {
		if keepFunc(c) {
			kept = append(kept, c)
		}
	}
	return kept
}

// pacedEvents is the number of events of a stream after which its pace is reported, so that
// a slow stream is known before its end.
const pacedEvents = 8

// answerObserver reports how the answer to one attempt goes. It is used by one goroutine.
// Nil reports nothing.
type answerObserver struct {
	clock      *spokeclock.Clock
	recordFunc func(spokerollout.Answer)
	// answer has what identifies the attempt in reports.
	answer     spokerollout.Answer
	sentAt     spokeclock.Millis
	isReported bool
	// readyAt is when the last event had been written to the caller. Pauses counts the
	// pauses between events and pauseSum is their sum, without what the caller took.
	readyAt  spokeclock.Millis
	pauses   int
	pauseSum spokeclock.Millis
}

func (r *requestRun) newAnswerObserver(attempt *spokebackend.Attempt) *answerObserver {
	if r.core.RecordAnswerFunc == nil {
		return nil
	}
	return &answerObserver{
		clock: r.core.Clock, recordFunc: r.core.RecordAnswerFunc, sentAt: r.core.Clock.Now(),
		answer: spokerollout.Answer{Service: r.request.Service.Name, Route: r.request.Route.Name, Version: attempt.Instance().SoftwareVersion},
	}
}

// begin reports that the answer has begun or, if it is no stream, is complete.
func (o *answerObserver) begin(isFailed bool) {
	if o == nil || o.isReported {
		return
	}
	o.isReported = true
	report := o.answer
	report.IsAnswer, report.IsFailed, report.FirstEvent = true, isFailed, max(1, o.clock.Now()-o.sentAt)
	o.recordFunc(report)
}

// recordEvent takes note of an event that has arrived, and endEvent that the caller has it.
func (o *answerObserver) recordEvent() {
	if o == nil {
		return
	}
	if !o.isReported {
		o.begin(false)
		return
	}
	o.pauses++
	o.pauseSum += o.clock.Now() - o.readyAt
	if o.pauses == pacedEvents {
		o.reportPace()
	}
}

func (o *answerObserver) endEvent() {
	if o != nil {
		o.readyAt = o.clock.Now()
	}
}

func (o *answerObserver) reportPace() {
	report := o.answer
	report.MeanPause = max(1, float64(o.pauseSum)) / float64(o.pauses)
	o.recordFunc(report)
}

// end reports the end of the attempt. An attempt that was not sent, was refused or was
// ended for a reason of this process's own tells nothing of the server.
func (o *answerObserver) end(ctx context.Context, err error) {
	if o == nil {
		return
	}
	if o.pauses > 0 && o.pauses < pacedEvents {
		o.reportPace()
	}
	report := o.answer
	cause, kind := context.Cause(ctx), spokeerror.KindOf[Kind](err)
	switch {
	case err == nil:
		report.Duration = max(1, o.clock.Now()-o.sentAt)
	case ctx.Err() != nil && (errors.Is(cause, errServerDraining) || errors.Is(cause, errServerSlow)):
		return
	case o.isReported && errors.Is(cause, errServerSilent):
		report.MeanPause = max(1, float64(o.clock.Now()-o.readyAt))
	case ctx.Err() != nil && o.isReported:
		return
	case ctx.Err() != nil:
		report.IsWaiting, report.FirstEvent = true, max(1, o.clock.Now()-o.sentAt)
		report.IsAnswer = errors.Is(cause, errServerSilent)
	case kind == KindNoAnswer || kind == KindInvalidAnswer:
		report.IsAnswer, report.IsBroken = !o.isReported, true
	default:
		return
	}
	o.recordFunc(report)
}
