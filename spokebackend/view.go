package spokebackend

import (
	"slices"
	"strings"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokecloud"
	"mulberryspoke.example/mulberryspoke/spokeroute"
)

// Overcommit is the number of requests that a server gets for each slot. It is
// above 1 so that the server's batch stays full.
const Overcommit = 1.25

// Capacity is the capacity of a service's live servers.
type Capacity struct {
	slots        int
	longSlots    int
	peerInFlight InFlight
	liveServers  int
}

// Slots returns how many requests the live servers run at once, including the
// overcommitted ones.
func (c Capacity) Slots() int { return c.slots }

// LongSlots returns how many of the slots requests with long answers may use.
func (c Capacity) LongSlots() int { return c.longSlots }

// PeerInFlight returns the requests that peers have in flight at the live
// servers. Its PrefillUnits are zero.
func (c Capacity) PeerInFlight() InFlight { return c.peerInFlight }

// LiveServers returns the number of servers that can get new requests.
func (c Capacity) LiveServers() int { return c.liveServers }

// Candidates returns the state of a service's servers for routing, ordered by
// name. The prefix server is the one that probably has the request's prompt
// prefix cached.
func (r *Registry) Candidates(service, prefixServer string) []spokeroute.Candidate {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.Clock.Now()
	median := r.medianGap(service)
	remote := r.remoteInFlight(service, now)
	candidates := make([]spokeroute.Candidate, 0, len(r.servers))
	for name, s := range r.servers {
		if s.instance.Service != service {
			continue
		}
		candidate := r.candidate(s, median, now)
		candidate.PrefixCached = name == prefixServer
		candidate.InFlight += remote[s.instance.DataCentre]
		candidates = append(candidates, candidate)
	}
	slices.SortFunc(candidates, func(a, b spokeroute.Candidate) int { return strings.Compare(a.Name, b.Name) })
	return candidates
}

func (r *Registry) candidate(s *server, median float64, now spokeclock.Millis) spokeroute.Candidate {
	peers := r.peerTotals[IDOf(s.instance.Name)]
	slowness := s.slowness(median, now)
	s.updateTrafficShare(slowness, now)
	candidate := spokeroute.Candidate{
		Name: s.instance.Name, DataCentre: s.instance.DataCentre, SoftwareVersion: s.instance.SoftwareVersion,
		Local:          s.instance.DataCentre == r.DataCentre,
		Draining:       r.isClosed(s, now),
		Throttled:      r.isThrottled(s),
		Suspended:      now < s.suspendedUntil,
		Slots:          r.slotsOf(s),
		InFlight:       s.inFlight + peers.Requests,
		LongInFlight:   s.longInFlight + peers.LongRequests,
		ReportedLoad:   s.load.Running + s.load.Waiting,
		ReportAge:      now - s.loadMeasuredAt,
		Slowness:       slowness,
		TrafficShare:   s.trafficShare,
		PrefillBacklog: s.prefillBacklog + peers.PrefillUnits*tokensPerPrefillUnit,
	}
	if !candidate.Local {
		candidate.RemoteDelay = spokeroute.DefaultRemoteDelay
	}
	return candidate
}

// LastResponseAt returns when a server of a data centre last sent part of a
// response, or zero.
func (r *Registry) LastResponseAt(dataCentre string) spokeclock.Millis {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.lastResponses[dataCentre]
}

// AcceptsRequests reports whether a server is listed and not being removed.
func (r *Registry) AcceptsRequests(name string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	s, found := r.servers[name]
	return found && !r.isDraining(s)
}

// isClosed reports whether a server gets no new requests: it is draining or has
// asked for a pause.
func (r *Registry) isClosed(s *server, now spokeclock.Millis) bool {
	return r.isDraining(s) || now < s.pausedUntil
}

// isThrottled reports whether a server takes no more requests of this process for the
// moment, by a limit that it has named.
func (r *Registry) isThrottled(s *server) bool {
	return r.Throttle != nil && r.Throttle.IsExhausted(s.throttled())
}

// isDraining reports whether a server gets no new requests until it is gone.
func (r *Registry) isDraining(s *server) bool {
	return s.removalSource != "" || (r.ListIsAuthoritative && s.unlistedSince > 0)
}

