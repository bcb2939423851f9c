package spokeroute

import (
	"math/rand/v2"
	"slices"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeconfig"
)

const (
	// LongAnswerShare is the part of a server's slots that long answers may take.
	LongAnswerShare = 0.5

	// The costs are in units of a normal server's full load.
	queueCost      = 4.0
	remoteCost     = 0.15
	cachedDiscount = 0.35
	jitterCost     = 0.02
	// staleReportAge is the age from which a report tells nothing.
	staleReportAge  = 5 * spokeclock.Second
	minimumTrust    = 0.01
	defaultSlots    = 8
	twoChoicesCount = 2
)

// Policy chooses backend servers. Set its fields before the first choice. It
// is used by one goroutine at a time.
type Policy struct {
	// Routing names the policy. Empty means score.
	Routing spokeconfig.Routing
	// Random breaks ties. It must not be nil.
	Random *rand.Rand

	turn int
}

// Choose returns the server for a request.
func (p *Policy) Choose(candidates []Candidate, request Request) Decision {
	usable := usableFor(candidates, request)
	if len(usable) == 0 {
		return Decision{reason: ReasonNoLiveServer}
	}
	switch p.Routing {
	case spokeconfig.RoutingRoundRobin:
		return p.byTurn(usable)
	case spokeconfig.RoutingLeastReported:
		return p.byReport(usable)
	case spokeconfig.RoutingForecast:
		return p.byForecast(usable, request)
	case spokeconfig.RoutingTwoChoices:
		return p.byTwoChoices(usable)
	default:
		return p.byScore(usable, request)
	}
}

// usableFor drops leaving and suspended servers, and those already tried
// unless no others are left.
func usableFor(candidates []Candidate, request Request) []Candidate {
	fresh := make([]Candidate, 0, len(candidates))
	for _, c := range candidates {
		if !c.Draining && !c.Suspended && !slices.Contains(request.TriedServers, c.Name) {
			fresh = append(fresh, c)
		}
	}
	if len(fresh) > 0 {
		return fresh
	}
	for _, c := range candidates {
		if !c.Draining {
			fresh = append(fresh, c)
		}
	}
	return fresh
}

func (p *Policy) byTurn(usable []Candidate) Decision {
	p.turn++
	return Decision{server: usable[p.turn%len(usable)].Name, reason: ReasonRoundRobin}
}

func (p *Policy) byReport(usable []Candidate) Decision {
	best := usable[p.Random.IntN(len(usable))]
	for _, c := range usable {
		if c.ReportedLoad < best.ReportedLoad {
			best = c
		}
	}
	return Decision{server: best.Name, reason: ReasonLeastReported}
}

func (p *Policy) byTwoChoices(usable []Candidate) Decision {
	best := usable[p.Random.IntN(len(usable))]
	for range twoChoicesCount - 1 {
		other := usable[p.Random.IntN(len(usable))]
		if other.InFlight < best.InFlight {
			best = other
		}
	}
	return Decision{server: best.Name, reason: ReasonTwoChoices}
}

func (p *Policy) byScore(usable []Candidate, request Request) Decision {
	eligible := withLongShare(usable, request)
	if len(eligible) == 0 {
		return Decision{reason: ReasonLongShareFull}
	}
	if len(eligible) == 1 {
		return Decision{server: eligible[0].Name, reason: ReasonOnlyCandidate, cost: cost(eligible[0])}
	}
	best, plain := -1, -1
	var bestCost, plainCost float64
	for i, c := range eligible {
		jitter := p.Random.Float64() * jitterCost
		bare := cost(c) + jitter
		full := bare
		if c.PrefixCached {
			full -= cachedDiscount
		}
		if best < 0 || full < bestCost {
			best, bestCost = i, full
		}
		if plain < 0 || bare < plainCost {
			plain, plainCost = i, bare
		}
	}
	if best != plain {
		return Decision{server: eligible[best].Name, reason: ReasonCachedPrefix, cost: bestCost}
	}
	return Decision{server: eligible[best].Name, reason: ReasonLeastCost, cost: bestCost}
}

// withLongShare keeps the servers on which a long answer finds room in the
// part of the slots that long answers may take.
func withLongShare(usable []Candidate, request Request) []Candidate {
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

// MaxLongAnswers returns how many long answers a server with so many slots may run.
func MaxLongAnswers(slots int) int {
	if slots <= 0 {
		slots = defaultSlots
	}
	return max(1, int(float64(slots)*LongAnswerShare))
}

// cost is the expected time of a request on a server, in units of a normal
// server's full load.
func cost(c Candidate) float64 {
	slots := float64(c.Slots)
	if slots <= 0 {
		slots = defaultSlots
	}
	load := float64(knownLoad(c) + 1)
	busy := load / slots
	queue := max(0, load-slots) / slots
	slowness := max(1, c.Slowness)
	trust := max(minimumTrust, c.TrafficShare)
	total := (busy + queueCost*queue) * slowness / trust
	if !c.Local {
		total += remoteCost
	}
	return total
}

// knownLoad prefers exact counts and takes a fresh report only when it shows
// work that the counts do not.
func knownLoad(c Candidate) int {
	if c.ReportAge > staleReportAge {
		return c.InFlight
	}
	return max(c.InFlight, c.ReportedLoad/2)
}
