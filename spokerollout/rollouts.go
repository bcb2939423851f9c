package spokerollout

import (
	"maps"
	"math"
	"slices"
	"sync"
	"sync/atomic"

	"mulberryspoke.example/mulberryspoke/spokeclock"
)

// Answer is how a backend server's answer to an attempt went, or a part of it. Fields that
// are zero are not told.
type Answer struct {
	// Service and Route are those of the request, Version is that of the server's
	// software.
	Service, Route, Version string
	// IsAnswer is set in the first report of an attempt that the server has answered or
	// that has waited in vain.
	IsAnswer bool
	// IsFailed is whether the server has reported a failure, IsBroken whether no answer
	// came or it broke off.
	IsFailed, IsBroken bool
	// FirstEvent is the time to the first event, or to the whole answer if it is no
	// stream. With IsWaiting no event had come by then.
	FirstEvent spokeclock.Millis
	IsWaiting  bool
	// MeanPause is the mean time between two events in milliseconds.
	MeanPause float64
	// Duration is the time to the end of a complete answer.
	Duration spokeclock.Millis
}

// Rollouts decides at one instance about the rollouts of all services. Set its fields
// before the first call. It is safe for concurrent use.
type Rollouts struct {
	// ExposeShare is the part of a service's requests that a bad version may get.
	ExposeShare float64
	// OldInFlightFunc returns the requests in flight at servers of a service that have
	// another version, as far as this instance knows.
	OldInFlightFunc func(service, to string) int
	// VersionsFunc returns how many servers of a service that take new requests have each
	// version.
	VersionsFunc func(service string) map[string]int
	// DecisionFunc, if set, is called with each decision. It must not call back.
	DecisionFunc func(Decision)
	// Clock is the time source. Nil means the system clock.
	Clock *spokeclock.Clock

	// rules are the rules in force by service, which requests read without a lock.
	rules atomic.Pointer[map[string]rule]

	mutex sync.Mutex
	// hasOrders is whether the orders have been read since the start, hasStatuses whether
	// the status rows have.
	hasOrders, hasStatuses bool
	// isInformed is whether both have, or a peer has told that it has read both. Until then
	// no ordered version gets requests, as it may have been rolled back.
	isInformed bool
	// informed is closed when isInformed is set.
	informed chan struct{}
	rollouts map[string]*rollout
	statuses map[string]StatusRow
	// barred are versions that were found bad, by service, until an order names them.
	barred map[string]map[string]orderKey
	// cleared are orders whose version has succeeded later, so that what peers told of them
	// bars nothing any more.
	cleared    map[orderKey]bool
	references map[referenceKey]*reference
	told       evidenceStore
	// ended are orders that were withdrawn or replaced here, so that what peers still tell
	// of them says nothing of later orders of the same version.
	ended map[orderKey]bool
	// counts are the counters as of countsAt, in units of ageUnit. Nil means that they have
	// changed.
	counts   map[string]int64
	countsAt spokeclock.Millis
}

// referenceKey identifies the measurements of one route.
type referenceKey struct {
	service, route string
	what           metric
}

// rollout is what this instance knows of one order.
type rollout struct {
	key   orderKey
	order Order
	// startedAt is when the order was given, as far as this instance can tell.
	startedAt spokeclock.Millis
	state     State
	reason    string
	decidedAt spokeclock.Millis
	// isFirstHand is whether this instance has found the version bad by itself.
	isFirstHand bool
	stage       int
	stageAt     spokeclock.Millis
	// emptySince is since when the old servers are empty in the last stage, or zero.
	emptySince spokeclock.Millis
	// newAnswerAt is when the newest answer of the ordered version became known, or zero.
	newAnswerAt spokeclock.Millis
	// firstAnswerAt is when the first one did.
	firstAnswerAt spokeclock.Millis
	// isReady is set when nothing stands against writing that the rollout has succeeded. It
	// has succeeded once the row is read, which binds all instances.
	isReady bool
	// isWritten is set once a status row had the final state.
	isWritten bool
	// isUnproven is set when the status is due and too little is known of the version. It
	// is rolled back once the row is read, as another instance may know more.
	isUnproven bool
	// isLost is set if a restore of the table has lost the order, which holds until its
	// time limit.
	isLost bool
	// readAt is when the newest version of the order's row was read.
	readAt spokeclock.Millis
	// isNew is whether the order was not there before, so that it is no repeated one.
	isNew bool
	// prior is the status row from before the order. It doesn't bind this one.
	prior    StatusRow
	hasPrior bool
	// bound is the final status row that ended the rollout.
	bound StatusRow
	// cells is this instance's own evidence.
	cells map[cellKey]int64
}

