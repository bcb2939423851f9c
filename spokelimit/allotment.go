package spokelimit

import (
	"maps"
	"math/rand/v2"
	"strings"
	"sync"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeconfig"
	"mulberryspoke.example/mulberryspoke/spokerate"
)

const (
	// minDepthSeconds is the smallest depth of an allotment's bucket, in seconds
	// of its rate. It applies where no burst is declared, as requests don't
	// arrive evenly.
	minDepthSeconds = 0.2
	// equalFraction is the fraction of an allotment that is divided equally, so
	// that an instance without demand so far can serve its first requests.
	equalFraction = 0.25
	// demandTimeConstant is the time constant with which old demand decays.
	demandTimeConstant = 2 * spokeclock.Second
	// countDelay is added to a peer's heartbeat interval for the greatest age of
	// its counts. It covers the transit and the wait for the processor.
	countDelay = 200 * spokeclock.Millis(1)
	// maxMissedHeartbeats is the number of heartbeat intervals after which a
	// peer counts as silent, besides countDelay.
	maxMissedHeartbeats = 2
	// intervalWeight is the weight of a peer's mean heartbeat interval against
	// one new interval.
	intervalWeight = 3
	// shareUpdateInterval is the least time between two updates of the shares of
	// all allotments, which bounds their cost.
	shareUpdateInterval = 100 * spokeclock.Millis(1)
	// sumMaxAge is the age up to which sums over all instances are reused.
	sumMaxAge = 20 * spokeclock.Millis(1)
	// newPeerTimeout is the time without a second heartbeat after which a new peer
	// counts as silent, as its interval is not known yet.
	newPeerTimeout = 3 * spokeclock.Second
	// silentPeerTimeout is how long a silent peer is assumed to go on spending its
	// share. It is longer than the network partitions that callers wait out.
	silentPeerTimeout = 15 * spokeclock.Second
	// lateCountFraction is the fraction of the tolerance that late counts may use
	// up. The rest is for requests that several instances allow at once.
	lateCountFraction = 0.25
	// creditTime is the time in which instances spend what is left of a short allotment,
	// and debtTime the time in which they save what was spent too much. With less than some
	// two seconds, the corrections of many instances would overshoot, as their counts are up
	// to two seconds old.
	creditTime = 4 * spokeclock.Second
	debtTime   = 2 * spokeclock.Second
	// maxDebtTime is the longest time in which an instance saves, by its own share, what a
	// costly request took.
	maxDebtTime = 8 * spokeclock.Second
	// costliestPeriods is the number of the costliest route's requests that such a share is
	// given time to save for.
	costliestPeriods = 1
	// minBudgetFraction is the fraction of the rate that is spent however deep the debt, so
	// that cheap and urgent requests are not refused because costly ones were allowed.
	minBudgetFraction = 0.1
	// surgeTimeConstant is the time constant of the local demand in requests.
	surgeTimeConstant = spokeclock.Second
	// minSurgeRequests is the local demand in requests per second below which its growth
	// tells nothing.
	minSurgeRequests = 3
	// maxSurgePart is the part of the demand above which a surge may be chance.
	maxSurgePart = 0.75
	// maxUnheardFraction is the fraction of the members not heard since the start above
	// which the sums over the others tell too little.
	maxUnheardFraction = 0.5
	// maxRetryAfter is the longest time after which a refused caller is told to
	// retry.
	maxRetryAfter = 5 * spokeclock.Second

	// spentPrefix and requestedPrefix precede a workspace's name in the keys of
	// the counters: the cost of the allowed requests and of all requests.
	spentPrefix     = "spent/"
	requestedPrefix = "asked/"
)

