package spokemember

import (
	"cmp"
	"slices"
	"strings"
	"sync"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokecloud"
	"mulberryspoke.example/mulberryspoke/spokeconfig"
	"mulberryspoke.example/mulberryspoke/spokesuspect"
)

const (
	// gateways is the number of instances of a data centre that keep links to
	// another data centre, and the number of instances there that each links to.
	gateways = 2
	// contenders is the number of instances that contend for a duty of the whole
	// deployment: its holder and a successor.
	contenders = 2
	// summaryTimeout is the age of its summary after which a data centre counts as
	// unreachable.
	summaryTimeout = 5 * spokeclock.Second
	// peerRetention is how long an unlisted, suspected peer is kept.
	peerRetention = 60 * spokeclock.Second
	// linkFailureExpiry is how long after a link failure a peer is passed over: as
	// a link target, if its data centre has others, and as a duty candidate that
	// has not been contacted.
	linkFailureExpiry = 5 * spokeclock.Second
)

// MaxMissedHeartbeats is the number of heartbeats that a peer may miss before the timeout
// suspects it.
const MaxMissedHeartbeats = 5

// View is this instance's view of the other entry instances. Set its fields
// before the first call. It is safe for concurrent use.
type View struct {
	// Self is this instance.
	Self Identity
	// Clock is the time source. Nil means the system clock.
	Clock *spokeclock.Clock
	// MaxMeshPeers is the number of peers up to which this instance links to all
	// peers of all data centres. Zero means that other data centres are linked to
	// through gateways only.
	MaxMeshPeers int
	// DetectionMethod is the rule by which a peer is suspected. Empty means a
	// timeout.
	DetectionMethod spokesuspect.Method

	mutex     sync.Mutex
	peers     map[string]*peer
	summaries map[string]datedSummary
	// isListed is whether a list of instances has been received.
	isListed bool
}

// peer is the last known state of another entry instance.
type peer struct {
	identity Identity
	// link is the number of the last connection that the peer's run has opened.
	link          int64
	detector      spokesuspect.Detector
	revision      spokeconfig.Revision
	draining      bool
	helloReceived bool
	listed        bool
	lastSeenAt    spokeclock.Millis
	linkFailed    bool
	linkFailedAt  spokeclock.Millis
}

// UpdateInstances updates the peers from the platform's list of instances.
func (v *View) UpdateInstances(instances []spokecloud.Instance) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.isListed = true
	for _, p := range v.peers {
		p.listed = false
	}
	for _, instance := range instances {
		if instance.Role != spokecloud.RoleEntry || instance.Name == v.Self.Name {
			continue
		}
		p := v.ensurePeer(instance.Name)
		p.listed = instance.State == spokecloud.StateRunning
		p.identity.DataCentre = instance.DataCentre
		p.identity.Address = instance.Address
	}
	v.removeExpiredPeers()
}

// AddSeedPeer adds a peer that the settings name.
func (v *View) AddSeedPeer(identity Identity) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if identity.Name == v.Self.Name {
		return
	}
	p := v.ensurePeer(identity.Name)
	p.listed = true
	p.identity = identity
}

// ensurePeer returns a peer by name, and adds it if it is not known yet.
func (v *View) ensurePeer(name string) *peer {
	if v.peers == nil {
		v.peers = make(map[string]*peer)
	}
	p, exists := v.peers[name]
	if !exists {
		p = &peer{identity: Identity{Name: name}, detector: spokesuspect.Detector{Method: v.DetectionMethod}, lastSeenAt: v.Clock.Now()}
		v.peers[name] = p
	}
	return p
}

func (v *View) removeExpiredPeers() {
	now := v.Clock.Now()
	for name, p := range v.peers {
		if !p.listed && p.detector.Suspected(now) && now-p.lastSeenAt > peerRetention {
			delete(v.peers, name)
		}
	}
}

