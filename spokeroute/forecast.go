package spokeroute

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"mulberryspoke.example/mulberryspoke/spokeclock"
)

// MaxFullScanInstances is the number of instances that hear of each other fast enough to
// choose among all servers.
const MaxFullScanInstances = 16

// The forecast counts in milliseconds until the first token.
const (
	// readRate is the prompt tokens that an engine reads in a millisecond. Only
	// its proportion to the other terms matters to a choice; engines of the
	// sizes served read 20 to 100.
	readRate = 50.0
	// runningDelay is what each running request adds to the steps in which a
	// prompt is read.
	runningDelay = 1.5
	// nearFull is the part of the slots from which requests begin to wait.
	nearFull = 0.9
	// waitDelay is the time until one of a full engine's slots comes free.
	waitDelay = 40.0
	// remoteDelay is the way to another data centre and back, and the price of
	// the bytes.
	remoteDelay = 3.0
	// cutOffDelay keeps new work from a data centre that cannot be reached while
	// there is any other.
	cutOffDelay = 5000.0
	// sampleSize is how many servers are compared when more instances choose.
	sampleSize = 3
	// jitterDelay parts servers that look alike, so that instances with the same
	// knowledge do not all take the same.
	jitterDelay = 2.0
)

const (
	// stepTime and stepEach are an engine's time for one step of its batch, in
	// milliseconds: for any step, and for each request in it.
	stepTime = 2.9
	stepEach = 0.1
	// usualBatch is the batch that engines with many slots run within their
	// latency targets.
	usualBatch = 24
)

// EngineTime returns the time that a request keeps an engine with so many slots busy.
// A token takes its part of a step that a whole batch shares.
func EngineTime(unread, answered, slots int) spokeclock.Millis {
	batch := float64(min(max(1, slots), usualBatch))
	return spokeclock.Millis(float64(unread)/readRate + float64(answered)*(stepTime/batch+stepEach))
}

// byForecast chooses the server with the earliest expected first token. The
// beginning that prompts share is expected at the server that rendezvous
// hashing gives for it, so that all instances agree without talking, and where
// this instance last sent it.
func (p *Policy) byForecast(usable []Candidate, request Request) Decision {
	if len(usable) == 1 {
		return Decision{server: usable[0].Name, reason: ReasonOnlyCandidate, cost: forecast(usable[0], request.PromptTokens), unread: request.PromptTokens}
	}
	home := homeOf(usable, request.PrefixKey)
	usable, home = p.sample(usable, home, request.EntryInstances)
	best, bestUnread, bestCost := -1, 0, math.Inf(1)
	for i, c := range usable {
		unread := request.PromptTokens
		if i == home || c.PrefixCached {
			unread -= request.SharedPrefixTokens
		}
		cost := forecast(c, unread) + p.Random.Float64()*jitterDelay
		if cost < bestCost {
			best, bestUnread, bestCost = i, unread, cost
		}
	}
	reason := ReasonEarliestFirstToken
	if best == home {
		reason = ReasonCachedPrefix
	}
	return Decision{server: usable[best].Name, reason: reason, cost: bestCost, unread: bestUnread}
}

// sample leaves a few candidates when many instances choose at once by the same
// late knowledge, as they would otherwise all take the same. The home stays, and
// so does a server that this instance has just used for the same beginning.
func (p *Policy) sample(usable []Candidate, home, choosers int) ([]Candidate, int) {
	if choosers <= MaxFullScanInstances || len(usable) <= sampleSize+1 {
		return usable, home
	}
	sampled := make([]Candidate, 0, sampleSize+2)
	sampledHome := -1
	if home >= 0 {
		sampled = append(sampled, usable[home])
		sampledHome = 0
	}
	for i, c := range usable {
		if c.PrefixCached && i != home {
			sampled = append(sampled, c)
		}
	}
	for range sampleSize {
		if at := p.Random.IntN(len(usable)); at != home {
			sampled = append(sampled, usable[at])
		}
	}
	if len(sampled) == 0 {
		return usable[:1], -1
	}
	return sampled, sampledHome
}

// homeOf returns the candidate that rendezvous hashing gives for a key, or -1.
func homeOf(usable []Candidate, key uint64) int {
	if key == 0 {
		return -1
	}
	best, bestRank := -1, uint64(0)
	for i, c := range usable {
		if rank := mix(xxhash.Sum64String(c.Name) ^ key); best < 0 || rank > bestRank {
			best, bestRank = i, rank
		}
	}
	return best
}

// mix spreads the bits of a number, as the last step of MurmurHash3 does.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// forecast is the expected time to the first token of a request of which so
// many prompt tokens have to be read.
func forecast(c Candidate, unread int) float64 {
	slots := float64(c.Slots)
	if slots <= 0 {
		slots = defaultSlots
	}
	load := float64(knownLoad(c))
	reading := float64(c.PrefillBacklog+unread) / readRate
	waiting := max(0, load+1-nearFull*slots) * waitDelay
	total := (reading + load*runningDelay + waiting) * max(1, c.Slowness) / max(minimumTrust, c.TrafficShare)
	if !c.Local {
		total += remoteDelay
	}
	if c.DataCentreUnreachable {
		total += cutOffDelay
	}
	return total
}
