package spokemember

import (
	"slices"
	"strings"
	"sync"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokecloud"
	"mulberryspoke.example/mulberryspoke/spokeconfig"
	"mulberryspoke.example/mulberryspoke/spokesuspect"
)

const (
	// gateways is how many instances of a data centre keep links to another
	// data centre, and how many of that one each keeps links to.
	gateways = 2
	// placeTimeout is the age from which a data centre counts as unreachable.
	placeTimeout = 5 * spokeclock.Second
	// forgetAfter is how long an unlisted, silent peer is remembered.
	forgetAfter = 60 * spokeclock.Second
	// avoidAfterFailure is how long a peer that could not be linked to is
	// passed over when others of its data centre can be.
	avoidAfterFailure = 5 * spokeclock.Second
	// silentBeats is how many heartbeats a peer may miss before a timeout
	// suspects it.
	silentBeats = 5
)

// View is this instance's knowledge of the others. Set its fields before the
// first call. It is safe for concurrent use.
type View struct {
	// Self is this instance.
	Self Identity
	// Clock tells the time. Nil means the real one.
	Clock *spokeclock.Clock
	// Method is the way to suspect a peer. Empty means a timeout.
	Method spokesuspect.Method

	mutex  sync.Mutex
	peers  map[string]*peer
	places map[string]heardPlace
}

// peer is what is known of one other instance.
type peer struct {
	identity Identity
	detector spokesuspect.Detector
	revision spokeconfig.Revision
	draining bool
	heard    bool
	listed   bool
	seenAt   spokeclock.Millis
	failed   bool
	failedAt spokeclock.Millis
}

// heardPlace is a data centre's summary and when it was so by this instance's
// clock.
type heardPlace struct {
	place Place
	at    spokeclock.Millis
}

// Learn takes in the platform's list.
func (v *View) Learn(instances []spokecloud.Instance) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	for _, p := range v.peers {
		p.listed = false
	}
	for _, instance := range instances {
		if instance.Role != spokecloud.RoleEntry || instance.Name == v.Self.Name {
			continue
		}
		p := v.peer(instance.Name)
		p.listed = instance.State == spokecloud.StateLive
		p.identity.DataCentre = instance.DataCentre
		p.identity.Address = instance.Address
	}
	v.forget()
}

// Seed adds a peer from the settings.
func (v *View) Seed(identity Identity) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if identity.Name == v.Self.Name {
		return
	}
	p := v.peer(identity.Name)
	p.listed = true
	p.identity = identity
}

func (v *View) peer(name string) *peer {
	if v.peers == nil {
		v.peers = make(map[string]*peer)
		v.places = make(map[string]heardPlace)
	}
	p, known := v.peers[name]
	if !known {
		p = &peer{identity: Identity{Name: name}, detector: spokesuspect.Detector{Method: v.Method}, seenAt: v.Clock.Now()}
		v.peers[name] = p
	}
	return p
}

func (v *View) forget() {
	now := v.Clock.Now()
	for name, p := range v.peers {
		if !p.listed && p.detector.Suspected(now) && now-p.seenAt > forgetAfter {
			delete(v.peers, name)
		}
	}
}

// Hello takes in who a peer is. It reports false for an older run of a peer
// than the one known.
func (v *View) Hello(identity Identity) bool {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	p := v.peer(identity.Name)
	if identity.Generation < p.identity.Generation {
		return false
	}
	address := p.identity.Address
	p.identity = identity
	if address != "" {
		p.identity.Address = address
	}
	p.heard = true
	p.seenAt = v.Clock.Now()
	return true
}

// Heartbeat takes in a peer's state. Interval is the time to its next
// heartbeat, or zero when that has not changed.
func (v *View) Heartbeat(name string, revision spokeconfig.Revision, draining bool, interval spokeclock.Millis) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	now := v.Clock.Now()
	p := v.peer(name)
	if interval > 0 {
		p.detector.Timeout = silentBeats * interval
	}
	p.detector.Heartbeat(now)
	p.seenAt = now
	p.revision = revision
	p.draining = draining
}

// Goodbye drops a peer that shuts down.
func (v *View) Goodbye(name string) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	delete(v.peers, name)
}

// TakePlaces takes in summaries of other data centres, the freshest first.
func (v *View) TakePlaces(places []Place) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if v.places == nil {
		v.places = make(map[string]heardPlace)
	}
	now := v.Clock.Now()
	for _, place := range places {
		at := now - place.Age
		if place.DataCentre == v.Self.DataCentre || at <= v.places[place.DataCentre].at {
			continue
		}
		v.places[place.DataCentre] = heardPlace{place: place, at: at}
	}
}

// live reports whether a peer of this data centre is up.
func (p *peer) live(now spokeclock.Millis) bool {
	return p.heard && !p.detector.Suspected(now)
}

// Live returns the live instances of this data centre, this one included,
// ordered by name.
func (v *View) Live() []Identity {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.local()
}

