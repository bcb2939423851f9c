package spokebackend

// ReportedSlots returns the slots of the servers whose reports this process reads.
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

// SetPeerSlots takes in a server's slots as a peer has read them.
func (r *Registry) SetPeerSlots(id ID, slots int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.fill()
	r.slots[id] = slots
}

// slotsOf returns a server's slots, by its own report or a peer's word.
func (r *Registry) slotsOf(s *server) int {
	if s.load.Slots > 0 {
		return s.load.Slots
	}
	if s.instance.Slots > 0 {
		return s.instance.Slots
	}
	if slots := r.slots[IDOf(s.instance.Name)]; slots > 0 {
		return slots
	}
	return defaultSlots
}

// UpdatePeerInFlight replaces what a peer has under way at the given servers. Servers
// that are not known here yet count as soon as they are.
func (r *Registry) UpdatePeerInFlight(peer string, uses map[ID]InFlight) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.fill()
	held := r.byPeer[peer]
	if held == nil {
		held = make(map[ID]InFlight)
		r.byPeer[peer] = held
	}
	for id, use := range uses {
		r.shift(id, held[id], use)
		held[id] = use
		if use == (InFlight{}) {
			delete(held, id)
		}
	}
}

// shift keeps the sum over all peers.
func (r *Registry) shift(id ID, before, after InFlight) {
	sum := r.byID[id]
	sum.Requests += after.Requests - before.Requests
	sum.LongRequests += after.LongRequests - before.LongRequests
	sum.PrefillUnits += after.PrefillUnits - before.PrefillUnits
	r.byID[id] = sum
	if sum == (InFlight{}) {
		delete(r.byID, id)
	}
}

// RemovePeer drops what a peer had under way.
func (r *Registry) RemovePeer(peer string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for id, use := range r.byPeer[peer] {
		r.shift(id, use, InFlight{})
	}
	delete(r.byPeer, peer)
}

// LocalInFlight returns what this process has under way at each server.
func (r *Registry) LocalInFlight() map[ID]InFlight {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	uses := make(map[ID]InFlight)
	for name, s := range r.servers {
		if s.own > 0 {
			uses[IDOf(name)] = InFlight{Requests: s.own, LongRequests: s.ownLong, PrefillUnits: (s.unread + unreadUnit - 1) / unreadUnit}
		}
	}
	return uses
}
