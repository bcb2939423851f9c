package spokebackend

// ReportedSlots returns the slots of the servers whose load reports this
// process reads.
func (r *Registry) ReportedSlots() map[ID]int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	slots := make(map[ID]int)
	for name, s := range r.servers {
		if s.load.Slots > 0 {
			slots[IDOf(name)] = s.load.Slots
		}
	}
	return slots
}

// maxPeerSlots bounds the servers whose slots peers report. They are reported again
// on new links, and other sources of the slots come first.
const maxPeerSlots = 1 << 16

// SetPeerSlots stores a server's slots as reported by a peer.
func (r *Registry) SetPeerSlots(id ID, slots int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.initialise()
	if len(r.peerSlots) > maxPeerSlots {
		clear(r.peerSlots)
	}
	r.peerSlots[id] = boundedReport(slots)
}

// slotsOf returns a server's slots from its own report, the platform's list or
// a peer, in this order.
func (r *Registry) slotsOf(s *server) int {
	if s.load.Slots > 0 {
		return s.load.Slots
	}
	if s.instance.Slots > 0 {
		return boundedReport(s.instance.Slots)
	}
	if slots := r.peerSlots[IDOf(s.instance.Name)]; slots > 0 {
		return slots
	}
	return defaultSlots
}

// UpdatePeerInFlight replaces a peer's requests in flight at the given servers.
// Servers that are not in the registry yet count from the moment they are
// added.
func (r *Registry) UpdatePeerInFlight(peer string, updates map[ID]InFlight) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.initialise()
	current := r.peerInFlight[peer]
	if current == nil {
		current = make(map[ID]InFlight)
		r.peerInFlight[peer] = current
	}
	for id, inFlight := range updates {
		r.adjustPeerTotal(id, current[id], inFlight)
		current[id] = inFlight
		if inFlight == (InFlight{}) {
			delete(current, id)
		}
	}
}

// adjustPeerTotal updates a server's sum over all peers after one peer's counts
// changed.
func (r *Registry) adjustPeerTotal(id ID, before, after InFlight) {
	total := r.peerTotals[id]
	total.Requests += after.Requests - before.Requests
	total.LongRequests += after.LongRequests - before.LongRequests
	total.PrefillUnits += after.PrefillUnits - before.PrefillUnits
	r.peerTotals[id] = total
	if total == (InFlight{}) {
		delete(r.peerTotals, id)
	}
}

// RemovePeer removes a peer's requests in flight.
func (r *Registry) RemovePeer(peer string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for id, inFlight := range r.peerInFlight[peer] {
		r.adjustPeerTotal(id, inFlight, InFlight{})
	}
	delete(r.peerInFlight, peer)
}

// LocalInFlight returns this process's requests in flight at each server.
func (r *Registry) LocalInFlight() map[ID]InFlight {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	local := make(map[ID]InFlight)
	for name, s := range r.servers {
		if s.inFlight > 0 {
			local[IDOf(name)] = InFlight{Requests: s.inFlight, LongRequests: s.longInFlight, PrefillUnits: (s.prefillBacklog + tokensPerPrefillUnit - 1) / tokensPerPrefillUnit}
		}
	}
	return local
}