// AllotmentLimiter enforces the allotments that all entry instances share. Each
// instance counts what it spends and receives the counts of its peers. While
// the global level of an allotment is high enough, any instance may spend from
// it. When it is low, the allotment is short: each instance allows the part of
// the requests that the rate and the level cover, urgent and cheap routes first.
// An instance that hears no peer spends only its own share, which follows the
// demand it had before; the shares add up to the whole allotment. Set its fields
// before the first call. It is safe for concurrent use.
type AllotmentLimiter struct {
	// Clock measures time. Nil means the process's monotonic clock.
	Clock *spokeclock.Clock
	// MemberCountsFunc returns the number of instances that share the allotments,
	// including this one, and how many of them have not been heard since this process has
	// started. These are assumed to spend their shares. A count of zero means unknown.
	MemberCountsFunc func() (count, unheard int)
	// RandomFunc returns a random number in [0, 1). Nil means math/rand/v2.
	RandomFunc func() float64
	// Tolerance bounds what all instances together may spend beyond an
	// allotment.
	Tolerance Tolerance

	mutex      sync.Mutex
	allotments map[string]*allotmentState
	// histories are, by workspace, of those that are in no allotments.
	histories   map[string]*spendingHistory
	peers       map[string]*peerState
	localCounts map[string]int64
	startedAt   spokeclock.Millis
	sharesAt    spokeclock.Millis
	// lastHeardAt is when any peer was last heard, and meanInterval the mean time between a
	// peer's heartbeats.
	lastHeardAt  spokeclock.Millis
	meanInterval spokeclock.Millis
	// maxGap is the longest time lately in which no peer was heard, in milliseconds.
	maxGap      float64
	memberCount int
	// unheardFraction is the fraction of the members that have not been heard, and
	// unknownFraction that of those whose demand is not known, as they were heard at most
	// once.
	unheardFraction float64
	unknownFraction float64
}

// Tolerance is the amount that may be spent beyond an allotment in any window,
// as counts arrive late: Fraction of what the allotment allows in the window,
// plus FixedAmount.
type Tolerance struct {
	// Window is the length of the window.
	Window spokeclock.Millis
	// Fraction is the fraction of the allotment's rate times Window plus its
	// burst.
	Fraction float64
	// FixedAmount is added for every allotment, in its tokens or requests.
	FixedAmount float64
}

// amount returns the tolerance of one allotment, in its tokens or requests.
func (t Tolerance) amount(a *spokeconfig.Allotment) float64 {
	seconds := float64(t.Window) / float64(spokeclock.Second)
	return t.Fraction*(a.Rate*seconds+a.Burst) + t.FixedAmount
}

// allotmentState is the state of one workspace's allotment. Levels and demand
// are in tokens or requests, as the allotment counts them.
type allotmentState struct {
	// workspace is the one of the last request.
	workspace *spokeconfig.Workspace
	// startedAt is when the limiter was first used.
	startedAt spokeclock.Millis
	updatedAt spokeclock.Millis
	// globalLevel is the level of the bucket that all instances share, as far as
	// this instance knows.
	globalLevel float64
	// localLevel is the level of the bucket for this instance's share.
	localLevel float64
	// requests is the local demand in requests. The cost of a request varies so much that
	// the demand is measured better by the number of requests and their mean cost.
	requests spokerate.Rate
	meanCost average
	// demandBefore is the demand in requests per second before the last one.
	demandBefore float64
	// delayed is the local demand in the steps in which peers learn it.
	delayed delayedRate
	// recentPart is the part of the demand that was allowed lately. Peers have allowed about
	// as much of what is not seen yet.
	recentPart decayingAverage
	routes     map[string]*routeDemand
	// share is this instance's fraction of the allotment, and baseShare what it was when
	// no peer was silent.
	share     float64
	baseShare float64
	// baseDemand is the demand per second over all instances when no peer was silent.
	baseDemand float64
	// sums are those over all instances, as they were at summedAt.
	sums     sums
	summedAt spokeclock.Millis
}

// sums are over all instances, for one allotment.
type sums struct {
	// demand is the demand per second of the instances that are heard, this one included.
	demand float64
	// unseen is what may have been spent that this instance hasn't heard of yet.
	unseen float64
	// silentShare is the fraction of the allotment that belongs to silent peers,
	// silentDemand the demand per second that they last reported, and silentSpending what
	// they are assumed to spend per second.
	silentShare    float64
	silentDemand   float64
	silentSpending float64
	heardCount     int
}

// peerState is what one peer has reported.
type peerState struct {
	generation  int64
	lastHeardAt spokeclock.Millis
	// interval is the moving average of the time between its heartbeats.
	interval spokeclock.Millis
	counts   map[string]int64
	demands  map[string]*spokerate.Rate
	// baseShares are, by workspace, the peer's fractions of the allotments as they were
	// when no peer was silent.
	baseShares map[string]float64
	// assumedSpent is, by workspace, what the peer is assumed to have spent since it was
	// last heard, if it is silent.
	assumedSpent map[string]float64
}