// recordNewAnswer takes note that the ordered version has answered somewhere.
func (r *rollout) recordNewAnswer(now spokeclock.Millis) {
	if r.newAnswerAt == 0 {
		r.firstAnswerAt = now
	}
	r.newAnswerAt = now
}

// Filter returns which versions may serve a request. Draw is a random number from 0 up to
// 1 that stays with the request. FailedVersion is the version at which an attempt of the
// request has failed, or empty.
func (r *Rollouts) Filter(service string, draw float64, failedVersion string) Filter {
	rules := r.rules.Load()
	if rules == nil {
		return Filter{}
	}
	return (*rules)[service].filter(draw, failedVersion)
}

// CarriesTraffic reports whether servers of a version take their part of a service's traffic.
// While an order runs, its version's servers take a small share only; in the last stage the
// other servers take none, and those of a barred version never do.
func (r *Rollouts) CarriesTraffic(service, version string) bool {
	return r.Filter(service, highestDraw, "").Allows(version)
}

// highestDraw is the draw of the requests that go to the ordered version last.
var highestDraw = math.Nextafter(1, 0)

// SetOrders replaces the orders, by service. IsRestored is whether the table has been
// restored from an older copy since the last call, so that rows may be missing that
// nobody has removed.
func (r *Rollouts) SetOrders(orders map[string]Order, isRestored bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.initialise()
	now := r.Clock.Now()
	for service, known := range r.rollouts {
		order, isOrdered := orders[service]
		known.isLost = !isOrdered && (isRestored || known.isLost) && now-known.startedAt < known.order.TimeLimit
		switch {
		case isOrdered && order.To == known.order.To:
			if order.Version != known.order.Version {
				known.readAt = now
			}
			known.order = order
		case !known.isLost:
			delete(r.rollouts, service)
			r.recordEnd(known)
			if known.state == StateRolledBack {
				r.bar(known.key)
			}
			r.report(known, "the order was withdrawn or replaced")
		}
	}
	for service, order := range orders {
		if _, isKnown := r.rollouts[service]; !isKnown {
			r.begin(service, order)
		}
	}
	r.hasOrders = true
	r.counts = nil
	if r.hasStatuses {
		r.setInformed()
	}
	// What peers have told binds from the first request on.
	r.checkAll()
}

// maxEnded bounds the ended orders that are remembered.
const maxEnded = 1024

func (r *Rollouts) recordEnd(ended *rollout) {
	if len(r.ended) >= maxEnded {
		clear(r.ended)
	}
	r.ended[ended.key] = true
}

// Informed returns a channel that is closed once the orders and the status rows have been
// read, or a peer that has read them has told its counters.
func (r *Rollouts) Informed() <-chan struct{} {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.initialise()
	return r.informed
}

func (r *Rollouts) setInformed() {
	if r.isInformed {
		return
	}
	r.isInformed = true
	r.counts = nil
	close(r.informed)
}

func (r *Rollouts) initialise() {
	if r.rollouts == nil {
		r.informed = make(chan struct{})
		r.rollouts = make(map[string]*rollout)
		r.statuses = make(map[string]StatusRow)
		r.barred = make(map[string]map[string]orderKey)
		r.ended = make(map[orderKey]bool)
		r.references = make(map[referenceKey]*reference)
	}
}

// begin begins with a new order. An instance that has just started can't tell whether it
// is new, so that a final status that it finds binds the order.
func (r *Rollouts) begin(service string, order Order) {
	now := r.Clock.Now()
	started := &rollout{
		key: orderKey{service: service, to: order.To, epoch: order.Version}, order: order, startedAt: now, state: StateRunning,
		stageAt: now, readAt: now, isNew: r.hasOrders, cells: make(map[cellKey]int64),
	}
	if started.isNew {
		started.prior, started.hasPrior = r.statuses[service], r.hasStatuses
		delete(r.barred[service], order.To)
	}
	r.rollouts[service] = started
	r.report(started, "the order was read")
	if r.hasStatuses {
		r.applyStatus(started)
	}
}

// SetStatuses replaces the status rows, by service.
func (r *Rollouts) SetStatuses(statuses map[string]StatusRow) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.initialise()
	r.hasStatuses = true
	clear(r.statuses)
	maps.Copy(r.statuses, statuses)
	for _, running := range r.rollouts {
		r.applyStatus(running)
	}
	if r.hasOrders {
		r.setInformed()
	}
	r.checkAll()
}

