package spokelimit

import (
	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeconfig"
	"mulberryspoke.example/mulberryspoke/spokerate"
)

const (
	// maxAssumedGrowth bounds how much the demand of silent peers is assumed to have grown.
	maxAssumedGrowth = 100
	// lateNumerator over lateDenominator is the number of intervals after which a heartbeat
	// is late, besides countDelay.
	lateNumerator   = 5
	lateDenominator = 4
	// gapDecay is the decay of the longest gap with each heartbeat of a peer. It is slow
	// enough for peers whose heartbeats come all at once.
	gapDecay = 0.995
)

// delayedRate is the demand of this instance as its peers know it: in steps of a heartbeat
// interval. Shares compare it with the peers' demands. The present demand would make the
// shares add up to more than one while demand grows.
type delayedRate struct {
	rate    spokerate.Rate
	pending float64
	stepAt  spokeclock.Millis
	// valueAt is the middle of the time that the last step stands for.
	valueAt spokeclock.Millis
}

func (d *delayedRate) add(amount float64) { d.pending += amount }

// advance ends a step if the interval has passed.
func (d *delayedRate) advance(interval, now spokeclock.Millis) {
	if now-d.stepAt < interval {
		return
	}
	d.rate.Add(d.pending, now)
	d.pending, d.stepAt, d.valueAt = 0, now, now+interval/2
}

func (d *delayedRate) perSecond() float64 { return d.rate.PerSecond(d.valueAt) }

// updateSums brings the sums and the share of an allotment up to date. They are reused for
// sumMaxAge, as there may be many peers.
func (l *AllotmentLimiter) updateSums(w *spokeconfig.Workspace, a *allotmentState, now spokeclock.Millis) {
	a.delayed.advance(l.meanInterval, now)
	if a.summedAt > 0 && now-a.summedAt < sumMaxAge {
		return
	}
	a.summedAt = now
	l.updateMembers()
	own := a.delayed.perSecond()
	s := sums{demand: own, heardCount: 1, unseen: own * float64(l.meanInterval/2+countDelay) / float64(spokeclock.Second)}
	for _, peer := range l.peers {
		if peer.isSilent(now) {
			s.silentShare += peer.baseShares[w.Name]
			s.silentDemand += peer.demandPerSecond(w.Name)
			continue
		}
		demand := peer.demandPerSecond(w.Name)
		s.heardCount++
		s.demand += demand
		s.unseen += demand * float64(now-peer.lastHeardAt+countDelay) / float64(spokeclock.Second)
	}
	a.sums = s
	l.updateShare(a, now)
}

// updateShare sets this instance's fraction of an allotment: of the part that doesn't
// belong to silent peers, equalFraction is divided equally among the instances that are
// heard, the rest in proportion to demand. Silent peers keep the shares that they had when
// none was silent, as they decide by these themselves.
func (l *AllotmentLimiter) updateShare(a *allotmentState, now spokeclock.Millis) {
	members := float64(max(1, l.memberCount, len(l.peers)+1))
	if !l.hearsOthers(now) && a.baseShare > 0 {
		a.share = a.baseShare
		return
	}
	a.share = l.fraction(a, a.delayed.perSecond(), members)
	if !l.hearsOthers(now) {
		// The others' demand is not known, and each of them may take as much.
		a.share = min(a.share, 1/members)
	}
}

// fraction returns the fraction of an allotment for an instance with a demand. The equal
// parts of members whose demand is not known are left out of the rest.
func (l *AllotmentLimiter) fraction(a *allotmentState, demand, members float64) float64 {
	heard := max(0, 1-a.sums.silentShare)
	equal := heard / members
	if a.sums.silentShare > 0 {
		equal = heard / float64(a.sums.heardCount)
	}
	if a.sums.demand <= 0 {
		return equal
	}
	return equalFraction*equal + (1-equalFraction)*(1-l.unknownFraction)*heard*min(1, demand/a.sums.demand)
}

// updateBaseShares notes the shares of all instances while no peer is late. It does so at
// most each shareUpdateInterval, which bounds the cost.
func (l *AllotmentLimiter) updateBaseShares(now spokeclock.Millis) {
	if now-l.sharesAt < shareUpdateInterval || l.hasLatePeer(now) {
		return
	}
	l.sharesAt = now
	members := float64(max(1, l.memberCount, len(l.peers)+1))
	for workspace, a := range l.allotments {
		a.baseShare = l.fraction(a, a.delayed.perSecond(), members)
		a.baseDemand = a.sums.demand
		for _, peer := range l.peers {
			peer.baseShares[workspace] = l.fraction(a, peer.demandPerSecond(workspace), members)
		}
	}
}