func (v *View) local() []Identity {
	now := v.Clock.Now()
	identities := []Identity{v.Self}
	for _, p := range v.peers {
		if p.identity.DataCentre == v.Self.DataCentre && p.live(now) {
			identities = append(identities, p.identity)
		}
	}
	slices.SortFunc(identities, func(a, b Identity) int { return strings.Compare(a.Name, b.Name) })
	return identities
}

// standing returns the instances of this data centre among which duties are
// shared out: the live ones that do not shut down, and the listed ones that
// have not been tried yet. Without the latter, an instance that has just started would take all duties.
func (v *View) standing() []Identity {
	now := v.Clock.Now()
	identities := []Identity{v.Self}
	for _, p := range v.peers {
		if p.identity.DataCentre != v.Self.DataCentre || p.draining {
			continue
		}
		untried := p.listed && !p.heard && !p.failedLately(now)
		if untried || p.live(now) {
			identities = append(identities, p.identity)
		}
	}
	return identities
}

func (p *peer) failedLately(now spokeclock.Millis) bool {
	return p.failed && now-p.failedAt <= avoidAfterFailure
}

// Silent returns the peers that are suspected, by name.
func (v *View) Silent() []string {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	now := v.Clock.Now()
	var names []string
	for name, p := range v.peers {
		if p.heard && p.detector.Suspected(now) {
			names = append(names, name)
		}
	}
	return names
}

// Sharers returns how many entry instances share the traffic: the live ones
// here and those of the data centres heard of lately.
func (v *View) Sharers() int {
	count := 0
	for _, place := range v.Places() {
		if place.Age <= placeTimeout {
			count += place.Instances
		}
	}
	return max(1, count)
}

// Places returns this data centre and every other one heard of, ordered by
// name.
func (v *View) Places() []Place {
	return v.placesAt(0)
}

// PlacesAt returns the same, with revision as this instance's own.
func (v *View) PlacesAt(revision spokeconfig.Revision) []Place {
	return v.placesAt(revision)
}

func (v *View) placesAt(revision spokeconfig.Revision) []Place {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	now := v.Clock.Now()
	places := []Place{v.here(revision, now)}
	for _, heard := range v.places {
		place := heard.place
		place.Age = now - heard.at
		places = append(places, place)
	}
	slices.SortFunc(places, func(a, b Place) int { return strings.Compare(a.DataCentre, b.DataCentre) })
	return places
}

// here summarises this data centre.
func (v *View) here(revision spokeconfig.Revision, now spokeclock.Millis) Place {
	place := Place{DataCentre: v.Self.DataCentre, Revision: revision, Instances: 1}
	for _, p := range v.peers {
		if p.identity.DataCentre != v.Self.DataCentre || !p.live(now) {
			continue
		}
		place.Instances++
		place.Revision = min(place.Revision, p.revision)
	}
	return place
}

// Reachable reports whether a summary is recent enough to count on.
func (p Place) Reachable() bool {
	return p.Age <= placeTimeout
}

// Lookup returns a peer by name.
func (v *View) Lookup(name string) (Identity, bool) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	p, known := v.peers[name]
	if !known {
		return Identity{}, false
	}
	return p.identity, true
}

// Targets returns the peers to keep links to: all of this data centre, and a
// few of each other one if this instance is among the few that do.
func (v *View) Targets() []Identity {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	local := v.standing()
	others := make(map[string][]Identity)
	var targets []Identity
	for _, p := range v.peers {
		switch {
		case p.identity.Address == "" || (!p.listed && !p.heard):
		case p.identity.DataCentre == v.Self.DataCentre:
			targets = append(targets, p.identity)
		default:
			others[p.identity.DataCentre] = append(others[p.identity.DataCentre], p.identity)
		}
	}
	for place, identities := range others {
		if !v.isGateway(local, place) {
			continue
		}
		chosen := rendezvous(v.Self.DataCentre, v.preferSound(identities))
		targets = append(targets, chosen[:min(gateways, len(chosen))]...)
	}
	return targets
}

func (v *View) isGateway(local []Identity, place string) bool {
	chosen := rendezvous(place, local)
	return slices.ContainsFunc(chosen[:min(gateways, len(chosen))], func(i Identity) bool { return i.Name == v.Self.Name })
}

// preferSound leaves out peers that are no longer listed or could not be
// linked to lately, while there are others.
func (v *View) preferSound(identities []Identity) []Identity {
	now := v.Clock.Now()
	var sound []Identity
	for _, identity := range identities {
		p := v.peers[identity.Name]
		if p.listed && !p.failedLately(now) {
			sound = append(sound, identity)
		}
	}
	if len(sound) > 0 {
		return sound
	}
	return identities
}

// Failed notes that a peer could not be linked to.
func (v *View) Failed(name string) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if p, known := v.peers[name]; known {
		p.failed = true
		p.failedAt = v.Clock.Now()
	}
}

// Watches reports whether this instance is the one of its data centre that
// watches a backend server.
func (v *View) Watches(server string) bool {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return rendezvous(server, v.standing())[0].Name == v.Self.Name
}
