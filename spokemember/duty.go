package spokemember

import (
	"slices"

	"mulberryspoke.example/mulberryspoke/spokeclock"
)

// standing returns the instances of this data centre among which duties are
// shared out: the live ones that do not shut down, and the listed ones that
// have not been tried yet. Without the latter, an instance that has just
// started would take all duties.
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

// LinkTargets returns the peers to keep links to: all of this data centre, and a
// few of each other one if this instance is among the few that do.
func (v *View) LinkTargets() []Identity {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	local := v.standing()
	others := make(map[string][]Identity)
	var targets []Identity
	meshed := len(v.peers) <= v.MaxMeshPeers
	for _, p := range v.peers {
		switch {
		case p.identity.Address == "" || (!p.listed && !p.heard):
		case meshed || p.identity.DataCentre == v.Self.DataCentre:
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

// RecordLinkFailure notes that a peer could not be linked to.
func (v *View) RecordLinkFailure(name string) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if p, known := v.peers[name]; known {
		p.failed = true
		p.failedAt = v.Clock.Now()
	}
}

// IsContender reports whether this instance is one of the two among everyone that
// contend for a duty of the whole deployment.
func (v *View) IsContender(duty string) bool {
	chosen := rendezvous(duty, v.ActiveInstances())
	return slices.ContainsFunc(chosen[:min(contenders, len(chosen))], func(i Identity) bool { return i.Name == v.Self.Name })
}

// OwnsDuty reports whether this instance is the one of its data centre that
// has the duty of that name, such as to watch a backend server.
func (v *View) OwnsDuty(duty string) bool {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return rendezvous(duty, v.standing())[0].Name == v.Self.Name
}