// hasLatePeer reports whether a peer's heartbeat is missing. Shares that are noted before
// the peer counts as silent would follow demand that the others don't know of.
func (l *AllotmentLimiter) hasLatePeer(now spokeclock.Millis) bool {
	if !l.hearsOthers(now) {
		return true
	}
	for _, peer := range l.peers {
		if peer.interval > 0 && now-peer.lastHeardAt > countDelay+lateNumerator*peer.interval/lateDenominator {
			return true
		}
	}
	return false
}

// updateMembers asks for the members.
func (l *AllotmentLimiter) updateMembers() {
	count, unheard := l.MemberCountsFunc()
	unknown := unheard
	for _, peer := range l.peers {
		if peer.interval == 0 {
			unknown++
		}
	}
	l.memberCount, l.unheardFraction, l.unknownFraction = count, 1, 1
	if count > 0 {
		l.unheardFraction = min(1, float64(unheard)/float64(count))
		l.unknownFraction = min(1, float64(unknown)/float64(count))
	}
}

// recordGap notes that a peer was heard. The end of a cut is no usual gap.
func (l *AllotmentLimiter) recordGap(now spokeclock.Millis) {
	gap := float64(min(now-l.lastHeardAt, l.meanInterval))
	l.maxGap = max(gap, gapDecay*l.maxGap)
	l.lastHeardAt = now
}

// recordInterval updates the mean time between a peer's heartbeats.
func (l *AllotmentLimiter) recordInterval(interval spokeclock.Millis) {
	switch {
	case interval == 0:
	case l.meanInterval == 0:
		l.meanInterval = interval
	default:
		peers := spokeclock.Millis(len(l.peers) + 1)
		l.meanInterval = (peers*l.meanInterval + interval) / (peers + 1)
	}
}

// demandPerSecond returns the peer's demand on a workspace's allotment in the middle of the
// time that its last heartbeat stands for. It doesn't fall while the peer is not heard.
func (p *peerState) demandPerSecond(workspace string) float64 {
	demand, known := p.demands[workspace]
	if !known {
		return 0
	}
	return demand.PerSecond(p.lastHeardAt + p.interval/2)
}

// isSilent reports whether the peer has missed its last heartbeats.
func (p *peerState) isSilent(now spokeclock.Millis) bool {
	if p.interval == 0 {
		return now-p.lastHeardAt > newPeerTimeout
	}
	return now-p.lastHeardAt > countDelay+maxMissedHeartbeats*p.interval
}

// deductSilentPeers deducts what silent peers are assumed to have spent since they were
// last heard, until they are heard again or removed: their demand, grown as that of the
// instances that are heard, and at most their shares, which they can't exceed for long.
func (l *AllotmentLimiter) deductSilentPeers(w *spokeconfig.Workspace, a *allotmentState, seconds float64, now spokeclock.Millis) {
	growth := a.demandGrowth()
	a.sums.silentSpending = 0
	for name, peer := range l.peers {
		if !peer.isSilent(now) {
			continue
		}
		if now-peer.lastHeardAt > silentPeerTimeout {
			delete(l.peers, name)
			continue
		}
		perSecond := min(w.Allotment.Rate*peer.baseShares[w.Name], growth*peer.demandPerSecond(w.Name))
		spent := perSecond * seconds
		if _, isAssumed := peer.assumedSpent[w.Name]; !isAssumed {
			spent = perSecond * float64(now-peer.lastHeardAt) / float64(spokeclock.Second)
		}
		a.sums.silentSpending += perSecond
		peer.assumedSpent[w.Name] += spent
		a.globalLevel -= spent
	}
}

// demandGrowth returns by how much the demand of the instances that are heard has grown
// since no peer was silent.
func (a *allotmentState) demandGrowth() float64 {
	before := a.baseDemand - a.sums.silentDemand
	if before <= 0 {
		return maxAssumedGrowth
	}
	return min(maxAssumedGrowth, a.sums.demand/before)
}
