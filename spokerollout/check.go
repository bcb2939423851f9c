package spokerollout

import "mulberryspoke.example/mulberryspoke/spokeclock"

const (
	// CheckInterval is the time between two calls of Check.
	CheckInterval = 200 * spokeclock.Millis(1)
	// maxEvidenceAge is the age of the newest answer of a version above which its share is
	// not raised.
	maxEvidenceAge = 3 * spokeclock.Second
	// minStageAnswers is the number of answers of the ordered version in a stage without
	// which the next one doesn't begin, and minProven the number in all stages without
	// which a version isn't taken for good. A version that is bad in half of its answers
	// shows in so many.
	minStageAnswers = 8
	minProven       = 20
	// emptyTime is how long the old servers must be seen empty, as peers' requests in
	// flight are up to two seconds old.
	emptyTime = 2 * spokeclock.Second
)

// Check judges all versions that are being rolled out and goes on to the next stages. It
// is called at each CheckInterval.
func (r *Rollouts) Check() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.initialise()
	for _, running := range r.rollouts {
		r.learnAge(running)
		if !running.state.isFinal() {
			r.check(running)
		}
	}
	r.learnBarred()
	r.updateRules()
}

// learnAge takes over the age of an order from peers that know it for longer.
func (r *Rollouts) learnAge(running *rollout) {
	now := r.Clock.Now()
	for _, source := range r.told.sources {
		for id, told := range source.orders {
			if id.service == running.key.service && id.to == running.key.to && told.isLive(now) {
				running.startedAt = min(running.startedAt, told.ageSeenAt-told.orderAge())
			}
		}
	}
}

// learnBarred takes over the versions that peers have found bad, of orders that are not in
// force here.
func (r *Rollouts) learnBarred() {
	for _, source := range r.told.sources {
		for id, told := range source.orders {
			running := r.rollouts[id.service]
			isOrdered := running != nil && running.order.To == id.to
			if told.bad > 0 && !isOrdered {
				r.bar(id)
			}
		}
	}
}

func (r *Rollouts) check(running *rollout) {
	now := r.Clock.Now()
	if r.isFoundBad(running) {
		r.conclude(running, StateRolledBack, "a peer has found the version bad")
		return
	}
	cells := r.evidence(running)
	found := judge(cells)
	if found.isBad {
		r.conclude(running, StateRolledBack, found.reason)
		return
	}
	age := now - running.startedAt
	plan := newSchedule(running.order.TimeLimit, r.drainTime(running))
	if running.stage == stageAll {
		r.checkDrained(running, age >= plan.finish)
		return
	}
	isLastCall := age >= plan.begins[stageAll]
	if isLastCall && (found.isBadAtLastCall || !r.isProven(running, cells)) {
		r.checkLastCall(running, plan, age, found)
		return
	}
	if plan.due(age) > running.stage && r.mayRaise(running, cells, plan) && (!found.isDoubtful || isLastCall) {
		running.stage, running.stageAt = running.stage+1, now
		r.report(running, "the version did well")
	}
}

// checkLastCall rolls a version back that is probably bad. One of which too little is
// known has until the status is due, as its servers may have started late.
func (r *Rollouts) checkLastCall(running *rollout, plan schedule, age spokeclock.Millis, found judgement) {
	switch {
	case found.isBadAtLastCall:
		r.conclude(running, StateRolledBack, found.reason)
	case age >= plan.finish:
		r.conclude(running, StateRolledBack, "too few answers to tell that the version is good")
	}
}

// isFoundBad reports whether a peer has found the version of an order bad.
func (r *Rollouts) isFoundBad(running *rollout) bool {
	same := r.sameOrders(running)
	for _, source := range r.told.sources {
		for id, told := range source.orders {
			if told.bad > 0 && same[id] {
				return true
			}
		}
	}
	return false
}

// isProven reports whether enough is known of a version to take it for good.
func (r *Rollouts) isProven(running *rollout, cells map[cellKey]int64) bool {
	return newAnswers(cells, stageCanary, stageAll) >= minProven && r.VersionsFunc(running.key.service)[running.order.To] > 0
}

// mayRaise reports whether the evidence of the present stage is new and large enough to
// raise the share.
func (r *Rollouts) mayRaise(running *rollout, cells map[cellKey]int64, plan schedule) bool {
	now := r.Clock.Now()
	isFresh := running.newAnswerAt > 0 && now-running.newAnswerAt <= maxEvidenceAge
	// Peers that are ahead have taken the step already.
	isKnown := newAnswers(cells, running.stage, stageAll) >= minStageAnswers
	isAhead := newAnswers(cells, running.stage+1, stageAll) >= minStageAnswers
	return isFresh && isKnown && (isAhead || now-running.stageAt >= plan.step)
}

// newAnswers returns the number of answers of the ordered version in a range of stages.
func newAnswers(cells map[cellKey]int64, first, last int) int64 {
	var sum int64
	for key, count := range cells {
		if key.isNew && key.metric == metricAnswers && key.stage >= first && key.stage <= last {
			sum += count
		}
	}
	return sum
}

// checkDrained ends the last stage once the old servers are empty or the status is due.
func (r *Rollouts) checkDrained(running *rollout, isDue bool) {
	now := r.Clock.Now()
	switch {
	case r.OldInFlightFunc(running.key.service, running.order.To) > 0:
		running.emptySince = 0
	case running.emptySince == 0:
		running.emptySince = now
	}
	isEmpty := running.emptySince > 0 && now-running.emptySince >= emptyTime
	switch {
	case isDue:
		r.conclude(running, StateSucceeded, "the status is due")
	case isEmpty:
		r.conclude(running, StateSucceeded, "the old servers are empty")
	}
}
