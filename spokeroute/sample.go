package spokeroute

import "slices"

const (
	// sampleSize is the number of random servers that are compared when there are
	// more entry instances than MaxFullScanInstances.
	sampleSize = 3
	// sampledServers is the number of servers for each one that is compared if a request
	// may only be served in one data centre.
	sampledServers = 6
	// longPromptPart is the part of the target from which the time to read a prompt makes it
	// long, and longPromptFactor is the number of times as many servers that are compared for
	// it. Its server's speed decides whether it is in time, and the few servers that are
	// compared otherwise may all be slow. Comparing more servers for most prompts is worse:
	// all instances then choose the same ones by the same outdated information.
	longPromptPart   = 0.2
	longPromptFactor = 4
)

// sampleSizeOf returns the number of random servers to compare. Of the few servers of one
// data centre only some are compared, as the best of nearly all of them would be the same
// one for all instances.
func sampleSizeOf(usable []Candidate, request Request, isReduced bool) int {
	size := sampleSize
	if isReduced {
		size = min(size, max(1, len(usable)/sampledServers))
	}
	if request.isLongPrompt(usable) {
		size *= longPromptFactor
	}
	return size
}

// isLongPrompt reports whether the prompt takes a large part of the target to read at a server
// of usual speed, as if nothing of it was cached.
func (r *Request) isLongPrompt(usable []Candidate) bool {
	if r.Target == 0 || len(usable) == 0 {
		return false
	}
	return float64(r.PromptTokens)/usable[0].Engine.PrefillRate() >= longPromptPart*float64(r.Target)
}

// sample reduces the candidates to a few random ones when many instances choose
// by the same outdated information, as they would otherwise all choose the same
// server. The preferred server stays a candidate, and so does one to which this
// instance has just sent the same prefix. It returns the candidates and the
// index of the preferred one among them, or -1.
func (p *Policy) sample(usable []Candidate, preferred []string, instances, size int) ([]Candidate, []string) {
	if instances <= MaxFullScanInstances || len(usable) <= size+1 {
		return usable, preferred
	}
	sampled := make([]Candidate, 0, size+len(preferred)+1)
	isPreferred := func(c Candidate) bool { return slices.Contains(preferred, c.Name) }
	for _, c := range usable {
		if c.PrefixCached || isPreferred(c) {
			sampled = append(sampled, c)
		}
	}
	for range size {
		if c := usable[p.Random.IntN(len(usable))]; !isPreferred(c) {
			sampled = append(sampled, c)
		}
	}
	if len(sampled) == 0 {
		return usable[:1], nil
	}
	return sampled, preferred
}
