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

// versionRule says which servers may serve a request while a new software version is rolled
// out.
type versionRule struct {
	filter spokerollout.Filter
	// hasBegun is whether the request is a stream that goes on. It stays at its version,
	// unless that is barred.
	hasBegun bool
}

// versionRule returns the rule for the request, or false if there is none. It is safe for use
// by the watchdog.
func (r *requestRun) versionRule(failedVersion string) (versionRule, bool) {
	if r.core.FilterVersionsFunc == nil {
		return versionRule{}, false
	}
	rule := versionRule{filter: r.core.FilterVersionsFunc(r.request.Service.Name, r.versionDraw, failedVersion), hasBegun: r.softwareVersion.Load() != nil}
	return rule, !rule.filter.IsEmpty()
}

// allowed returns the candidates of the versions that should serve the request.
func (v versionRule) allowed(candidates []spokeroute.Candidate) []spokeroute.Candidate {
	allowsFunc := v.filter.Allows
	if v.hasBegun {
		allowsFunc = v.filter.AllowsInstead
	}
	return keepCandidates(candidates, func(c spokeroute.Candidate) bool { return allowsFunc(c.SoftwareVersion) })
}

// inSubset leaves out servers of the ordered version that don't get its share at this moment.
// Servers among all candidates that can't get the request now are replaced by others.
func (v versionRule) inSubset(kept, all []spokeroute.Candidate, tried []string) []spokeroute.Candidate {
	isLimited := func(c spokeroute.Candidate) bool { return v.filter.LimitsServers(c.SoftwareVersion) }
	if !slices.ContainsFunc(kept, isLimited) {
		return kept
	}
	servers := make([]spokerollout.Server, len(all))
	for i, c := range all {
		isServing := !c.Draining && !c.Suspended && !c.DataCentreUnreachable
		servers[i] = spokerollout.Server{
			Name: c.Name, Version: c.SoftwareVersion, Slots: c.Slots, IsServing: isServing, IsUsable: isServing && !c.Throttled && !slices.Contains(tried, c.Name),
		}
	}
	subset := v.filter.Subset(servers)
	if subset == nil {
		return kept
	}
	return keepCandidates(kept, func(c spokeroute.Candidate) bool { return !isLimited(c) || subset[c.Name] })
}

// filterVersions returns the candidates that may serve the request while a new software
// version is rolled out.
func (r *requestRun) filterVersions(candidates []spokeroute.Candidate) []spokeroute.Candidate {
	rule, isInForce := r.versionRule(r.failedVersion)
	if !isInForce {
		return candidates
	}
	return rule.inSubset(r.keepVersions(rule, candidates), candidates, r.triedServers)
}

// keepVersions returns the candidates of the versions that may serve the request.
func (r *requestRun) keepVersions(rule versionRule, candidates []spokeroute.Candidate) []spokeroute.Candidate {
	allowed := rule.allowed(candidates)
	if rule.hasBegun {
		return allowed
	}
	instead := keepCandidates(candidates, func(c spokeroute.Candidate) bool { return rule.filter.AllowsInstead(c.SoftwareVersion) })
	if r.isUnrecorded {
		// While streams can't be recorded, only those of the service's base can begin.
		if others := keepCandidates(instead, func(c spokeroute.Candidate) bool { return c.SoftwareVersion != r.failedVersion }); len(others) > 0 {
			return others
		}
	}
	if r.hasUsable(allowed, rule.filter) {
		return allowed
	}
	return instead
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
