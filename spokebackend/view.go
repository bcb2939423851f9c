package spokebackend

import (
	"slices"
	"strings"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokecloud"
	"mulberryspoke.example/mulberryspoke/spokeroute"
)

// Overcommit is how many requests a server is given for each slot, so that its
// batch stays full.
const Overcommit = 1.25

// Capacity is what a service's servers can take.
type Capacity struct {
	slots     int
	longSlots int
	peers     InFlight
	live      int
}

// Slots returns the requests that live servers run at once, overcommitted.
func (c Capacity) Slots() int { return c.slots }

// LongSlots returns those of them that long answers may take.
func (c Capacity) LongSlots() int { return c.longSlots }

// PeerInFlight returns what peers have under way.
func (c Capacity) PeerInFlight() InFlight { return c.peers }

// LiveServers returns the number of servers that may get new work.
func (c Capacity) LiveServers() int { return c.live }

// Candidates returns what is known of a service's servers. Cached names the
// server that probably holds the request's prefix.
func (r *Registry) Candidates(service, cached string) []spokeroute.Candidate {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.Clock.Now()
	median := r.medianGap(service)
	candidates := make([]spokeroute.Candidate, 0, len(r.servers))
	for name, s := range r.servers {
		if s.instance.Service != service {
			continue
		}
		candidate := r.candidate(s, median, now)
		candidate.PrefixCached = name == cached
		candidates = append(candidates, candidate)
	}
	slices.SortFunc(candidates, func(a, b spokeroute.Candidate) int { return strings.Compare(a.Name, b.Name) })
	return candidates
}

func (r *Registry) candidate(s *server, median float64, now spokeclock.Millis) spokeroute.Candidate {
	peers := r.byID[IDOf(s.instance.Name)]
	slowness := s.slowness(median, now)
	s.retrust(slowness, now)
	return spokeroute.Candidate{
		Name: s.instance.Name, DataCentre: s.instance.DataCentre,
		Local:          s.instance.DataCentre == r.DataCentre,
		Draining:       r.takesNoWork(s),
		Suspended:      now < s.idleTill,
		Slots:          r.slotsOf(s),
		InFlight:       s.own + peers.Requests,
		LongInFlight:   s.ownLong + peers.LongRequests,
		ReportedLoad:   s.load.Running + s.load.Waiting,
		ReportAge:      now - s.loadAt,
		Slowness:       slowness,
		TrafficShare:   s.trust,
		PrefillBacklog: s.unread + peers.PrefillUnits*unreadUnit,
	}
}

// LastResponseAt returns when a server of a data centre last answered well, or zero.
func (r *Registry) LastResponseAt(dataCentre string) spokeclock.Millis {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.answered[dataCentre]
}

// takesNoWork reports whether a server gets no new requests.
func (r *Registry) takesNoWork(s *server) bool {
	return s.leaving != "" || (r.ListIsAuthoritative && s.unlisted > 0)
}

// medianAge is how old a median may be. Sorting a large service's servers for
// each choice would take longer than the choice.
const medianAge = 200 * spokeclock.Millis(1)

// median is the median time between tokens at some moment.
type median struct {
	gap float64
	at  spokeclock.Millis
}

// medianGap returns the median time between tokens of a service's servers.
func (r *Registry) medianGap(service string) float64 {
	now := r.Clock.Now()
	if held, known := r.medians[service]; known && now-held.at < medianAge {
		return held.gap
	}
	if r.medians == nil {
		r.medians = make(map[string]median)
	}
	gap := r.sortGaps(service)
	r.medians[service] = median{gap: gap, at: now}
	return gap
}

func (r *Registry) sortGaps(service string) float64 {
	var gaps []float64
	for _, s := range r.servers {
		if s.instance.Service == service && s.gapAt > 0 {
			gaps = append(gaps, s.gap)
		}
	}
	if len(gaps) == 0 {
		return 0
	}
	slices.Sort(gaps)
	return gaps[(len(gaps)-1)/2]
}

// Capacity returns what a service's live servers can take.
func (r *Registry) Capacity(service string) Capacity {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.Clock.Now()
	var c Capacity
	for _, s := range r.servers {
		if s.instance.Service != service || r.takesNoWork(s) || now < s.idleTill {
			continue
		}
		c.live++
		c.slots += int(float64(r.slotsOf(s)) * Overcommit)
		c.longSlots += spokeroute.MaxLongAnswers(r.slotsOf(s))
		peers := r.byID[IDOf(s.instance.Name)]
		c.peers.Requests += peers.Requests
		c.peers.LongRequests += peers.LongRequests
	}
	return c
}

// ServerStatus is one server as an operator sees it.
type ServerStatus struct {
	instance  spokecloud.Instance
	leaving   RemovalSource
	candidate spokeroute.Candidate
}

// Instance returns the server's line of the list.
func (l ServerStatus) Instance() spokecloud.Instance { return l.instance }

// RemovalSource returns who said that the server is leaving, or "".
func (l ServerStatus) RemovalSource() RemovalSource { return l.leaving }

// Candidate returns what choices see of the server.
func (l ServerStatus) Candidate() spokeroute.Candidate { return l.candidate }

// Servers returns all servers, ordered by name.
func (r *Registry) Servers() []ServerStatus {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.Clock.Now()
	lines := make([]ServerStatus, 0, len(r.servers))
	medians := make(map[string]float64)
	for _, s := range r.servers {
		median, known := medians[s.instance.Service]
		if !known {
			median = r.medianGap(s.instance.Service)
			medians[s.instance.Service] = median
		}
		lines = append(lines, ServerStatus{instance: s.instance, leaving: s.leaving, candidate: r.candidate(s, median, now)})
	}
	slices.SortFunc(lines, func(a, b ServerStatus) int { return strings.Compare(a.instance.Name, b.instance.Name) })
	return lines
}

// Lookup returns a server's line of the list.
func (r *Registry) Lookup(name string) (spokecloud.Instance, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	s, known := r.servers[name]
	if !known {
		return spokecloud.Instance{}, false
	}
	return s.instance, true
}