// Spend deducts a request's cost from a workspace's allotment if the request is
// allowed. While the allotment is short, the route's precedence decides.
func (l *AllotmentLimiter) Spend(w *spokeconfig.Workspace, route Route, cost float64) Decision {
	if w.Allotment == nil || w.Allotment.Rate == 0 {
		return Decision{isAllowed: true}
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.Clock.Now()
	l.initMaps()
	a := l.allotment(w.Name)
	a.addDemand(route, cost, now)
	l.refresh(w, a, now)
	l.localCounts[requestedPrefix+w.Name] += int64(cost)
	decision := Decision{isAllowed: true}
	if l.globalAllows(w, a, now) {
		decision.allowedPart = l.surgePart(w, a)
	} else {
		decision.isShort, decision.allowedPart = true, l.allowedPart(w, a, now)
	}
	a.recentPart.add(decision.allowedPart, now)
	if decision.allowedPart < 1 {
		decision.routePart = a.plan(decision.allowedPart, now).part(route)
		decision.isAllowed = l.random() < decision.routePart
	}
	decision.ratePerSecond, decision.globalLevel, decision.localLevel = w.Allotment.Rate, a.globalLevel, a.localLevel
	if !decision.isAllowed {
		decision.exceededLimit = "allotment"
		decision.retryAfter = l.retryAfter(w, a)
		decision.countsAge = now - l.lastHeardAt
		decision.roomWait = l.roomWait(w, a, now)
		decision.roomPerSecond = decision.routePart * a.routes[route.Name].costPerSecond(now)
		return decision
	}
	l.deduct(w.Name, a, cost)
	return decision
}

// Refund returns the cost of a request that was allowed and did not run.
func (l *AllotmentLimiter) Refund(w *spokeconfig.Workspace, cost float64) {
	if w.Allotment == nil || w.Allotment.Rate == 0 {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.initMaps()
	a := l.allotment(w.Name)
	l.refresh(w, a, l.Clock.Now())
	l.deduct(w.Name, a, -cost)
}

func (l *AllotmentLimiter) deduct(workspace string, a *allotmentState, cost float64) {
	a.globalLevel -= cost
	a.localLevel -= cost
	l.localCounts[spentPrefix+workspace] += int64(cost)
}

func (l *AllotmentLimiter) initMaps() {
	if l.localCounts == nil {
		l.allotments = make(map[string]*allotmentState)
		l.histories = make(map[string]*spendingHistory)
		l.peers = make(map[string]*peerState)
		l.localCounts = make(map[string]int64)
		l.startedAt = l.Clock.Now()
	}
}

// allotment returns the state of a workspace's allotment. It starts empty when this
// process starts, as what was spent before is not known.
func (l *AllotmentLimiter) allotment(workspace string) *allotmentState {
	a, known := l.allotments[workspace]
	if !known {
		a = newAllotmentState(l.startedAt)
		l.allotments[workspace] = a
	}
	return a
}

// refresh refills a workspace's allotment up to now.
func (l *AllotmentLimiter) refresh(w *spokeconfig.Workspace, a *allotmentState, now spokeclock.Millis) {
	a.workspace = w
	if history, isFirst := l.histories[w.Name]; isFirst {
		delete(l.histories, w.Name)
		l.replay(a, history)
	}
	l.updateSums(w, a, now)
	l.refill(a, now)
}

// refill refills an allotment up to now, with the sums as they are.
func (l *AllotmentLimiter) refill(a *allotmentState, now spokeclock.Millis) {
	w, seconds := a.workspace, float64(now-a.updatedAt)/float64(spokeclock.Second)
	if w == nil || seconds == 0 {
		return
	}
	a.updatedAt = now
	depth := max(1, w.Allotment.Burst, w.Allotment.Rate*minDepthSeconds)
	a.globalLevel = min(depth, a.globalLevel+w.Allotment.Rate*seconds*(1-l.unheardFraction))
	a.localLevel = min(depth*a.share, a.localLevel+w.Allotment.Rate*a.share*seconds)
	l.deductSilentPeers(w, a, seconds, now)
}

// globalAllows reports whether a request may be spent from the whole allotment:
// the global level and lateCountFraction of the tolerance cover what instances
// may have spent without the others' knowledge. A positive level belongs to
// silent peers as well, so their shares are left out. If there are other members, or
// it is not known whether there are, and none is heard, all of it may be spent already.
func (l *AllotmentLimiter) globalAllows(w *spokeconfig.Workspace, a *allotmentState, now spokeclock.Millis) bool {
	available := a.globalLevel
	if available > 0 {
		available *= max(0, 1-l.unheardFraction-a.sums.silentShare)
	}
	available += l.lateAmount(w)
	return l.decidesBySums(now) && available >= a.sums.unseen
}

// surgePart returns which part of this instance's demand may be spent while the allotment is
// not short: less than one if its demand has grown so much that what is available would be
// spent before the instances hear of each other's spending, if it has grown everywhere.
func (l *AllotmentLimiter) surgePart(w *spokeconfig.Workspace, a *allotmentState) float64 {
	if a.demandBefore < minSurgeRequests || l.meanInterval == 0 {
		return 1
	}
	available := max(0, a.globalLevel+l.lateAmount(w)) * float64(spokeclock.Second) / float64(l.meanInterval+2*countDelay)
	part := a.share * (w.Allotment.Rate + available) / a.localDemand()
	if part > maxSurgePart {
		return 1
	}
	return part
}

// hearsOthers reports whether this instance hears any peer, or knows that there are none.
// Many peers are seldom all quiet at once, so that a cut shows long before a single peer
// counts as silent.
func (l *AllotmentLimiter) hearsOthers(now spokeclock.Millis) bool {
	if len(l.peers) == 0 {
		return l.memberCount == 1
	}
	if l.meanInterval == 0 {
		return now-l.lastHeardAt <= newPeerTimeout
	}
	return now-l.lastHeardAt <= countDelay+min(l.meanInterval, maxMissedHeartbeats*spokeclock.Millis(l.maxGap))
}

// allowedPart returns which part of a short allotment's demand may be spent: what the rate
// and the level cover. An instance that hears no peer decides by its own share, any other
// by the sums over the instances that it hears, and by its own demand if that has grown.
func (l *AllotmentLimiter) allowedPart(w *spokeconfig.Workspace, a *allotmentState, now spokeclock.Millis) float64 {
	local := a.localDemand()
	if !l.decidesBySums(now) {
		rate := w.Allotment.Rate * a.share
		// One costly request may take as much as the share yields in several seconds.
		budget := rate + correction(a.localLevel, debtTime+costliestPeriods*spokeclock.Millis(a.costliest()/max(1, rate)*float64(spokeclock.Second)))
		if now-l.startedAt >= unknownTime {
			budget = max(budget, minBudgetFraction*rate)
		}
		return clampPart(budget / local)
	}
	rate := w.Allotment.Rate*(1-l.unheardFraction) - a.sums.silentSpending
	budget := rate + correction(a.globalLevel-a.sums.unseen*a.recentPart.value, debtTime)
	part := clampPart(max(budget, minBudgetFraction*rate) / max(1, a.sums.demand))
	if expected := a.delayed.perSecond(); local > expected && expected > 0 {
		part *= expected / local
	}
	return part
}

// decidesBySums reports whether this instance hears enough others for the sums over them to
// tell what is left of an allotment.
func (l *AllotmentLimiter) decidesBySums(now spokeclock.Millis) bool {
	return l.hearsOthers(now) && l.unheardFraction <= maxUnheardFraction
}

// correction returns the spending per second that brings a level to zero, in the given time
// if it is a debt.
func correction(level float64, debtTime spokeclock.Millis) float64 {
	period := creditTime
	if level < 0 {
		period = min(debtTime, maxDebtTime)
	}
	return level * float64(spokeclock.Second) / float64(period)
}

func clampPart(part float64) float64 { return min(1, max(0, part)) }

// lateAmount returns the part of the tolerance that late counts may use up.
func (l *AllotmentLimiter) lateAmount(w *spokeconfig.Workspace) float64 {
	return l.Tolerance.amount(w.Allotment) * lateCountFraction
}

func (l *AllotmentLimiter) random() float64 {
	if l.RandomFunc != nil {
		return l.RandomFunc()
	}
	return rand.Float64() //nolint:gosec // The draw needs no secrecy.
}

// roomWait returns the time in which the rate pays the debt of the level that decides.
func (l *AllotmentLimiter) roomWait(w *spokeconfig.Workspace, a *allotmentState, now spokeclock.Millis) spokeclock.Millis {
	debt, rate := a.sums.unseen*a.recentPart.value-a.globalLevel, w.Allotment.Rate-a.sums.silentSpending
	if !l.decidesBySums(now) {
		debt, rate = -a.localLevel, w.Allotment.Rate*a.share
	}
	return min(maxRetryAfter, spokeclock.Millis(max(0, debt)/max(1, rate)*float64(spokeclock.Second)))
}

// retryAfter estimates the time until a request may be allowed: until the local
// level reaches one or globalAllows would hold, whichever is earlier, and
// maxRetryAfter at most.
func (l *AllotmentLimiter) retryAfter(w *spokeconfig.Workspace, a *allotmentState) spokeclock.Millis {
	localSeconds := max(0, 1-a.localLevel) / max(1, w.Allotment.Rate*a.share)
	globalSeconds := max(0, a.sums.unseen-a.globalLevel-l.lateAmount(w)) / w.Allotment.Rate
	return min(1+spokeclock.Millis(min(localSeconds, globalSeconds)*float64(spokeclock.Second)), maxRetryAfter)
}

// Counts returns this instance's counters, for its peers. The keys are
// "spent/WORKSPACE" and "asked/WORKSPACE", the values tokens or requests.
func (l *AllotmentLimiter) Counts() map[string]int64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.initMaps()
	return maps.Clone(l.localCounts)
}

// SetPeerCounts sets the counters of a peer that have changed. Generation
// identifies the run of the peer's process.
func (l *AllotmentLimiter) SetPeerCounts(peer string, generation int64, counts map[string]int64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.initMaps()
	l.setCounts(peer, generation, counts)
}

// SetSumCounts sets the changed sums of a data centre, which counts as one peer. A new
// generation means that another instance has summed up. Its sums hold all that was spent since
// it started, most of which this instance has counted before.
func (l *AllotmentLimiter) SetSumCounts(name string, generation int64, counts map[string]int64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.initMaps()
	if p, known := l.peers[name]; known && p.generation != generation {
		delete(l.peers, name)
	}
	l.setCounts(name, generation, counts)
}

func (l *AllotmentLimiter) setCounts(peer string, generation int64, counts map[string]int64) {
	now := l.Clock.Now()
	p, known := l.peers[peer]
	if !known || p.generation != generation {
		p = &peerState{
			generation: generation, counts: make(map[string]int64), baseShares: make(map[string]float64),
			demands: make(map[string]*spokerate.Rate), assumedSpent: make(map[string]float64),
		}
		l.peers[peer] = p
	}
	switch interval := now - p.lastHeardAt; {
	case p.lastHeardAt == 0:
	case p.interval == 0:
		p.interval = interval
	default:
		p.interval = (intervalWeight*p.interval + interval) / (intervalWeight + 1)
	}
	p.lastHeardAt = now
	l.recordGap(now)
	l.recordInterval(p.interval)
	for key, count := range counts {
		if !strings.HasPrefix(key, spentPrefix) && !strings.HasPrefix(key, requestedPrefix) {
			continue
		}
		before, counted := p.counts[key]
		p.counts[key] = count
		// What a peer spent before its first heartbeat here is in no window that
		// this instance tracks.
		if !counted && !known {
			continue
		}
		l.addPeerAmount(p, key, float64(count-before), now)
	}
	p.returnAssumed(l.allotments)
	l.updateBaseShares(now)
}

// returnAssumed takes back what the peer was assumed to have spent on allotments whose
// counters haven't changed.
func (p *peerState) returnAssumed(allotments map[string]*allotmentState) {
	for workspace, assumed := range p.assumedSpent {
		if a, known := allotments[workspace]; known {
			a.globalLevel += assumed
		}
	}
	clear(p.assumedSpent)
}

// addPeerAmount adds the increase of one counter of a peer. An increase of its
// spending replaces what the peer was assumed to have spent while silent.
func (l *AllotmentLimiter) addPeerAmount(p *peerState, key string, amount float64, now spokeclock.Millis) {
	if workspace, isSpent := strings.CutPrefix(key, spentPrefix); isSpent {
		if a, known := l.allotments[workspace]; known {
			// What the rate has filled up meanwhile is capped before it is spent.
			l.refill(a, now)
			a.globalLevel -= amount - p.assumedSpent[workspace]
		} else {
			l.recordHistory(workspace, amount, now)
		}
		delete(p.assumedSpent, workspace)
	}
	if workspace, isRequested := strings.CutPrefix(key, requestedPrefix); isRequested {
		if p.demands[workspace] == nil {
			p.demands[workspace] = &spokerate.Rate{TimeConstant: demandTimeConstant}
		}
		p.demands[workspace].Add(amount, now)
	}
}