// medianMaxAge is how long a median is cached. Sorting a large service's
// servers for each routing decision would take longer than the decision.
const medianMaxAge = 200 * spokeclock.Millis(1)

// cachedMedian is the median time between tokens, in milliseconds, and when it
// was computed.
type cachedMedian struct {
	gap        float64
	computedAt spokeclock.Millis
}

// medianGap returns the median time between tokens of a service's servers, in
// milliseconds. It may be as old as medianMaxAge.
func (r *Registry) medianGap(service string) float64 {
	now := r.Clock.Now()
	if cached, found := r.medianGaps[service]; found && now-cached.computedAt < medianMaxAge {
		return cached.gap
	}
	if r.medianGaps == nil {
		r.medianGaps = make(map[string]cachedMedian)
	}
	gap := r.computeMedianGap(service)
	r.medianGaps[service] = cachedMedian{gap: gap, computedAt: now}
	return gap
}

func (r *Registry) computeMedianGap(service string) float64 {
	var gaps []float64
	for _, s := range r.servers {
		if s.instance.Service == service && s.gapUpdatedAt > 0 {
			gaps = append(gaps, s.averageGap)
		}
	}
	if len(gaps) == 0 {
		return 0
	}
	slices.Sort(gaps)
	return gaps[(len(gaps)-1)/2]
}

// Capacity returns the capacity of a service's live servers: those that are
// neither draining, paused nor suspended.
func (r *Registry) Capacity(service string) Capacity {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.Clock.Now()
	var c Capacity
	for _, s := range r.servers {
		if s.instance.Service != service || r.isClosed(s, now) || now < s.suspendedUntil {
			continue
		}
		c.liveServers++
		c.slots += int(float64(r.slotsOf(s)) * Overcommit)
		c.longSlots += spokeroute.MaxLongAnswers(r.slotsOf(s))
		peers := r.peerTotals[IDOf(s.instance.Name)]
		c.peerInFlight.Requests += peers.Requests
		c.peerInFlight.LongRequests += peers.LongRequests
	}
	return c
}

// SoftwareVersions returns how many servers of a service that are not draining have each
// version of their software. Versions of draining servers only have none.
func (r *Registry) SoftwareVersions(service string) map[string]int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	versions := make(map[string]int)
	for _, s := range r.servers {
		if s.instance.Service != service {
			continue
		}
		open := 1
		if r.isDraining(s) {
			open = 0
		}
		versions[s.instance.SoftwareVersion] += open
	}
	return versions
}

// ServerStatus is the state of one server as shown to operators.
type ServerStatus struct {
	instance      spokecloud.Instance
	removalSource RemovalSource
	candidate     spokeroute.Candidate
}

// Instance returns the server's entry in the platform's list.
func (s ServerStatus) Instance() spokecloud.Instance { return s.instance }

// RemovalSource returns the source that reported the server's removal, or ""
// if it is not being removed.
func (s ServerStatus) RemovalSource() RemovalSource { return s.removalSource }

// Candidate returns the server's state for routing.
func (s ServerStatus) Candidate() spokeroute.Candidate { return s.candidate }

// Servers returns the status of all servers, ordered by name.
func (r *Registry) Servers() []ServerStatus {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.Clock.Now()
	statuses := make([]ServerStatus, 0, len(r.servers))
	medians := make(map[string]float64)
	for _, s := range r.servers {
		median, found := medians[s.instance.Service]
		if !found {
			median = r.medianGap(s.instance.Service)
			medians[s.instance.Service] = median
		}
		statuses = append(statuses, ServerStatus{instance: s.instance, removalSource: s.removalSource, candidate: r.candidate(s, median, now)})
	}
	slices.SortFunc(statuses, func(a, b ServerStatus) int { return strings.Compare(a.instance.Name, b.instance.Name) })
	return statuses
}

// Lookup returns a server's entry in the platform's list, and whether the
// server is in the registry.
func (r *Registry) Lookup(name string) (spokecloud.Instance, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	s, found := r.servers[name]
	if !found {
		return spokecloud.Instance{}, false
	}
	return s.instance, true
}
