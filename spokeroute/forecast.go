package spokeroute

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// MaxFullScanInstances is the largest number of entry instances at which each
// compares all servers. They then learn of each other's choices fast enough.
const MaxFullScanInstances = 16

// The forecast estimates the milliseconds until the first token.
const (
	// queueingLoad is the load, as a fraction of the slots, from which requests
	// begin to wait.
	queueingLoad = 0.9
	// slotDelay is the time, in milliseconds, until one of a full engine's slots
	// becomes free.
	slotDelay = 40.0
	// DefaultRemoteDelay is the round trip to another data centre, in milliseconds, plus
	// a surcharge for the price of the bytes, where nothing more exact is known.
	DefaultRemoteDelay = 3.0
	// unreachableDelay, in milliseconds, is large enough that a data centre which
	// cannot be reached gets no new requests while there is any other.
	unreachableDelay = 5000.0
	// jitterDelay is the bound of a random addition, in milliseconds. It keeps
	// instances with the same information from all choosing the same one of
	// several servers that look alike.
	jitterDelay = 2.0
)

// chooseByForecast chooses the server with the earliest expected first token. A
// shared prefix is expected in the caches of two servers: the preferred server
// of rendezvous hashing, on which all instances agree without communication, and
// the one that this instance last sent the prefix to. Where prefixes are cached in
// each data centre, each has a preferred server.
func (p *Policy) chooseByForecast(usable []Candidate, request Request) Decision {
	if len(usable) == 1 {
		return Decision{server: usable[0].Name, reason: ReasonOnlyCandidate, cost: firstTokenMillis(usable[0], request.PromptTokens), prefillTokens: request.PromptTokens}
	}
	preferred := preferredServers(usable, request)
	permitted, preferred := permittedCandidates(usable, preferred, request)
	isReduced := len(permitted) < len(usable)
	usable, preferred = p.sample(permitted, preferred, request.EntryInstances, sampleSizeOf(permitted, request, isReduced))
	best, bestPrefill, bestCost := -1, 0, math.Inf(1)
	for i, c := range usable {
		prefill := request.PromptTokens
		if c.PrefixCached || slices.Contains(preferred, c.Name) {
			prefill -= request.SharedPrefixTokens
		}
		cost := firstTokenMillis(c, prefill) + p.Random.Float64()*jitterDelay
		if cost < bestCost {
			best, bestPrefill, bestCost = i, prefill, cost
		}
	}
	reason := ReasonEarliestFirstToken
	if slices.Contains(preferred, usable[best].Name) {
		reason = ReasonCachedPrefix
	}
	return Decision{server: usable[best].Name, reason: reason, cost: bestCost, prefillTokens: bestPrefill}
}

// rendezvousIndex returns the index of the candidate that rendezvous hashing
// prefers for a key, or -1 if the key is zero.
func rendezvousIndex(usable []Candidate, key uint64) int {
	if key == 0 {
		return -1
	}
	best, bestRank := -1, uint64(0)
	for i, c := range usable {
		if rank := rendezvousRank(c, key); best < 0 || rank > bestRank {
			best, bestRank = i, rank
		}
	}
	return best
}

// rendezvousRank returns the rank of a candidate for a key in rendezvous hashing.
func rendezvousRank(c Candidate, key uint64) uint64 {
	return mixBits(xxhash.Sum64String(c.Name) ^ key)
}

// mixBits is the finalizer of MurmurHash3 for 64 bits.
func mixBits(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// firstTokenMillis returns the expected time to the first token, in
// milliseconds, of a request of which the server has to process prefillTokens:
// the prefill, the delay by running requests and the wait for a slot, each as
// long as delayFactor tells, and the penalties of its data centre.
func firstTokenMillis(c Candidate, prefillTokens int) float64 {
	slots := float64(c.Slots)
	if slots <= 0 {
		slots = defaultSlots
	}
	load := float64(estimatedLoad(c))
	prefill := float64(c.PrefillBacklog+prefillTokens) / c.Engine.PrefillRate()
	waiting := max(0, load+1-queueingLoad*slots) * slotDelay
	total := (prefill + load*c.Engine.RunningDelay() + c.Engine.FirstDelay() + waiting) * delayFactor(c)
	if !c.Local {
		total += c.RemoteDelay
	}
	if c.DataCentreUnreachable {
		total += unreachableDelay
	}
	return total
}

// Speed returns how much work the server does in the time in which a median server of its
// service does one part.
func (c Candidate) Speed() float64 { return 1 / delayFactor(c) }

// delayFactor returns how long work takes at a server, as a ratio to the median of its
// service's servers. A momentary delay and the reduced traffic share that follows it are
// the same slowness: the greater one counts.
func delayFactor(c Candidate) float64 {
	return cmp.Or(c.UsualDelay, 1) * max(1, c.MomentaryDelay, 1/max(minTrafficShare, c.TrafficShare))
}
