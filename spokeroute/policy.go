package spokeroute

import (
	"math/rand/v2"
	"slices"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeconfig"
)

const (
	// LongAnswerShare is the fraction of a server's slots that long answers may
	// take.
	LongAnswerShare = 0.5

	// The costs are in units of a normal server's full load: for each slot's worth
	// of waiting requests, for another data centre, and what a cached prefix saves
	// and random jitter adds at most.
	queueCost      = 4.0
	remoteCost     = 0.15
	cachedDiscount = 0.35
	jitterCost     = 0.02
	// maxReportAge is the age up to which a server's load report is used.
	maxReportAge = 5 * spokeclock.Second
	// minTrafficShare bounds the divisor of costs and delays.
	minTrafficShare = 0.01
	// defaultSlots is the number of slots of a server whose number isn't known.
	defaultSlots = 8
	// twoChoicesCount is the number of random servers that RoutingTwoChoices
	// compares.
	twoChoicesCount = 2
)

// Policy chooses backend servers. Set its fields before the first choice. It
// is used by one goroutine at a time.
type Policy struct {
	// Routing is the name of the policy. Empty means score.
	Routing spokeconfig.Routing
	// Random is the source for samples and for jitter. It must not be nil.
	Random *rand.Rand

	roundRobinCount int
}

// Choose returns the server for a request.
func (p *Policy) Choose(candidates []Candidate, request Request) Decision {
	usable := usableCandidates(candidates, request)
	if len(usable) == 0 {
		return Decision{reason: ReasonNoLiveServer}
	}
	switch p.Routing {
	case spokeconfig.RoutingRoundRobin:
		return p.chooseRoundRobin(usable)
	case spokeconfig.RoutingLeastReportedLoad:
		return p.chooseLeastReported(usable)
	case spokeconfig.RoutingEarliestFirstToken:
		return p.chooseByForecast(usable, request)
	case spokeconfig.RoutingTwoChoices:
		return p.chooseTwoChoices(usable)
	default:
		return p.chooseByScore(usable, request)
	}
}

// usableCandidates leaves out draining and throttled servers. It also leaves out
// suspended servers and those already tried, unless no others are left. A sound server
// that is throttled counts as left: to refuse a request is then better than to let it
// wait for a server that has failed.
func usableCandidates(candidates []Candidate, request Request) []Candidate {
	usable := make([]Candidate, 0, len(candidates))
	hasThrottled := false
	candidates = versionCandidates(candidates, request)
	for _, c := range candidates {
		isSound := !c.Draining && !c.Suspended && !slices.Contains(request.TriedServers, c.Name)
		hasThrottled = hasThrottled || (isSound && c.Throttled)
		if isSound && !c.Throttled {
			usable = append(usable, c)
		}
	}
	if len(usable) > 0 || hasThrottled {
		return lastingCandidates(usable, request)
	}
	for _, c := range candidates {
		if !c.Draining && !c.Throttled {
			usable = append(usable, c)
		}
	}
	return usable
}

func (p *Policy) chooseRoundRobin(usable []Candidate) Decision {
	p.roundRobinCount++
	return Decision{server: usable[p.roundRobinCount%len(usable)].Name, reason: ReasonRoundRobin}
}

// chooseLeastReported starts at a random server, so that ties are broken at
// random.
func (p *Policy) chooseLeastReported(usable []Candidate) Decision {
	best := usable[p.Random.IntN(len(usable))]
	for _, c := range usable {
		if c.ReportedLoad < best.ReportedLoad {
			best = c
		}
	}
	return Decision{server: best.Name, reason: ReasonLeastReported}
}

func (p *Policy) chooseTwoChoices(usable []Candidate) Decision {
	best := usable[p.Random.IntN(len(usable))]
	for range twoChoicesCount - 1 {
		other := usable[p.Random.IntN(len(usable))]
		if other.InFlight < best.InFlight {
			best = other
		}
	}
	return Decision{server: best.Name, reason: ReasonTwoChoices}
}

// chooseByScore chooses the server with the least cost, less cachedDiscount if
// the request's prefix is cached there. The reason is ReasonCachedPrefix only if
// the discount changed the choice.
func (p *Policy) chooseByScore(usable []Candidate, request Request) Decision {
	eligible := withFreeLongSlots(usable, request)
	if len(eligible) == 0 {
		return Decision{reason: ReasonLongShareFull}
	}
	if len(eligible) == 1 {
		return Decision{server: eligible[0].Name, reason: ReasonOnlyCandidate, cost: loadCost(eligible[0])}
	}
	best, bestUndiscounted := -1, -1
	var bestCost, bestUndiscountedCost float64
	for i, c := range eligible {
		jitter := p.Random.Float64() * jitterCost
		undiscounted := loadCost(c) + jitter
		cost := undiscounted
		if c.PrefixCached {
			cost -= cachedDiscount
		}
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
		if bestUndiscounted < 0 || undiscounted < bestUndiscountedCost {
			bestUndiscounted, bestUndiscountedCost = i, undiscounted
		}
	}
	if best != bestUndiscounted {
		return Decision{server: eligible[best].Name, reason: ReasonCachedPrefix, cost: bestCost}
	}
	return Decision{server: eligible[best].Name, reason: ReasonLeastCost, cost: bestCost}
}

// withFreeLongSlots keeps, for a long answer, the servers on which long answers
// take fewer slots than they may.
func withFreeLongSlots(usable []Candidate, request Request) []Candidate {
	if !request.LongAnswer {
		return usable
	}
	var eligible []Candidate
	for _, c := range usable {
		if c.LongInFlight < MaxLongAnswers(c.Slots) {
			eligible = append(eligible, c)
		}
	}
	return eligible
}

// MaxLongAnswers returns the number of long answers that a server with the given
// number of slots may run at once.
func MaxLongAnswers(slots int) int {
	if slots <= 0 {
		slots = defaultSlots
	}
	return max(1, int(float64(slots)*LongAnswerShare))
}

// loadCost returns the expected cost of a request on a server, in units of a
// normal server's full load. Load beyond the slots costs queueCost more. The
// cost grows with the server's slowness and as its traffic share shrinks.
func loadCost(c Candidate) float64 {
	slots := float64(c.Slots)
	if slots <= 0 {
		slots = defaultSlots
	}
	load := float64(estimatedLoad(c) + 1)
	busy := load / slots
	queue := max(0, load-slots) / slots
	slowness := max(1, c.Slowness)
	trafficShare := max(minTrafficShare, c.TrafficShare)
	total := (busy + queueCost*queue) * slowness / trafficShare
	if !c.Local {
		total += remoteCost
	}
	return total
}

// estimatedLoad returns the number of requests in flight. A recent load report
// replaces it only if even half of the reported load is more, so that the report
// shows requests that are not counted in flight.
func estimatedLoad(c Candidate) int {
	if c.ReportAge > maxReportAge {
		return c.InFlight
	}
	return max(c.InFlight, c.ReportedLoad/2)
}
