package spokelimit_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mulberryspoke.example/mulberryspoke/spokebackoff"
	"mulberryspoke.example/mulberryspoke/spokecase"
	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokelimit"
)

// The ways in which refused callers are told to come back.
const (
	wayNone     = ""
	wayConstant = "constant"
	wayLimiter  = "limiter"
	wayJitter   = "jitter"
	waySchedule = "schedule"

	constantRetryAfter = 400 * spokeclock.Millis(1)
)

type returningCaller struct {
	kind int
	cost float64
}

// retryCount counts the callers that came back, and when the last one was refused.
type retryCount struct {
	returned, served int
	lastRefusedAt    spokeclock.Millis
}

// scheduleReturn has a refused caller come back once, at another instance.
func (s *scarcitySimulation) scheduleReturn(instance *scarcityInstance, k int, cost float64, decision spokelimit.Decision) {
	s.retried.lastRefusedAt = s.at
	limit := s.kinds[k].TimeLimit
	after := spokeclock.Millis(0)
	switch s.retryWay {
	case wayNone:
		return
	case wayConstant:
		after = constantRetryAfter
	case wayLimiter:
		after = decision.RetryAfter()
	case wayJitter:
		after = spokeclock.Millis(s.random.Float64() * float64(limit) / 3)
	case waySchedule:
		instance.backoff.Clock, instance.backoff.RandomFunc = s.clock.Clock(), s.random.Float64
		room := spokebackoff.Room{Wait: decision.RoomWait(), PerSecond: decision.RoomPerSecond()}
		after = instance.backoff.Book(spokebackoff.Caller{Lane: s.kinds[k].Name, Cost: cost, TimeLeft: limit}, room).RetryAfter()
	}
	at := (s.at+min(after, limit/3))/simulationTick*simulationTick + simulationTick
	s.returns[at] = append(s.returns[at], returningCaller{kind: k, cost: cost})
}

// returnCallers sends the requests of the callers that come back now, and returns the cost
// that was served.
func (s *scarcitySimulation) returnCallers() float64 {
	spent := 0.0
	for _, caller := range s.returns[s.at] {
		kind := s.kinds[caller.kind]
		instance := s.instances[s.random.IntN(len(s.instances))]
		s.retried.returned++
		if instance.limiter.Spend(s.workspace, spokelimit.Route{Name: kind.Name, Priority: kind.Priority}, caller.cost).Allowed() {
			s.retried.served++
			s.counts[caller.kind].servedLater++
			spent += caller.cost
		} else {
			s.retried.lastRefusedAt = s.at
		}
	}
	delete(s.returns, s.at)
	return spent
}

// retryResult is what one way of coming back has brought.
type retryResult struct {
	worth, refusedAgain float64
	normalAfter         spokeclock.Millis
}

// TestOrderOfReturn guards against callers that come back together while an allotment is
// short, and are refused again: the schedule serves more worth than a constant, the limiter's
// estimate before it, or random jitter, and refuses fewer callers again.
func TestOrderOfReturn(t *testing.T) {
	file := spokecase.Read[scarcityFile](t, "testdata/returns.yaml")
	for _, c := range file.Cases {
		t.Run(c.Name, func(t *testing.T) {
			results := make(map[string]retryResult)
			for _, way := range []string{wayNone, wayConstant, wayLimiter, wayJitter, waySchedule} {
				results[way] = measureReturns(c, file.Kinds, way)
				r := results[way]
				t.Logf("%-8s worth served %.3f, of those that came back refused again %.3f, no refusal from %d ms after the surge on", way, r.worth, r.refusedAgain, r.normalAfter)
			}
			for _, way := range []string{wayConstant, wayLimiter, wayJitter} {
				require.GreaterOrEqual(t, results[waySchedule].worth, results[way].worth-returnMargin, "worth served, against %s", way)
				require.LessOrEqual(t, results[waySchedule].refusedAgain, results[way].refusedAgain+returnMargin, "refused again, against %s", way)
			}
		})
	}
}

// measureReturns runs a case with some seeds and returns the mean result.
func measureReturns(c scarcityCase, kinds []scarcityKind, way string) retryResult {
	var result retryResult
	for seed := range uint64(returnSeeds) {
		s := newScarcitySimulation(c, kinds, seed)
		s.retryWay = way
		s.run()
		sent, served := 0.0, 0.0
		for k, kind := range kinds {
			sent += kind.Worth * float64(s.counts[k].sent)
			served += kind.Worth * float64(s.counts[k].served+s.counts[k].servedLater)
		}
		result.worth += served / sent / returnSeeds
		result.refusedAgain += 1 / float64(returnSeeds) * (1 - ratio(s.retried.served, s.retried.returned))
		result.normalAfter += max(0, s.retried.lastRefusedAt-s.Measured.Until) / returnSeeds
	}
	return result
}

const returnSeeds = 2

// returnMargin covers the chance in two runs of a way.
const returnMargin = 0.02
