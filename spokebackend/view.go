package spokebackend

import (
	"slices"
	"strings"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokecloud"
	"mulberryspoke.example/mulberryspoke/spokeforecast"
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
	gaps := r.gapsOf(service)
	engine := r.fitOf(service).Engine()
	remote := r.remoteInFlight(service, now)
	candidates := make([]spokeroute.Candidate, 0, len(r.servers))
	for name, s := range r.servers {
		if s.instance.Service != service {
			continue
		}
		candidate := r.candidate(s, gaps, now)
		candidate.Engine = engine
		candidate.PrefixCached = name == prefixServer
		candidate.InFlight += remote[s.instance.DataCentre]
		candidates = append(candidates, candidate)
	}
	slices.SortFunc(candidates, func(a, b spokeroute.Candidate) int { return strings.Compare(a.Name, b.Name) })
	return candidates
}

func (r *Registry) candidate(s *server, gaps medianGaps, now spokeclock.Millis) spokeroute.Candidate {
	peers := r.peerTotals[IDOf(s.instance.Name)]
	slowness := s.slowness(gaps.recent, now)
	usualDelay := s.model.DelayFactor(gaps.usual, now)
	momentaryDelay := s.momentaryDelay(slowness, usualDelay, now)
	wasReduced := s.trafficShare < 1
	s.updateTrafficShare(momentaryDelay, now)
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
		UsualDelay:     usualDelay,
		MomentaryDelay: momentaryDelay,
		PrefillBacklog: s.prefillBacklog + peers.PrefillUnits*tokensPerPrefillUnit,
	}
	if !candidate.Local {
		candidate.RemoteDelay = spokeroute.DefaultRemoteDelay
	}
	if wasReduced != (s.trafficShare < 1) && r.ShareChangedFunc != nil {
		r.ShareChangedFunc(candidate, now-max(s.gapUpdatedAt, s.loadMeasuredAt))
	}
	return candidate
}

// ModelCounts counts the servers whose usual speed is known, and those whose traffic share is
// reduced since they are slow at this moment.
func (r *Registry) ModelCounts() (known, slow int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, s := range r.servers {
		if s.model.HasGap() {
			known++
		}
		if s.trafficShare < 1 {
			slow++
		}
	}
	return known, slow
}

// LastResponseAt returns when a server of a data centre last sent part of a
// response, or zero.
func (r *Registry) LastResponseAt(dataCentre string) spokeclock.Millis {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.lastResponses[dataCentre]
}

// AcceptsRequests reports whether this run of a server is listed and not being removed.
func (r *Registry) AcceptsRequests(instance spokecloud.Instance) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	s, found := r.servers[instance.Name]
	return found && s.instance.Generation == instance.Generation && !r.isDraining(s)
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

// figureMaxAge is how long a figure of a service's servers is cached. Sorting or adding up
// those of a large service for each routing decision would take longer than the decision.
const figureMaxAge = 200 * spokeclock.Millis(1)

// cachedFigure is a figure of a service's servers and when it was computed.
type cachedFigure struct {
	value      float64
	computedAt spokeclock.Millis
}

// figure returns a figure of a service from the cache, or computes it if it is too old there.
func (r *Registry) figure(cache map[string]cachedFigure, service string, computeFunc func() float64) float64 {
	now := r.Clock.Now()
	if cached, found := cache[service]; found && now-cached.computedAt < figureMaxAge {
		return cached.value
	}
	value := computeFunc()
	cache[service] = cachedFigure{value: value, computedAt: now}
	return value
}

// medianGaps are the medians of a service's servers, in milliseconds, or zero: of the recent
// times between tokens and of the usual ones.
type medianGaps struct {
	recent, usual float64
}

// fitOf returns the fit of a service's engines.
func (r *Registry) fitOf(service string) *spokeforecast.Fit {
	if r.fits == nil {
		r.fits = make(map[string]*spokeforecast.Fit)
	}
	if r.fits[service] == nil {
		r.fits[service] = &spokeforecast.Fit{}
	}
	return r.fits[service]
}

// EngineTime returns the time for which a request keeps an engine of the mean speed of a
// service's servers busy. Servers that nothing is known of count as the median one.
func (r *Registry) EngineTime(service string, prefillTokens, answerTokens, slots int) spokeclock.Millis {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return spokeforecast.Time(prefillTokens, answerTokens, slots, r.meanSpeed(service))
}

// meanSpeed returns the mean speed of a service's servers that take new requests, as a multiple
// of the median one's, or 1 without any. It may be as old as figureMaxAge.
func (r *Registry) meanSpeed(service string) float64 {
	if r.meanSpeeds == nil {
		r.meanSpeeds = make(map[string]cachedFigure)
	}
	return r.figure(r.meanSpeeds, service, func() float64 {
		now, median := r.Clock.Now(), r.medianUsualGap(service)
		speed, servers := 0.0, 0
		for _, s := range r.servers {
			if s.instance.Service == service && !r.isDraining(s) {
				speed += 1 / s.model.DelayFactor(median, now)
				servers++
			}
		}
		if servers == 0 {
			return 1
		}
		return speed / float64(servers)
	})
}

func (r *Registry) gapsOf(service string) medianGaps {
	return medianGaps{recent: r.medianGap(service), usual: r.medianUsualGap(service)}
}

// medianGap returns the median time between tokens of a service's servers, in
// milliseconds. It may be as old as figureMaxAge.
func (r *Registry) medianGap(service string) float64 {
	if r.medianGaps == nil {
		r.medianGaps = make(map[string]cachedFigure)
	}
	return r.median(r.medianGaps, service, func(s *server) (float64, bool) { return s.averageGap, s.gapUpdatedAt > 0 })
}

// medianUsualGap returns the median of the usual times between tokens of a service's
// servers, in milliseconds. It may be as old as figureMaxAge.
func (r *Registry) medianUsualGap(service string) float64 {
	if r.usualGaps == nil {
		r.usualGaps = make(map[string]cachedFigure)
	}
	return r.median(r.usualGaps, service, func(s *server) (float64, bool) { return s.model.Gap(), s.model.HasGap() })
}

// median returns the median of a service's servers for which gapFunc returns true, from the
// cache unless it is too old there.
func (r *Registry) median(cache map[string]cachedFigure, service string, gapFunc func(*server) (float64, bool)) float64 {
	return r.figure(cache, service, func() float64 {
		var gaps []float64
		for _, s := range r.servers {
			if gap, known := gapFunc(s); known && s.instance.Service == service {
				gaps = append(gaps, gap)
			}
		}
		if len(gaps) == 0 {
			return 0
		}
		slices.Sort(gaps)
		return gaps[(len(gaps)-1)/2]
	})
}

// batchOf returns the number of requests that a server runs at once, as far as this process
// knows from its own and its peers' requests in flight.
func (r *Registry) batchOf(s *server) int {
	return min(r.slotsOf(s), s.inFlight+r.peerTotals[IDOf(s.instance.Name)].Requests)
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

// InFlightBeside returns the requests of this process and its peers in flight at a service's
// servers whose software has another version.
func (r *Registry) InFlightBeside(service, version string) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	remote := r.remoteInFlight(service, r.Clock.Now())
	inFlight := 0
	for name, s := range r.servers {
		if s.instance.Service == service && s.instance.SoftwareVersion != version {
			inFlight += s.inFlight + r.peerTotals[IDOf(name)].Requests + remote[s.instance.DataCentre]
		}
	}
	return inFlight
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
	medians := make(map[string]medianGaps)
	for _, s := range r.servers {
		median, found := medians[s.instance.Service]
		if !found {
			median = r.gapsOf(s.instance.Service)
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
