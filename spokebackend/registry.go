package spokebackend

import (
	"slices"
	"strings"
	"sync"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokecloud"
	"mulberryspoke.example/mulberryspoke/spokeengine"
	"mulberryspoke.example/mulberryspoke/spokeforecast"
	"mulberryspoke.example/mulberryspoke/spokeroute"
	"mulberryspoke.example/mulberryspoke/spokethrottle"
)

// removedRetention is how long a removed server is remembered, so that an older
// list does not add it again.
const removedRetention = 10 * 60 * spokeclock.Second

// unlistedGrace is how long a server is kept after a suspect list omits it.
const unlistedGrace = 60 * spokeclock.Second

const (
	// maxReported bounds the slots and the load of a server, whoever reports them, so that
	// sums over many servers don't overflow.
	maxReported = 1 << 16
	// maxRemaining bounds the time until a server is removed, and maxReportAge that since
	// its load was measured.
	maxRemaining = 24 * 60 * 60 * spokeclock.Second
	maxReportAge = maxRemaining
)

// defaultSlots is the number of slots assumed until a server has reported.
const defaultSlots = 8

// Registry holds the backend servers. Set its fields before the first call.
// It is safe for concurrent use.
type Registry struct {
	// DataCentre is the data centre that this process runs in.
	DataCentre string
	// Clock is the time source. Nil means the system clock.
	Clock *spokeclock.Clock
	// ListIsAuthoritative applies every list at once: servers that it omits get
	// no new requests, and servers that it contains again do.
	ListIsAuthoritative bool
	// LongAnswersChangedFunc, if set, is called when a request with a long
	// answer starts or ends in this process.
	LongAnswersChangedFunc func()
	// Throttle keeps the limits that servers name. Nil ignores them.
	Throttle *spokethrottle.Throttle
	// ClosedFunc, if set, is called when a server gets no new requests from now on,
	// with the source that reported it. It must not call the registry.
	ClosedFunc func(instance spokecloud.Instance, source RemovalSource)
	// ShareChangedFunc, if set, is called when the traffic share of a server falls below 1
	// or is 1 again, with the state on which that rests and the age of its latest evidence.
	// It must not call the registry.
	ShareChangedFunc func(candidate spokeroute.Candidate, evidenceAge spokeclock.Millis)

	mutex   sync.Mutex
	servers map[string]*server
	removed map[string]removedServer
	// removalFuncs are the callbacks of the attempts in flight, by server.
	removalFuncs map[string]map[*Attempt]func(Removal)
	// peerInFlight holds the peers' requests in flight, by peer and server.
	peerInFlight map[string]map[ID]InFlight
	// peerTotals are the sums of peerInFlight over all peers.
	peerTotals map[ID]InFlight
	// peerSlots are the slots of servers as reported by peers.
	peerSlots map[ID]int
	// dataCentreInFlight holds the requests in flight of other data centres whose
	// instances are not peers, by data centre.
	dataCentreInFlight map[string]dataCentreInFlight
	// medianGaps are the median times between tokens, by service.
	medianGaps map[string]cachedFigure
	// usualGaps are the medians of the models' usual times between tokens, by service.
	usualGaps map[string]cachedFigure
	// meanSpeeds are the mean speeds of the servers, by service.
	meanSpeeds map[string]cachedFigure
	// fits are the figures of engines, by service.
	fits map[string]*spokeforecast.Fit
	// lastResponses is when a server of each data centre last sent part of a
	// response.
	lastResponses map[string]spokeclock.Millis
}

// removedServer identifies a removed server by its generation, and when it was
// removed.
type removedServer struct {
	generation int64
	removedAt  spokeclock.Millis
}

// UpdateInstances applies the platform's list. Servers that are no longer
// listed are removed once no request of this process is in flight at them.
func (r *Registry) UpdateInstances(instances []spokecloud.Instance) {
	r.mutex.Lock()
	terminating := r.applyList(instances)
	r.mutex.Unlock()
	for _, instance := range terminating {
		r.MarkForRemoval(instance.Name, Removal{Source: SourceList, Remaining: instance.TimeLeft})
	}
}