// applyStatus takes over a final state that another instance has written, or begins again
// if another instance has begun a later rollout of the version.
func (r *Rollouts) applyStatus(running *rollout) {
	row := r.statuses[running.key.service]
	if running.isNew && !running.hasPrior && row.Version < running.order.Version {
		// The first read of the status rows came after that of the order.
		running.prior, running.hasPrior = row, true
	}
	if running.isReopenedBy(row) {
		r.reopen(running, "a later status row says that the version was ordered again")
		return
	}
	if !r.binds(running, row) {
		return
	}
	running.isWritten, running.bound = true, row
	if running.state != row.State {
		r.conclude(running, row.State, "the status row says so")
	}
}

// binds reports whether a status row has the final state of a rollout. A row with another
// final state than the one that has ended it must be newer, as a restore brings back older
// rows.
func (*Rollouts) binds(running *rollout, row StatusRow) bool {
	isFinal := row.To == running.order.To && row.State.isFinal() && !running.isPrior(row)
	return isFinal && (running.bound.State == "" || row.State == running.bound.State || row.isLaterThan(running.bound))
}

// isLaterThan reports whether a row was certainly written after another one.
func (row StatusRow) isLaterThan(other StatusRow) bool {
	return row.Era == other.Era && row.Version > other.Version
}

// isPrior reports whether a status row is from before the order. A restore of the table may
// bring it back in a later era.
func (r *rollout) isPrior(row StatusRow) bool {
	return r.hasPrior && r.prior.Status == row.Status && r.prior.Version == row.Version
}

// isReopenedBy reports whether a status row tells that the version was ordered again after
// the row that has ended the rollout: a final row is only replaced for another order.
func (r *rollout) isReopenedBy(row StatusRow) bool {
	return r.state.isFinal() && r.bound.State != "" && row.State == StateRunning && row.To == r.order.To && row.isLaterThan(r.bound)
}

// isUncertain reports whether the rollout was ended by a status row that may be of an
// earlier order of the version: it is older than the order's row, which an instance that has
// just started can't tell from an order that was written twice.
func (r *rollout) isUncertain() bool {
	return !r.isNew && r.state.isFinal() && r.bound.State != "" && r.bound.Version < r.key.epoch
}

// reopen begins with an order that was taken for an earlier one of the same version.
func (r *Rollouts) reopen(running *rollout, reason string) {
	key := running.key
	if !running.isUncertain() {
		// The order's new row may be read only after the status row.
		r.recordEnd(running)
		key.epoch = max(running.order.Version, running.bound.Version+1)
	}
	*running = rollout{
		key: key, order: running.order, startedAt: running.readAt, readAt: running.readAt, state: StateRunning, stageAt: r.Clock.Now(),
		isNew: true, prior: running.bound, hasPrior: true, cells: make(map[cellKey]int64),
	}
	delete(r.barred[key.service], key.to)
	r.counts = nil
	r.report(running, reason)
}

// wanted returns what the status row should say.
func (r *rollout) wanted() Status {
	state := r.state
	switch {
	case state.isFinal():
	case r.isReady:
		state = StateSucceeded
	case r.isUnproven:
		state = StateRolledBack
	}
	return Status{State: state, To: r.order.To}
}

// conclude ends a rollout.
func (r *Rollouts) conclude(running *rollout, state State, reason string) {
	running.state, running.decidedAt = state, r.Clock.Now()
	r.counts = nil
	switch {
	case state == StateSucceeded:
		running.stage = stageAll
		delete(r.barred[running.key.service], running.order.To)
		r.clearVersion(running)
	case !running.isUncertain():
		r.bar(running.key)
	}
	r.report(running, reason)
}

// maxCleared bounds the orders that are kept after the success of their version.
const maxCleared = 4096

// clearVersion makes earlier verdicts on a version that has succeeded void: peers' counters
// never fall, and go on to tell them.
func (r *Rollouts) clearVersion(running *rollout) {
	if r.cleared == nil || len(r.cleared) >= maxCleared {
		r.cleared = make(map[orderKey]bool)
	}
	r.cleared[running.key] = true
	for _, source := range r.told.sources {
		for id := range source.orders {
			if id.service == running.key.service && id.to == running.key.to {
				r.cleared[id] = true
			}
		}
	}
}

func (r *Rollouts) bar(key orderKey) {
	if r.barred[key.service] == nil {
		r.barred[key.service] = make(map[string]orderKey)
	}
	r.barred[key.service][key.to] = key
}

