package spokemember

import (
	"slices"

	"mulberryspoke.example/mulberryspoke/spokeclock"
)

// dutyCandidates returns the instances of this data centre among which duties
// are distributed: those that are live and not draining, and those that are
// listed but have not been contacted yet. Without the latter, an instance that
// has just started would take on all duties.
func (v *View) dutyCandidates() []Identity {
	now := v.Clock.Now()
	identities := []Identity{v.Self}
	for _, p := range v.peers {
		if p.identity.DataCentre != v.Self.DataCentre || p.draining {
			continue
		}
		notContacted := p.listed && !p.helloReceived && !p.linkFailedRecently(now)
		if notContacted || p.live(now) {
			identities = append(identities, p.identity)
		}
	}
	return identities
}

func (p *peer) linkFailedRecently(now spokeclock.Millis) bool {
	return p.linkFailed && now-p.linkFailedAt <= linkFailureExpiry
}

// LinkTargets returns the peers to keep links to: all of this data centre and,
// if this instance is a gateway to another data centre, a few of that one. Up
// to MaxMeshPeers it returns all peers.
func (v *View) LinkTargets() []Identity {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	local := v.dutyCandidates()
	remote := make(map[string][]Identity)
	var targets []Identity
	fullMesh := v.isFullMesh()
	for _, p := range v.peers {
		switch {
		case p.identity.Address == "" || (!p.listed && !p.helloReceived):
		case fullMesh || p.identity.DataCentre == v.Self.DataCentre:
			targets = append(targets, p.identity)
		default:
			remote[p.identity.DataCentre] = append(remote[p.identity.DataCentre], p.identity)
		}
	}
	for dataCentre, identities := range remote {
		if !v.isGateway(local, dataCentre) {
			continue
		}
		ranked := rankByHash(v.Self.DataCentre, v.preferReachable(identities))
		targets = append(targets, ranked[:min(gateways, len(ranked))]...)
	}
	return targets
}

// IsFullMesh reports whether this instance links to all peers. Otherwise it links
// to other data centres through gateways only.
func (v *View) IsFullMesh() bool {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.isFullMesh()
}

func (v *View) isFullMesh() bool { return len(v.peers) <= v.MaxMeshPeers }

// isGateway reports whether this instance is one of the gateways to a data
// centre.
func (v *View) isGateway(local []Identity, dataCentre string) bool {
	ranked := rankByHash(dataCentre, local)
	return slices.ContainsFunc(ranked[:min(gateways, len(ranked))], func(i Identity) bool { return i.Name == v.Self.Name })
}

// preferReachable removes peers that are no longer listed or whose link failed
// recently, unless that would remove all.
func (v *View) preferReachable(identities []Identity) []Identity {
	now := v.Clock.Now()
	var reachable []Identity
	for _, identity := range identities {
		p := v.peers[identity.Name]
		if p.listed && !p.linkFailedRecently(now) {
			reachable = append(reachable, identity)
		}
	}
	if len(reachable) > 0 {
		return reachable
	}
	return identities
}

// RecordLinkFailure records that no link to a peer could be opened.
func (v *View) RecordLinkFailure(name string) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if p, exists := v.peers[name]; exists {
		p.linkFailed = true
		p.linkFailedAt = v.Clock.Now()
	}
}

// IsContender reports whether this instance is one of the two active instances
// that contend for a duty of the whole deployment. Without links to all peers, two
// data centres have one contender each.
func (v *View) IsContender(duty string) bool {
	if !v.IsFullMesh() {
		return v.IsDataCentreContender(duty) && v.OwnsDuty(duty)
	}
	ranked := rankByHash(duty, v.ActiveInstances())
	return slices.ContainsFunc(ranked[:min(contenders, len(ranked))], func(i Identity) bool { return i.Name == v.Self.Name })
}

// IsDataCentreContender reports whether this data centre is one of the reachable
// ones that have a contender for a duty if there are no links to all peers.
func (v *View) IsDataCentreContender(duty string) bool {
	var dataCentres []Identity
	for _, summary := range v.DataCentres() {
		if summary.Reachable() {
			dataCentres = append(dataCentres, Identity{Name: summary.DataCentre})
		}
	}
	ranked := rankByHash(duty, dataCentres)
	return slices.ContainsFunc(ranked[:min(contenders, len(ranked))], func(i Identity) bool { return i.Name == v.Self.DataCentre })
}

// OwnsDuty reports whether, in its data centre, a duty falls to this instance,
// such as reading the load of a backend server.
func (v *View) OwnsDuty(duty string) bool {
	return v.DutyOwners(duty)[0] == v.Self.Name
}

// DutyOwners returns the names of the instances of this data centre to which a duty
// falls, the next one if all before it fail.
func (v *View) DutyOwners(duty string) []string {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return rankedNames(duty, v.dutyCandidates())
}
