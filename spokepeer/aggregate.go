package spokepeer

import (
	"maps"

	"github.com/cespare/xxhash/v2"

	"mulberryspoke.example/mulberryspoke/spokebackend"
	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokemember"
)

const (
	// aggregateTimeout is the time without news after which another origin of a data
	// centre's sums is used.
	aggregateTimeout = 5 * spokeclock.Second
	// aggregateRetention is the time without news after which the sums of an origin
	// are forgotten.
	aggregateRetention = 60 * spokeclock.Second
)

// DataCentreCounts are the sums of the counters of a data centre's instances, as
// far as they have changed since they were last sent on a link.
type DataCentreCounts struct {
	// DataCentre is the data centre that is summed up.
	DataCentre string `json:"data_centre"`
	// Origin is the instance that has summed up, and Generation its run.
	Origin     string `json:"origin"`
	Generation int64  `json:"generation"`
	// Counts has the changed sums.
	Counts map[string]int64 `json:"counts,omitempty"`
	// InFlight has the requests of the data centre's instances in flight at each
	// group of backend servers.
	InFlight map[spokebackend.Group]int `json:"in_flight,omitempty"`
}

// aggregateKey identifies the origin of sums.
type aggregateKey struct {
	dataCentre string
	origin     string
	generation int64
}

func (c DataCentreCounts) key() aggregateKey {
	return aggregateKey{dataCentre: c.DataCentre, origin: c.Origin, generation: c.Generation}
}

// runID identifies the run of the origin among all origins of its data centre.
func (k aggregateKey) runID() int64 {
	return k.generation ^ int64(xxhash.Sum64String(k.origin)>>1)
}

// aggregate holds the sums of one origin.
type aggregate struct {
	counts    map[string]int64
	inFlight  map[spokebackend.Group]int
	updatedAt spokeclock.Millis
	// directAt is when the origin itself last sent them.
	directAt spokeclock.Millis
}

// aggregateStore holds the sums of other data centres. Its methods must be called
// with the node's mutex held.
type aggregateStore struct {
	byKey map[aggregateKey]*aggregate
	// selected is the origin in use of each data centre.
	selected map[string]aggregateKey
}

// merge stores changed sums. It returns the sums to pass on to the counters' owner:
// none if another origin is in use, and all if this origin has just been selected.
// Messages on different ways may overtake each other, so that the greater of two
// values is the later.
func (s *aggregateStore) merge(c DataCentreCounts, isDirect bool, now spokeclock.Millis) (map[string]int64, bool) {
	if s.byKey == nil {
		s.byKey = make(map[aggregateKey]*aggregate)
		s.selected = make(map[string]aggregateKey)
	}
	key := c.key()
	a, known := s.byKey[key]
	if !known {
		a = &aggregate{counts: make(map[string]int64)}
		s.byKey[key] = a
	}
	a.updatedAt = now
	a.inFlight = c.InFlight
	if isDirect {
		a.directAt = now
	}
	changed := make(map[string]int64)
	for name, count := range c.Counts {
		if previous, counted := a.counts[name]; !counted || count > previous {
			a.counts[name] = count
			changed[name] = count
		}
	}
	selected, hasSelected := s.selected[c.DataCentre]
	switch {
	case selected == key:
		return changed, true
	case hasSelected && s.byKey[selected] != nil && now-s.byKey[selected].updatedAt < aggregateTimeout:
		return nil, false
	}
	s.selected[c.DataCentre] = key
	s.forgetOld(now)
	return maps.Clone(a.counts), true
}

func (s *aggregateStore) forgetOld(now spokeclock.Millis) {
	maps.DeleteFunc(s.byKey, func(_ aggregateKey, a *aggregate) bool { return now-a.updatedAt > aggregateRetention })
}

// direct returns the sums in use whose origins send to this instance themselves.
func (s *aggregateStore) direct(now spokeclock.Millis) []DataCentreCounts {
	var sums []DataCentreCounts
	for _, key := range s.selected {
		if a := s.byKey[key]; a != nil && a.directAt > 0 && now-a.directAt < aggregateTimeout {
			sums = append(sums, DataCentreCounts{DataCentre: key.dataCentre, Origin: key.origin, Generation: key.generation, Counts: maps.Clone(a.counts), InFlight: a.inFlight})
		}
	}
	return sums
}

// mergeAggregates stores the sums of other data centres that a peer has sent.
func (n *Node) mergeAggregates(sender string, aggregates []DataCentreCounts) {
	if n.MergeDataCentreCountsFunc == nil || n.View.IsFullMesh() {
		return
	}
	now := n.View.Clock.Now()
	for _, c := range aggregates {
		if c.DataCentre == n.View.Self.DataCentre {
			continue
		}
		n.mutex.Lock()
		counts, isInUse := n.aggregates.merge(c, c.Origin == sender, now)
		n.mutex.Unlock()
		if isInUse {
			n.MergeDataCentreCountsFunc(c.DataCentre, c.key().runID(), counts)
			n.Registry.SetDataCentreInFlight(c.DataCentre, c.InFlight)
		}
	}
}

// aggregatesFor returns the sums to send to a peer: those of this data centre to
// another one, and to a peer in this data centre those that gateways of others have
// sent.
func (n *Node) aggregatesFor(target spokemember.Identity) []DataCentreCounts {
	if n.DataCentreCountsFunc == nil || n.View.IsFullMesh() {
		return nil
	}
	self := n.View.Self
	if target.DataCentre != self.DataCentre {
		return []DataCentreCounts{{
			DataCentre: self.DataCentre, Origin: self.Name, Generation: self.Generation, Counts: n.DataCentreCountsFunc(), InFlight: n.Registry.InFlightByGroup(),
		}}
	}
	n.mutex.Lock()
	sums := n.aggregates.direct(n.View.Clock.Now())
	n.mutex.Unlock()
	if n.LocalFilterFunc == nil || len(sums) == 0 {
		return sums
	}
	isNeeded := n.LocalFilterFunc()
	for _, sum := range sums {
		maps.DeleteFunc(sum.Counts, func(key string, _ int64) bool { return !isNeeded(key) })
	}
	return sums
}

// changedAggregates returns the sums to send on the link, as far as they have
// changed since the last heartbeat.
func (l *link) changedAggregates() []DataCentreCounts {
	sums := l.node.aggregatesFor(l.target)
	sent := make(map[aggregateKey]map[string]int64, len(sums))
	for i, sum := range sums {
		sent[sum.key()] = sum.Counts
		sums[i].Counts = changedEntries(l.sentAggregates[sum.key()], sum.Counts)
	}
	l.sentAggregates = sent
	return sums
}
