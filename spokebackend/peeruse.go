package spokebackend

// OwnSlots returns the slots of the servers whose reports this process reads.
func (r *Registry) OwnSlots() map[ID]int {
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

// TakeSlots takes in a server's slots as a peer has read them.
func (r *Registry) TakeSlots(id ID, slots int) {
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

// TakePeerUse replaces what a peer has under way at the given servers. Servers
// that are not known here yet count as soon as they are.
func (r *Registry) TakePeerUse(peer string, uses map[ID]Use) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.fill()
	held := r.byPeer[peer]
	if held == nil {
		held = make(map[ID]Use)
		r.byPeer[peer] = held
	}
	for id, use := range uses {
		r.shift(id, held[id], use)
		held[id] = use
		if use == (Use{}) {
			delete(held, id)
		}
	}
}

// shift keeps the sum over all peers.
func (r *Registry) shift(id ID, before, after Use) {
	sum := r.byID[id]
	sum.All += after.All - before.All
	sum.Long += after.Long - before.Long
	sum.Unread += after.Unread - before.Unread
	r.byID[id] = sum
	if sum == (Use{}) {
		delete(r.byID, id)
	}
}

// ForgetPeer drops what a peer had under way.
func (r *Registry) ForgetPeer(peer string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for id, use := range r.byPeer[peer] {
		r.shift(id, use, Use{})
	}
	delete(r.byPeer, peer)
}

// OwnUse returns what this process has under way at each server.
func (r *Registry) OwnUse() map[ID]Use {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	uses := make(map[ID]Use)
	for name, s := range r.servers {
		if s.own > 0 {
			uses[IDOf(name)] = Use{All: s.own, Long: s.ownLong, Unread: (s.unread + unreadUnit - 1) / unreadUnit}
		}
	}
	return uses
}
