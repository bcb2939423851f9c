package spokerollout

import "mulberryspoke.example/mulberryspoke/spokeclock"

const (
	// stageCanary is the first stage, stageAll the one in which the old version gets no
	// new requests.
	stageCanary = 0
	stageAll    = 3
)

// shares are the parts of the new requests that go to the ordered version, by stage. That
// of the canary stage is a part of the bound on exposure.
var shares = [...]float64{stageCanary: canaryPart, 0.12, 0.4, stageAll: 1}

const (
	// canaryPart is the part of the bound on exposure that is used while nothing is known,
	// so that chance and retries don't exceed the bound.
	canaryPart = 0.7
	// writeMargin is the time before the limit at which the final status is due. It has to
	// be there a second before the limit, and both the order and the status take their time
	// through the table.
	writeMargin = 2 * spokeclock.Second
	// Old servers get the time of the longest answer that was seen to run empty. It is at
	// least minDrain, in which a version that is bad under the whole load shows, and at
	// most maxDrain, which is what the longest usual answers take.
	minDrain    = 2 * spokeclock.Second
	maxDrain    = 5 * spokeclock.Second
	drainFactor = 1.2
	// A step of the ramp takes this part of the time until the last one, within bounds:
	// long enough to hear of peers' answers, short enough to leave time for the canary.
	stepPart = 0.22
	minStep  = 800 * spokeclock.Millis(1)
	maxStep  = 2 * spokeclock.Second
)

// schedule has the ages of an order at which its stages begin at the earliest.
type schedule struct {
	begins [len(shares)]spokeclock.Millis
	// step is the shortest time in a stage of the ramp.
	step spokeclock.Millis
	// finish is when the final status is due.
	finish spokeclock.Millis
}

// newSchedule plans the stages backwards from the time limit. Drain is the time in which
// old servers run empty.
func newSchedule(limit, drain spokeclock.Millis) schedule {
	finish := max(0, limit-writeMargin)
	// Without time for both, half of it shows what the version is like.
	lastStage := max(finish-drain, finish/2)
	step := min(maxStep, max(minStep, spokeclock.Millis(stepPart*float64(lastStage))))
	step = min(step, lastStage/(stageAll+1))
	s := schedule{step: step, finish: finish}
	for stage := stageCanary + 1; stage <= stageAll; stage++ {
		s.begins[stage] = lastStage - spokeclock.Millis(stageAll-stage)*step
	}
	return s
}

// due returns the stage that an order of an age may be in.
func (s schedule) due(age spokeclock.Millis) int {
	stage := stageCanary
	for next, begin := range s.begins {
		if age >= begin {
			stage = next
		}
	}
	return stage
}

// share returns the part of the new requests that go to the ordered version in a stage.
func share(stage int, exposeShare float64) float64 {
	if stage == stageCanary {
		return canaryPart * exposeShare
	}
	return max(shares[stage], canaryPart*exposeShare)
}
