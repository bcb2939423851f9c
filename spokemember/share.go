package spokemember

import "mulberryspoke.example/mulberryspoke/spokeclock"

// shareRetention is how long an instance that is no longer heard, or is listed and not
// heard yet, has its part of a shared amount: it may be running, cut off from this one, or
// about to start.
const shareRetention = 15 * spokeclock.Second

// Sharers are the instances that share an amount, in an order that depends on the
// amount and is the same at all of them.
type Sharers struct {
	instances   []string
	dataCentres []string
}

// Instances returns the names of the instances that this one knows: with links to all
// peers those of all data centres, otherwise those of this one.
func (s Sharers) Instances() []string { return s.instances }

// DataCentres returns the names of all data centres without links to all peers, and
// otherwise none.
func (s Sharers) DataCentres() []string { return s.dataCentres }

// Sharers returns the instances that share an amount with a name. They include those that
// are listed and not contacted yet, and those that are no longer heard for a while.
func (v *View) Sharers(amount string) Sharers {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	now := v.Clock.Now()
	isFullMesh := v.isFullMesh()
	instances := []Identity{{Name: v.Self.Name}}
	for name, p := range v.peers {
		isKnown := isFullMesh || p.identity.DataCentre == v.Self.DataCentre
		if isKnown && p.sharesAt(now) {
			instances = append(instances, Identity{Name: name})
		}
	}
	sharers := Sharers{instances: rankedNames(amount, instances)}
	if isFullMesh {
		return sharers
	}
	dataCentres := []Identity{{Name: v.Self.DataCentre}}
	for name, dated := range v.summaries {
		if now-dated.madeAt <= shareRetention {
			dataCentres = append(dataCentres, Identity{Name: name})
		}
	}
	sharers.dataCentres = rankedNames(amount, dataCentres)
	return sharers
}

// SharerCounts returns the number of instances that share amounts, and how many of them
// have not been heard since this process has started. Both are zero as long as no other
// instance and no list of instances is known.
func (v *View) SharerCounts() (count, unheard int) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if !v.isListed && len(v.peers) == 0 {
		return 0, 0
	}
	now := v.Clock.Now()
	isFullMesh := v.isFullMesh()
	count = 1
	for _, p := range v.peers {
		_, isSummarised := v.summaries[p.identity.DataCentre]
		isSummarised = isSummarised && !isFullMesh && p.identity.DataCentre != v.Self.DataCentre
		if isSummarised || !p.sharesAt(now) {
			continue
		}
		count++
		if !p.helloReceived {
			unheard++
		}
	}
	if isFullMesh {
		return count, unheard
	}
	return count + v.remoteInstances(now), unheard
}

func (p *peer) sharesAt(now spokeclock.Millis) bool {
	switch {
	case p.draining:
		return false
	case !p.helloReceived:
		return p.listed && now-p.lastSeenAt <= shareRetention
	default:
		return p.live(now) || now-p.lastSeenAt <= shareRetention
	}
}

func rankedNames(salt string, identities []Identity) []string {
	names := make([]string, 0, len(identities))
	for _, identity := range rankByHash(salt, identities) {
		names = append(names, identity.Name)
	}
	return names
}
