package spokecore

import (
	"mulberryspoke.example/mulberryspoke/spokebackend"
	"mulberryspoke.example/mulberryspoke/spokeclock"
)

const (
	// slowPlace is the slowness from which a server is no better place.
	slowPlace = 2.5
	// slowEnough is the slowness from which an answer leaves its server.
	slowEnough = 4.0
	// worthMoving is the number of tokens left for which it does.
	worthMoving = 6
	// slowCheckEvery is the number of events for each look at the slowness.
	slowCheckEvery = 2
	// finishMargin is what an answer that stays must have left when its server
	// leaves: a pause and the way to the caller.
	finishMargin = 300 * spokeclock.Millis(1)
	// defaultGap is the time for an event of a route without a target.
	defaultGap = 61 * spokeclock.Millis(1)
)

// mustMove decides whether an answer is to leave a departing server, or is
// expected to end there in time.
func (r *run) mustMove(departure spokebackend.Removal) bool {
	if !r.core.MoveOnRemoval || !r.mayRunAgain() {
		return false
	}
	if departure.Source == spokebackend.SourceOperatorDrain || departure.Source == spokebackend.SourcePlan {
		return false
	}
	if departure.Source == spokebackend.SourceOperatorStop || departure.Remaining == 0 {
		return true
	}
	rest := spokeclock.Millis(r.request.AnswerTokens - r.answered())
	return rest*r.tokenGap()+finishMargin > departure.Remaining
}

// tokenGap is the observed time for a token, or the target before there is one.
func (r *run) tokenGap() spokeclock.Millis {
	count := spokeclock.Millis(r.answered())
	firstAt := spokeclock.Millis(r.firstAt.Load())
	if count > 1 && firstAt > 0 {
		return (r.core.Clock.Now()-firstAt)/count + 1
	}
	if target := r.request.Route.GapTarget; target > 0 {
		return target
	}
	return defaultGap
}

// shouldLeave reports whether the server has slowed down so much that the rest
// of the answer, which is worth the move, comes sooner from another.
func (r *run) shouldLeave(work *spokebackend.Attempt) bool {
	if !r.core.MoveOnSlowdown || r.events.Load()%slowCheckEvery != 0 || r.request.AnswerTokens-r.answered() < worthMoving {
		return false
	}
	if work.Slowness() < slowEnough || !r.mayRunAgain() || !r.hasBetterPlace(work.Instance().Name) {
		return false
	}
	return r.service.budget.AllowRetry()
}

// hasBetterPlace reports whether another server could run the request at once.
func (r *run) hasBetterPlace(current string) bool {
	for _, c := range r.core.Registry.Candidates(r.request.Service.Name, "") {
		usable := !c.Draining && !c.Suspended && c.Name != current
		if usable && c.InFlight < c.Slots && c.Slowness < slowPlace {
			return true
		}
	}
	return false
}