// applyList adds, updates and removes servers. It returns the listed servers
// that are terminating.
func (r *Registry) applyList(instances []spokecloud.Instance) []spokecloud.Instance {
	r.initialise()
	// The list may replace servers by faster or slower ones.
	clear(r.meanSpeeds)
	var terminating []spokecloud.Instance
	listed := make(map[string]struct{}, len(instances))
	for _, instance := range instances {
		if instance.Role != spokecloud.RoleBackend {
			continue
		}
		listed[instance.Name] = struct{}{}
		s := r.addOrUpdate(instance)
		if s != nil && instance.State == spokecloud.StateTerminating {
			terminating = append(terminating, instance)
		}
	}
	r.removeUnlisted(listed)
	return terminating
}

func (r *Registry) initialise() {
	if r.servers != nil {
		return
	}
	r.servers = make(map[string]*server)
	r.removed = make(map[string]removedServer)
	r.removalFuncs = make(map[string]map[*Attempt]func(Removal))
	r.peerInFlight = make(map[string]map[ID]InFlight)
	r.peerTotals = make(map[ID]InFlight)
	r.peerSlots = make(map[ID]int)
	r.dataCentreInFlight = make(map[string]dataCentreInFlight)
	r.lastResponses = make(map[string]spokeclock.Millis)
}

// addOrUpdate adds or updates a listed server. It returns nil if this generation
// of the server has been removed already, or has been replaced by a later one.
func (r *Registry) addOrUpdate(instance spokecloud.Instance) *server {
	if removed, found := r.removed[instance.Name]; found && instance.Generation <= removed.generation {
		return nil
	}
	s, found := r.servers[instance.Name]
	if found && instance.Generation < s.instance.Generation {
		return nil
	}
	if !found || instance.Generation > s.lastRemoved() {
		s = &server{trafficShare: 1}
		r.servers[instance.Name] = s
	}
	s.instance = instance
	return s
}

// removeUnlisted removes servers that are no longer listed. If a list omits
// most servers of a service at once, only those are removed that have another
// sign of failure or have been unlisted for unlistedGrace. A removed server is
// remembered only if it was marked for removal, so that a list can add any other
// one again.
func (r *Registry) removeUnlisted(listed map[string]struct{}) {
	now := r.Clock.Now()
	suspect := r.suspectServices(listed)
	for name, s := range r.servers {
		if _, isListed := listed[name]; isListed {
			s.unlistedSince = 0
			continue
		}
		r.recordUnlisted(s, now)
		if s.inFlight > 0 || (!r.ListIsAuthoritative && suspect[s.instance.Service] && s.isOnlyUnlisted(now)) {
			continue
		}
		if s.removalSource != "" {
			r.removed[name] = removedServer{generation: s.lastRemoved(), removedAt: now}
		}
		delete(r.servers, name)
	}
	for name, removed := range r.removed {
		_, isListed := listed[name]
		if !isListed && now-removed.removedAt > removedRetention {
			delete(r.removed, name)
		}
	}
}

func (r *Registry) recordUnlisted(s *server, now spokeclock.Millis) {
	if s.unlistedSince > 0 {
		return
	}
	isDraining := r.isDraining(s)
	s.unlistedSince = now
	if !isDraining && r.isDraining(s) {
		r.notifyClosed(s.instance, SourceList)
	}
}

// suspectServices returns the services of which the list omits most servers
// that are not being removed.
func (r *Registry) suspectServices(listed map[string]struct{}) map[string]bool {
	balances := make(map[string]int)
	for name, s := range r.servers {
		if s.removalSource != "" {
			continue
		}
		if _, isListed := listed[name]; isListed {
			balances[s.instance.Service]++
		} else {
			balances[s.instance.Service]--
		}
	}
	suspect := make(map[string]bool)
	for service, balance := range balances {
		suspect[service] = balance < 0
	}
	return suspect
}

// MarkForRemoval marks a server as being removed and calls back its attempts in
// flight. An operator's mark can be cleared, and the mark of any other source
// replaces it. A mark of another source stays until the server is removed.
func (r *Registry) MarkForRemoval(name string, removal Removal) {
	for _, removalFunc := range r.recordRemoval(name, removal) {
		removalFunc(removal)
	}
}

