package spokecore

import (
	"context"
	"time"

	"mulberryspoke.example/mulberryspoke/spokebackend"
	"mulberryspoke.example/mulberryspoke/spokeclock"
)

const (
	// maxTargetSlowness is the slowness from which no answer is moved to a server.
	// A server's slowness is relative to the others of its service; 1 is normal.
	maxTargetSlowness = 2.5
	// moveSlowness is the slowness from which an answer moves to another server.
	moveSlowness = 4.0
	// minTokensToMove is the smallest number of remaining tokens for which an
	// answer moves from a slow server.
	minTokensToMove = 6
	// slownessCheckEvents is the number of events between two checks of the
	// server's slowness.
	slownessCheckEvents = 2
	// finishMargin is the least time between the expected end of an answer and the
	// removal of its server for which the answer stays there. It covers one pause
	// between tokens and the delivery to the caller.
	finishMargin = 300 * spokeclock.Millis(1)
	// defaultTokenGap is the time per token on a route without a target.
	defaultTokenGap = 61 * spokeclock.Millis(1)
)

// mustMoveBefore reports whether the answer must move to another server before
// its server is removed: an operator stops the server, the time until its removal
// is unknown, or the answer is not expected to finish in time. It stays if an
// operator or the fleet plan drains the server, which lets answers finish.
func (r *requestRun) mustMoveBefore(removal spokebackend.Removal) bool {
	if !r.allowMoveBefore(removal) {
		return false
	}
	if removal.Source == spokebackend.SourceOperatorStop || removal.Remaining == 0 {
		return true
	}
	remainingTokens := spokeclock.Millis(r.request.AnswerTokens - r.answeredTokens())
	return remainingTokens*r.tokenGap()+finishMargin > removal.Remaining
}

// allowMoveBefore reports whether the answer may move before its server is removed.
func (r *requestRun) allowMoveBefore(removal spokebackend.Removal) bool {
	isDrained := removal.Source == spokebackend.SourceOperatorDrain || removal.Source == spokebackend.SourcePlan
	return r.core.MoveOnRemoval && r.canRunAgain() && !isDrained
}

// moveIfLate moves an answer that stays at a server until its removal, but has not
// finished finishMargin before it: the server may have become slower since.
func (r *requestRun) moveIfLate(ctx context.Context, removal spokebackend.Removal, cancel context.CancelCauseFunc) {
	if !r.allowMoveBefore(removal) {
		return
	}
	timer := time.AfterFunc((removal.Remaining - finishMargin).Duration(), func() {
		if r.canRunAgain() {
			cancel(errServerDraining)
		}
	})
	context.AfterFunc(ctx, func() { timer.Stop() })
}

// tokenGap returns the observed time per token, rounded up. Before one is known,
// it returns the gap target of the route or, without one, defaultTokenGap.
func (r *requestRun) tokenGap() spokeclock.Millis {
	count := spokeclock.Millis(r.answeredTokens())
	firstEventAt := spokeclock.Millis(r.firstEventAt.Load())
	if count > 1 && firstEventAt > 0 {
		return (r.core.Clock.Now()-firstEventAt)/count + 1
	}
	if target := r.request.Route.EventGapTarget; target > 0 {
		return target
	}
	return defaultTokenGap
}

// allowMoveFromSlow reports whether the answer should move as its server has
// slowed down so far that another one would finish it sooner, and if so takes a
// retry from the budget. An answer with few tokens left stays.
func (r *requestRun) allowMoveFromSlow(attempt *spokebackend.Attempt) bool {
	if !r.core.MoveOnSlowdown || r.eventCount.Load()%slownessCheckEvents != 0 || r.request.AnswerTokens-r.answeredTokens() < minTokensToMove {
		return false
	}
	if attempt.Slowness() < moveSlowness || !r.canRunAgain() || !r.hasFreeServer(attempt.Instance().Name) {
		return false
	}
	return r.service.retryBudget.AllowRetry()
}

// hasFreeServer reports whether a server other than the current one could run
// the request immediately.
func (r *requestRun) hasFreeServer(current string) bool {
	version := r.softwareVersion.Load()
	candidates := r.core.Registry.Candidates(r.request.Service.Name, "")
	if rule, isInForce := r.versionRule(""); isInForce {
		// Servers that a rollout keeps the request from are idle, but not free.
		candidates = rule.inSubset(rule.allowed(candidates), candidates, nil)
	}
	for _, c := range candidates {
		isUsable := !c.Draining && !c.Suspended && !c.Throttled && c.Name != current && (version == nil || c.SoftwareVersion == *version)
		if isUsable && c.InFlight < c.Slots && c.Slowness < maxTargetSlowness {
			return true
		}
	}
	return false
}
