package spokeroute

import "slices"

// QueuedMillis returns the time, in milliseconds, until a server of usual speed has
// processed the prompts of the requests that it has and has a free slot.
func QueuedMillis(c Candidate) float64 {
	slots := float64(c.Slots)
	if slots <= 0 {
		slots = defaultSlots
	}
	return float64(c.PrefillBacklog)/c.Engine.PrefillRate() + max(0, float64(estimatedLoad(c))-queueingLoad*slots)*slotDelay
}

// preferredServers returns the names of the servers at which a shared prefix is expected
// by rendezvous hashing: one, or one of each data centre. Without a prefix there are none.
func preferredServers(usable []Candidate, request Request) []string {
	if request.PrefixKey == 0 {
		return nil
	}
	if !request.HasLocalPrefixes {
		return []string{usable[rendezvousIndex(usable, request.PrefixKey)].Name}
	}
	var dataCentres, preferred []string
	var ranks []uint64
	for _, c := range usable {
		rank := rendezvousRank(c, request.PrefixKey)
		at := slices.Index(dataCentres, c.DataCentre)
		if at < 0 {
			dataCentres, preferred, ranks = append(dataCentres, c.DataCentre), append(preferred, c.Name), append(ranks, rank)
			continue
		}
		if rank > ranks[at] {
			preferred[at], ranks[at] = c.Name, rank
		}
	}
	return preferred
}

// permittedCandidates leaves out the servers of data centres to which the request should
// not leave, and the preferred servers among them. A retry and the rest of a stream may be
// served anywhere, and so may a request for which there is no other server.
func permittedCandidates(usable []Candidate, preferred []string, request Request) ([]Candidate, []string) {
	isAvoided := func(c Candidate) bool { return c.IsAvoided }
	if request.IsResumed || len(request.TriedServers) > 0 || !slices.ContainsFunc(usable, isAvoided) {
		return usable, preferred
	}
	isPermitted := func(c Candidate) bool {
		return !c.IsAvoided || (c.AllowsPrefix && slices.Contains(preferred, c.Name))
	}
	if !slices.ContainsFunc(usable, func(c Candidate) bool { return !c.IsAvoided }) {
		return usable, preferred
	}
	permitted := make([]Candidate, 0, len(usable))
	var names []string
	for _, c := range usable {
		if !isPermitted(c) {
			continue
		}
		permitted = append(permitted, c)
		if slices.Contains(preferred, c.Name) {
			names = append(names, c.Name)
		}
	}
	return permitted, names
}