// report remembers the reason of a decision and passes it on.
func (r *Rollouts) report(running *rollout, reason string) {
	running.reason = reason
	if r.DecisionFunc == nil {
		return
	}
	now := r.Clock.Now()
	d := Decision{
		Service: running.key.service, To: running.order.To, State: running.state, Stage: running.stage, Share: r.shareOf(running), Reason: reason, IsFirstHand: running.isFirstHand, Age: now - running.startedAt,
	}
	if running.newAnswerAt > 0 {
		d.EvidenceAge = now - running.newAnswerAt
	}
	for key, count := range r.evidence(running) {
		switch {
		case key.metric == metricAnswers && key.isNew:
			d.NewAnswers += count
		case key.metric == metricAnswers:
			d.OldAnswers += count
		case key.metric == metricFailed && key.isNew:
			d.NewFailed += count
		case key.metric == metricFailed:
			d.OldFailed += count
		}
	}
	r.DecisionFunc(d)
}

func (r *Rollouts) shareOf(running *rollout) float64 {
	switch running.state {
	case StateSucceeded:
		return 1
	case StateRolledBack:
		return 0
	default:
		if !r.isInformed {
			return 0
		}
		return share(running.stage, r.ExposeShare)
	}
}

// succeededTime is how long requests keep to a version after its rollout has succeeded.
// Old servers have stopped then, and servers of a later release may follow.
const succeededTime = 10 * spokeclock.Second

// updateRules puts the rules in force that follow from the rollouts and status rows.
func (r *Rollouts) updateRules() {
	rules := make(map[string]rule)
	for service := range r.barred {
		rules[service] = rule{barred: r.barredVersions(service)}
	}
	for service, row := range r.statuses {
		if row.State == StateRolledBack {
			rules[service] = rule{barred: r.barredVersions(service)}
		}
	}
	now := r.Clock.Now()
	for service, running := range r.rollouts {
		entry := rule{service: service, barred: r.barredVersions(service)}
		isOver := running.state == StateRolledBack || (running.state == StateSucceeded && now-running.decidedAt > succeededTime)
		if !isOver {
			entry.to, entry.share, entry.isExclusive = running.order.To, r.shareOf(running), running.state == StateSucceeded
		}
		rules[service] = entry
	}
	r.rules.Store(&rules)
}

// barredVersions returns the versions of a service that get no requests: those that were
// found bad, unless an order in force names them again.
func (r *Rollouts) barredVersions(service string) []string {
	versions := make(map[string]bool)
	for version := range r.barred[service] {
		versions[version] = true
	}
	if row := r.statuses[service]; row.State == StateRolledBack {
		versions[row.To] = true
	}
	if running := r.rollouts[service]; running != nil {
		if running.state == StateRolledBack {
			versions[running.order.To] = true
		} else {
			delete(versions, running.order.To)
		}
	}
	return slices.Sorted(maps.Keys(versions))
}

// NextStatus returns the status to write in place of a row that was read just now, or
// false. Only the holder of the lease writes, on condition that the row is still the same.
// A final status of an order is never replaced by another one.
func (r *Rollouts) NextStatus(service string, row StatusRow) (Status, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	running, isOrdered := r.rollouts[service]
	if !isOrdered {
		return Status{}, false
	}
	r.statuses[service] = row
	r.applyStatus(running)
	r.updateRules()
	if r.binds(running, row) {
		return Status{}, false
	}
	next := running.wanted()
	isBegun := row.State == StateRunning && row.To == next.To && !running.isPrior(row)
	if next.State.isFinal() && !running.isWritten && !isBegun {
		// Each rollout begins before it ends, also if it is judged before the first write.
		next.State = StateRunning
	}
	return next, next != row.Status || running.isPrior(row)
}

// Pending returns the services whose status row differs from what this instance would
// write.
func (r *Rollouts) Pending() []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var services []string
	for service, running := range r.rollouts {
		if row := r.statuses[service]; running.isPrior(row) || row.Status != running.wanted() {
			services = append(services, service)
		}
	}
	slices.Sort(services)
	return services
}

// RolloutStatus is a rollout as an operator sees it.
type RolloutStatus struct {
	Service, To string
	State       State
	Stage       int
	Share       float64
	Reason      string
}

// Overview returns the rollouts whose orders are in force.
func (r *Rollouts) Overview() []RolloutStatus {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	overview := make([]RolloutStatus, 0, len(r.rollouts))
	for service, running := range r.rollouts {
		overview = append(overview, RolloutStatus{Service: service, To: running.order.To, State: running.state, Stage: running.stage, Share: r.shareOf(running), Reason: running.reason})
	}
	return overview
}
