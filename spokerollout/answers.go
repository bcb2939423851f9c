package spokerollout

import (
	"maps"

	"mulberryspoke.example/mulberryspoke/spokeclock"
)

// Record counts how an answer went.
func (r *Rollouts) Record(answer Answer) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.initialise()
	now := r.Clock.Now()
	running := r.rollouts[answer.Service]
	isCounted := running != nil && !running.state.isFinal()
	if isCounted {
		r.count(running, answer, now)
	}
	if answer.IsFailed {
		// A failure takes as long as it takes the server to notice.
		return
	}
	if answer.FirstEvent > 0 && !answer.IsWaiting {
		r.referenceOf(answer, metricTimed).add(measurement{version: answer.Version, value: float64(answer.FirstEvent), at: now})
	}
	if answer.MeanPause > 0 {
		r.referenceOf(answer, metricPaced).add(measurement{version: answer.Version, value: answer.MeanPause, at: now})
	}
	if answer.Duration > 0 {
		r.referenceOf(answer, metricAnswers).add(measurement{version: answer.Version, value: float64(answer.Duration), at: now})
	}
}

// maxReferences bounds the routes whose measurements are kept.
const maxReferences = 4096

func (r *Rollouts) referenceOf(answer Answer, what metric) *reference {
	key := referenceKey{service: answer.Service, route: answer.Route, what: what}
	found := r.references[key]
	if found == nil {
		if len(r.references) >= maxReferences {
			clear(r.references)
		}
		found = &reference{}
		r.references[key] = found
	}
	return found
}

func (r *Rollouts) count(running *rollout, answer Answer, now spokeclock.Millis) {
	r.counts = nil
	isNew := answer.Version == running.order.To
	add := func(what metric) {
		running.cells[cellKey{stage: running.stage, isNew: isNew, metric: what, route: answer.Route}]++
	}
	compareWith := func(all, bad metric, value float64, isAtLeast bool) {
		limit, isKnown := r.referenceOf(answer, all).slowLimit(running.order.To, now)
		isSlow := value > limit
		// An answer that is still awaited is only known to take longer.
		if !isKnown || (isAtLeast && !isSlow) {
			return
		}
		add(all)
		if isSlow {
			add(bad)
		}
	}
	if answer.IsAnswer {
		add(metricAnswers)
		if isNew {
			running.recordNewAnswer(now)
		}
	}
	if answer.IsFailed {
		add(metricFailed)
	}
	if answer.IsBroken {
		add(metricBroken)
	}
	if answer.FirstEvent > 0 && !answer.IsFailed {
		compareWith(metricTimed, metricSlowFirst, float64(answer.FirstEvent), answer.IsWaiting)
	}
	if answer.MeanPause > 0 {
		compareWith(metricPaced, metricSlowPause, answer.MeanPause, false)
	}
}

// drainTime returns the time in which the old servers of a service run empty.
func (r *Rollouts) drainTime(running *rollout) spokeclock.Millis {
	longest := 0.0
	for key, measured := range r.references {
		if key.service == running.key.service && key.what == metricAnswers {
			longest = max(longest, measured.longest(running.order.To))
		}
	}
	if longest == 0 {
		return maxDrain
	}
	return min(maxDrain, max(minDrain, spokeclock.Millis(drainFactor*longest)))
}

// evidence returns the evidence of this instance and of its peers about an order.
func (r *Rollouts) evidence(running *rollout) map[cellKey]int64 {
	cells := maps.Clone(running.cells)
	for id := range r.sameOrders(running) {
		for cell, count := range r.told.totals[id] {
			cells[cell] += count
		}
	}
	return cells
}

// sameOrders returns under which keys peers tell of the same order. If the operator repeats
// it, instances may have read rows of different versions.
func (r *Rollouts) sameOrders(running *rollout) map[orderKey]bool {
	same := map[orderKey]bool{running.key: true}
	now := r.Clock.Now()
	for _, source := range r.told.sources {
		for id, told := range source.orders {
			if r.isSameOrder(running, id) && told.isLive(now) {
				same[id] = true
			}
		}
	}
	return same
}

// isSameOrder reports whether a peer may mean the same order by a key. One from before the
// prior final status is of an earlier order.
func (r *Rollouts) isSameOrder(running *rollout, id orderKey) bool {
	isEarlier := running.hasPrior && running.prior.State.isFinal() && running.prior.To == id.to && id.epoch < running.prior.Version
	return id.service == running.key.service && id.to == running.key.to && !isEarlier && !r.ended[id]
}

// maxAgeAfterLimit is the time after an order's limit for which its age is still told.
const maxAgeAfterLimit = 20 * spokeclock.Second

// Counts returns this instance's counters, to send to its peers. The caller must not change
// them. It is called for each link.
func (r *Rollouts) Counts() map[string]int64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.Clock.Now()
	if r.counts == nil || r.countsAt != now/ageUnit {
		r.counts, r.countsAt = r.collectCounts(now), now/ageUnit
	}
	return r.counts
}

func (r *Rollouts) collectCounts(now spokeclock.Millis) map[string]int64 {
	counts := make(map[string]int64)
	if r.hasOrders && r.hasStatuses && !r.hasUncertain() {
		counts[countRead] = 1
	}
	for _, versions := range r.barred {
		for _, key := range versions {
			counts[key.prefix()+countBad] = 1
		}
	}
	for _, running := range r.rollouts {
		prefix := running.key.prefix()
		age := min(now-running.startedAt, running.order.TimeLimit+maxAgeAfterLimit)
		// Rounded down, so that instances can't make an order older by telling each other.
		counts[prefix+countAge] = int64(age / ageUnit)
		counts[prefix+countReporters] = 1
		switch {
		case running.isUncertain():
			// Peers may have seen the version ordered again.
		case running.state == StateRolledBack:
			counts[prefix+countBad] = 1
		case running.state == StateSucceeded:
			counts[prefix+countDone] = 1
		case running.isNew:
			counts[prefix+countNew] = 1
		}
		for cell, count := range running.cells {
			counts[prefix+cell.String()] = count
		}
	}
	return counts
}

// hasUncertain reports whether a rollout was ended by a status row of which peers are told
// nothing.
func (r *Rollouts) hasUncertain() bool {
	for _, running := range r.rollouts {
		if running.isUncertain() {
			return true
		}
	}
	return false
}

// SetPeerCounts stores the counters of a peer that have changed. Generation identifies the
// run of its process. Keys of other counters are ignored.
func (r *Rollouts) SetPeerCounts(peer string, generation int64, counts map[string]int64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.initialise()
	source := r.told.source(peer, generation)
	now := r.Clock.Now()
	for key, count := range counts {
		if !IsCountKey(key) {
			continue
		}
		if id, isNewAnswer := r.told.set(source, key, count, now); isNewAnswer {
			if running := r.rollouts[id.service]; running != nil && running.order.To == id.to {
				running.recordNewAnswer(now)
			}
		}
	}
	if counts[countRead] > 0 && !r.isInformed {
		// What the peer has found binds before the first request goes by its counters.
		r.setInformed()
		r.checkAll()
	}
}

// IsOutdatedKey reports whether a counter is of an order that isn't in force here.
func (r *Rollouts) IsOutdatedKey(key string) bool {
	id, _, ok := parseKey(key)
	if !ok {
		return false
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	running := r.rollouts[id.service]
	return running == nil || running.order.To != id.to
}
