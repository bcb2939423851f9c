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
	// contenders is how many instances contend for a duty of the whole
	// deployment: one and a successor.
	contenders = 2
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
	// MaxMeshPeers is the number of peers up to which all are linked to, whatever
	// their data centre. Zero means that other data centres are reached through
	// gateways only.
	MaxMeshPeers int
	// DetectionMethod is the way to suspect a peer. Empty means a timeout.
	DetectionMethod spokesuspect.Method

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

// UpdateInstances takes in the platform's list.
func (v *View) UpdateInstances(instances []spokecloud.Instance) {
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
		p.listed = instance.State == spokecloud.StateRunning
		p.identity.DataCentre = instance.DataCentre
		p.identity.Address = instance.Address
	}
	v.forget()
}

// AddSeedPeer adds a peer from the settings.
func (v *View) AddSeedPeer(identity Identity) {
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
		p = &peer{identity: Identity{Name: name}, detector: spokesuspect.Detector{Method: v.DetectionMethod}, seenAt: v.Clock.Now()}
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

// RecordHello takes in who a peer is. It reports false for an older run of a peer
// than the one known.
func (v *View) RecordHello(identity Identity) bool {
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

// RecordHeartbeat takes in a peer's state. Interval is the time to its next
// heartbeat, or zero when that has not changed.
func (v *View) RecordHeartbeat(name string, revision spokeconfig.Revision, draining bool, interval spokeclock.Millis) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	now := v.Clock.Now()
	p := v.peer(name)
	if interval > 0 {
		p.detector.Timeout = silentBeats * interval
	}
	p.detector.RecordHeartbeat(now)
	p.seenAt = now
	p.revision = revision
	p.draining = draining
}

// RemovePeer drops a peer that shuts down.
func (v *View) RemovePeer(name string) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	delete(v.peers, name)
}

// live reports whether a peer of this data centre is up.
func (p *peer) live(now spokeclock.Millis) bool {
	return p.heard && !p.detector.Suspected(now)
}

// LiveLocalInstances returns the live instances of this data centre, this one included,
// ordered by name.
func (v *View) LiveLocalInstances() []Identity {
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

// ActiveInstances returns the live instances of all data centres that are linked to,
// this one included, ordered by name.
func (v *View) ActiveInstances() []Identity {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	now := v.Clock.Now()
	identities := []Identity{v.Self}
	for _, p := range v.peers {
		if p.live(now) && !p.draining {
			identities = append(identities, p.identity)
		}
	}
	slices.SortFunc(identities, func(a, b Identity) int { return strings.Compare(a.Name, b.Name) })
	return identities
}

// ActiveInstanceCount returns the number of live instances that are linked to, this one
// included.
func (v *View) ActiveInstanceCount() int {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	now := v.Clock.Now()
	count := 1
	for _, p := range v.peers {
		if p.live(now) && !p.draining {
			count++
		}
	}
	return count
}

// DataCentreReachable reports whether a data centre can be reached: it is this instance's
// own, one of its instances is live, or none has ever been heard.
func (v *View) DataCentreReachable(dataCentre string) bool {
	if dataCentre == v.Self.DataCentre {
		return true
	}
	v.mutex.Lock()
	defer v.mutex.Unlock()
	now := v.Clock.Now()
	heard := false
	for _, p := range v.peers {
		if p.identity.DataCentre != dataCentre || !p.heard {
			continue
		}
		if p.live(now) {
			return true
		}
		heard = true
	}
	return !heard
}

// SuspectedPeers returns the peers that are suspected, by name.
func (v *View) SuspectedPeers() []string {
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
