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
	r.checkAll()
}

func (r *Rollouts) checkAll() {
	for _, running := range r.rollouts {
		r.learnNew(running)
		r.learnAge(running)
		if running.isLost && r.Clock.Now()-running.startedAt >= running.order.TimeLimit {
			delete(r.rollouts, running.key.service)
			r.recordEnd(running)
			r.report(running, "the order was lost in a restore of the table")
			continue
		}
		if !running.state.isFinal() {
			r.check(running)
		}
	}
	r.learnBarred()
	r.updateRules()
}

// learnNew begins again with an order that peers have seen begin after the status row that
// has ended it here. Otherwise a holder of the lease that is bound by that row would write
// nothing.
func (r *Rollouts) learnNew(running *rollout) {
	if !running.isUncertain() {
		return
	}
	for _, source := range r.told.sources {
		if told := source.orders[running.key]; told != nil && told.seenNew > 0 {
			r.reopen(running, "a peer has seen the version ordered again")
			return
		}
	}
}

// learnAge takes over the age of an order from peers that know it for longer.
func (r *Rollouts) learnAge(running *rollout) {
	now := r.Clock.Now()
	for _, source := range r.told.sources {
		for id, told := range source.orders {
			if r.isSameOrder(running, id) && told.isLive(now) {
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
			if told.bad > 0 && !isOrdered && !r.cleared[id] && r.barred[id.service][id.to] != id {
				r.bar(id)
				r.counts = nil
			}
		}
	}
}

func (r *Rollouts) check(running *rollout) {
	now := r.Clock.Now()
	if state := r.peersState(running); state.isFinal() {
		// Peers tell of a success only after they have read it.
		running.isWritten = state == StateSucceeded
		r.conclude(running, state, "a peer says so")
		return
	}
	cells := r.evidence(running)
	found := judge(cells, running.newAnswerAt > 0 && now-running.firstAnswerAt >= settleTime)
	if found.isBad {
		running.isFirstHand = true
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
	switch {
	case isLastCall && found.isBadAtLastCall:
		running.isFirstHand = true
		r.conclude(running, StateRolledBack, found.reason)
		return
	case age >= plan.finish && !running.isUnproven:
		running.isUnproven = true
		r.report(running, "the status is due, and too little is known of the version")
		return
	case isLastCall && !r.isProven(running, cells):
		// Its servers may have started late.
		return
	}
	if plan.due(age) > running.stage && r.mayRaise(running, cells, plan) && (!found.isDoubtful || isLastCall) {
		running.stage, running.stageAt = running.stage+1, now
		r.report(running, "the version did well")
	}
}

// peersState returns the final state that peers tell of, or that the rollout is running.
// That it has succeeded has been written, and binds those that have found the version bad.
func (r *Rollouts) peersState(running *rollout) State {
	same := r.sameOrders(running)
	state := StateRunning
	for _, source := range r.told.sources {
		for id, told := range source.orders {
			switch {
			case !same[id]:
			case told.done > 0:
				return StateSucceeded
			case told.bad > 0:
				state = StateRolledBack
			}
		}
	}
	return state
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

// checkDrained lets the holder of the lease end the last stage once the old servers are empty or the status is due.
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
	case running.isReady:
	case isDue:
		running.isReady = true
		r.report(running, "the version may succeed, as the status is due")
	case isEmpty:
		running.isReady = true
		r.report(running, "the version may succeed, as the old servers are empty")
	}
}
