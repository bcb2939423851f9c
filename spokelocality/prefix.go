package spokelocality

import (
	"math"

	"mulberryspoke.example/mulberryspoke/spokeclock"
)

const (
	// prefixWindow is the time after which the older half of the counted prefixes is
	// forgotten.
	prefixWindow = 30 * spokeclock.Second
	// maxPrefixes bounds the prefixes that are counted in a window.
	maxPrefixes = 4096
	// prefixWeight is the weight of the latest request in averages over requests with a
	// prefix.
	prefixWeight = 1.0 / 32
	// minPrefixRequests is the number of requests with a prefix from which there is
	// evidence.
	minPrefixRequests = 8
	// scopeGain is the part of the cost that the other scope must save to be chosen.
	scopeGain = 0.2
	// cachePart is the part of an engine's cache that isn't needed by running requests.
	cachePart = 0.5
)

// prefixes estimates how often the prefixes of one service's requests come back.
type prefixes struct {
	current, previous map[uint64]int
	startedAt         spokeclock.Millis
	previousStartedAt spokeclock.Millis
	requests          int
	// ratePerSecond is the rate at which this instance gets the prefix of a request,
	// averaged over requests.
	ratePerSecond float64
	// tokens is the average length of a prefix.
	tokens float64
	// ownTokens is the average number of a request's other tokens, and firstAt the time of
	// the first request.
	ownTokens float64
	firstAt   spokeclock.Millis
}

// record counts a request with a prefix.
func (p *prefixes) record(key uint64, prefixTokens, ownTokens int, now spokeclock.Millis) {
	if p.requests == 0 {
		p.startedAt, p.previousStartedAt, p.firstAt = now, now, now
		p.current = make(map[uint64]int)
	}
	if now-p.startedAt >= prefixWindow || len(p.current) >= maxPrefixes {
		p.previous, p.previousStartedAt = p.current, p.startedAt
		p.current, p.startedAt = make(map[uint64]int), now
	}
	p.requests++
	weight := max(prefixWeight, 1/float64(p.requests))
	elapsed := float64(max(spokeclock.Second, now-p.previousStartedAt)) / float64(spokeclock.Second)
	p.ratePerSecond += weight * (float64(p.current[key]+p.previous[key])/elapsed - p.ratePerSecond)
	p.tokens += weight * (float64(prefixTokens) - p.tokens)
	p.ownTokens += weight * (float64(ownTokens) - p.ownTokens)
	p.current[key]++
}

// distinct returns a lower bound of the number of prefixes in use.
func (p *prefixes) distinct() int { return max(len(p.current), len(p.previous)) }

// prefixSetting is what the costs of the two scopes depend on beside the prefixes.
type prefixSetting struct {
	instances, localInstances int
	servers, localServers     float64
	// cacheTokens is the size of a server's cache. Zero means unknown.
	cacheTokens int
	// readRate is the number of tokens that a server reads in a millisecond.
	readRate float64
	// leaveCost is the cost of leaving, in milliseconds of delay.
	leaveCost float64
	// lifetime is how long a prefix stays in a cache whose size isn't known.
	lifetime spokeclock.Millis
}

// localCost and sharedCost return the expected cost of a request's prefix, in milliseconds
// of delay, with prefixes that are cached at one server of each data centre and at one
// server of all.
func (p *prefixes) localCost(s prefixSetting, now spokeclock.Millis) float64 {
	lifetime := p.lifetime(s, now)
	if s.cacheTokens > 0 && s.localServers > 0 {
		held := float64(p.distinct()) * p.tokens / (cachePart * float64(s.cacheTokens) * s.localServers)
		lifetime *= 1 - min(1, held)
	}
	return p.missPart(s.localInstances, lifetime) * p.tokens / s.readRate
}

func (p *prefixes) sharedCost(s prefixSetting, now spokeclock.Millis) float64 {
	remotePart := 1 - s.localServers/max(s.servers, s.localServers)
	return p.missPart(s.instances, p.lifetime(s, now))*p.tokens/s.readRate + remotePart*s.leaveCost
}

// missPart returns the part of requests whose prefix is no longer cached if the requests
// of some instances share it: those that come later than the lifetime after the last one.
func (p *prefixes) missPart(instances int, lifetime float64) float64 {
	return math.Exp(-p.ratePerSecond * float64(instances) * lifetime / float64(spokeclock.Second))
}

// lifetime returns how long a prefix stays in a cache, in milliseconds: the time in which
// the other parts of prompts fill the cache.
func (p *prefixes) lifetime(s prefixSetting, now spokeclock.Millis) float64 {
	if s.cacheTokens <= 0 || p.ownTokens <= 0 {
		return float64(s.lifetime)
	}
	elapsed := float64(max(spokeclock.Second, now-p.firstAt))
	readPerMilli := float64(p.requests) / elapsed * p.ownTokens * float64(s.instances)
	return cachePart * float64(s.cacheTokens) * s.servers / readPerMilli
}

// prefersLocal reports whether prefixes should be cached in each data centre. It changes
// only if that saves scopeGain of the cost.
func (p *prefixes) prefersLocal(isLocal bool, s prefixSetting, now spokeclock.Millis) bool {
	if p.requests < minPrefixRequests || s.localServers <= 0 {
		return false
	}
	local, shared := p.localCost(s, now), p.sharedCost(s, now)
	if isLocal {
		return shared >= local*(1-scopeGain)
	}
	return local < shared*(1-scopeGain)
}