// recordRemoval stores the mark and returns the callbacks to call. It remembers
// the removal of a server that is not listed yet, as lists lag behind.
func (r *Registry) recordRemoval(name string, removal Removal) []func(Removal) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.initialise()
	s, found := r.servers[name]
	if !found && removal.Generation != 0 {
		r.removed[name] = removedServer{generation: max(removal.Generation, r.removed[name].generation), removedAt: r.Clock.Now()}
	}
	if !found || (removal.Generation != 0 && removal.Generation < s.instance.Generation) {
		return nil
	}
	s.removedThrough = max(s.removedThrough, removal.Generation)
	if s.removalSource == removal.Source {
		return nil
	}
	if s.removalSource != "" && !s.removalSource.isOperatorMark() {
		return nil
	}
	if !r.isDraining(s) {
		r.notifyClosed(s.instance, removal.Source)
	}
	s.removalSource = removal.Source
	remaining := removal.Remaining
	if remaining <= 0 {
		remaining = defaultRemaining
	}
	s.expectedGoneAt = r.Clock.Now() + min(remaining, maxRemaining)
	callbacks := make([]func(Removal), 0, len(r.removalFuncs[name]))
	for _, removalFunc := range r.removalFuncs[name] {
		callbacks = append(callbacks, removalFunc)
	}
	return callbacks
}

func (r *Registry) notifyClosed(instance spokecloud.Instance, source RemovalSource) {
	if r.ClosedFunc != nil {
		r.ClosedFunc(instance, source)
	}
}

// ClearOperatorMark clears an operator's mark of a server. Marks of other
// sources stay.
func (r *Registry) ClearOperatorMark(name string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if s, found := r.servers[name]; found && s.removalSource.isOperatorMark() {
		s.removalSource = ""
	}
}

// Removals returns the servers that are being removed or were, by name, to be
// sent to peers, without the sources. It omits operators' marks, which every
// entry instance receives itself.
func (r *Registry) Removals() map[string]Removal {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.Clock.Now()
	removals := make(map[string]Removal)
	for name, removed := range r.removed {
		if removed.generation != 0 {
			removals[name] = Removal{Remaining: 1, Generation: removed.generation}
		}
	}
	for name, s := range r.servers {
		if s.removalSource != "" && !s.removalSource.isOperatorMark() {
			removals[name] = Removal{Remaining: max(1, s.expectedGoneAt-now), Generation: s.lastRemoved()}
		}
	}
	return removals
}

// lastRemoved returns the generation up to which the name's runs are this server, or are
// being removed with it.
func (s *server) lastRemoved() int64 { return max(s.instance.Generation, s.removedThrough) }

// PauseServer keeps new requests away from a server for a time that it has asked
// for. A shorter time does not end an earlier pause.
func (r *Registry) PauseServer(name string, generation int64, pause spokeclock.Millis) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if s, found := r.servers[name]; found && s.instance.Generation == generation {
		s.pausedUntil = max(s.pausedUntil, r.Clock.Now()+pause)
	}
}

// NextResume returns the time until the first paused server of a service gets
// requests again, or zero if none is paused.
func (r *Registry) NextResume(service string) spokeclock.Millis {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.Clock.Now()
	next := spokeclock.Millis(0)
	for _, s := range r.servers {
		if s.instance.Service != service || r.isDraining(s) || now >= s.pausedUntil {
			continue
		}
		if next == 0 || s.pausedUntil-now < next {
			next = s.pausedUntil - now
		}
	}
	return next
}

// OperatorMarked returns the names of the servers that an operator has marked.
func (r *Registry) OperatorMarked() []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var names []string
	for name, s := range r.servers {
		if s.removalSource.isOperatorMark() {
			names = append(names, name)
		}
	}
	return names
}

// RecordLoad stores a load report of one run of a server. Those of earlier runs say nothing of
// the present one.
func (r *Registry) RecordLoad(name string, generation int64, load spokeengine.Load) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if s, found := r.servers[name]; found && s.instance.Generation == generation {
		s.load = load
		s.load.Running, s.load.Waiting, s.load.Slots = boundedReport(load.Running), boundedReport(load.Waiting), boundedReport(load.Slots)
		s.loadMeasuredAt = r.Clock.Now() - min(max(0, load.Age), maxReportAge)
		s.model.RecordWorkTime(load.WorkTime, r.Clock.Now())
	}
}

// boundedReport returns a number that a server, a list or a peer has reported, within
// bounds.
func boundedReport(number int) int { return min(max(0, number), maxReported) }

// LocalServerNames returns the names of the servers of this data centre, in
// order.
func (r *Registry) LocalServerNames() []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var names []string
	for name, s := range r.servers {
		if s.instance.DataCentre == r.DataCentre {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, strings.Compare)
	return names
}