// RecordHello records a peer's identity, but keeps an address that is already
// known. Link is the number of the connection in the peer's run. RecordHello records nothing
// and reports false for an older run than the known one, or an earlier connection of the run.
func (v *View) RecordHello(identity Identity, link int64) bool {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	p := v.ensurePeer(identity.Name)
	if cmp.Or(cmp.Compare(identity.Generation, p.identity.Generation), cmp.Compare(link, p.link)) < 0 {
		return false
	}
	p.link = link
	address := p.identity.Address
	p.identity = identity
	if address != "" {
		p.identity.Address = address
	}
	p.helloReceived = true
	p.lastSeenAt = v.Clock.Now()
	return true
}

// IsCurrentLink reports whether a peer has sent a hello for a connection, given by its run and
// its number there, and none for a later one.
func (v *View) IsCurrentLink(name string, generation, link int64) bool {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	p, exists := v.peers[name]
	return exists && p.helloReceived && p.identity.Generation == generation && p.link == link
}

// RecordHeartbeat records a peer's state. Interval is the time to its next
// heartbeat; zero means unchanged.
func (v *View) RecordHeartbeat(name string, revision spokeconfig.Revision, draining bool, interval spokeclock.Millis) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	now := v.Clock.Now()
	p := v.ensurePeer(name)
	if interval > 0 {
		p.detector.Timeout = MaxMissedHeartbeats * interval
	}
	p.detector.RecordHeartbeat(now)
	p.lastSeenAt = now
	p.revision = revision
	p.draining = draining
}

// RemovePeer removes a peer that has shut down.
func (v *View) RemovePeer(name string) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	delete(v.peers, name)
}

// live reports whether a peer has sent a hello and is not suspected.
func (p *peer) live(now spokeclock.Millis) bool {
	return p.helloReceived && !p.detector.Suspected(now)
}

// LiveLocalInstances returns the live instances of this data centre, including
// this one and draining ones, ordered by name.
func (v *View) LiveLocalInstances() []Identity {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.liveLocalInstances()
}

func (v *View) liveLocalInstances() []Identity {
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

// ActiveInstances returns the live instances that are linked to and not
// draining, of all data centres and including this one, ordered by name.
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

// ActiveInstanceCount returns the number of active instances: this one, those that
// are linked to and not draining and, without links to all, those that the recent
// summaries of other data centres have.
func (v *View) ActiveInstanceCount() int {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	now := v.Clock.Now()
	count, fullMesh := 1, v.isFullMesh()
	for _, p := range v.peers {
		isCounted := fullMesh || p.identity.DataCentre == v.Self.DataCentre
		if isCounted && p.live(now) && !p.draining {
			count++
		}
	}
	if fullMesh {
		return count
	}
	return count + v.remoteInstances(now)
}

// DataCentreReachable reports whether a data centre counts as reachable: it is
// this instance's own, one of its instances is live, or none of them has ever
// sent a hello.
func (v *View) DataCentreReachable(dataCentre string) bool {
	if dataCentre == v.Self.DataCentre {
		return true
	}
	v.mutex.Lock()
	defer v.mutex.Unlock()
	now := v.Clock.Now()
	helloReceived := false
	for _, p := range v.peers {
		if p.identity.DataCentre != dataCentre || !p.helloReceived {
			continue
		}
		if p.live(now) {
			return true
		}
		helloReceived = true
	}
	return !helloReceived
}

// SuspectedPeers returns the names of the peers that are suspected to have
// failed.
func (v *View) SuspectedPeers() []string {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	now := v.Clock.Now()
	var names []string
	for name, p := range v.peers {
		if p.helloReceived && p.detector.Suspected(now) {
			names = append(names, name)
		}
	}
	return names
}

// Lookup returns the identity of a peer by name, and whether it is known.
func (v *View) Lookup(name string) (Identity, bool) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	p, exists := v.peers[name]
	if !exists {
		return Identity{}, false
	}
	return p.identity, true
}
