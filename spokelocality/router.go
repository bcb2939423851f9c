package spokelocality

import (
	"math"
	"sync"

	"mulberryspoke.example/mulberryspoke/spokeclock"
)

const (
	// decideInterval is the least time between two decisions about a service.
	decideInterval = 500 * spokeclock.Millis(1)
	// maxAge is the age of reports up to which shares may rise by them.
	maxAge = 3 * spokeclock.Second
	// returnPart is how fast shares fall as a part of how fast they may rise. Falling
	// slower than rising keeps shares from swinging.
	returnPart = 0.5
	// smoothingTime is the time in which the average of a demand approaches it by 1-1/e.
	// From minRise above that, as a part of it, the demand is rising.
	smoothingTime = spokeclock.Second
	minRise       = 0.1
	// maxRise bounds the factor by which a rise is carried on over the age of its report.
	maxRise = 2.0
	// scaleTime is the time in which the scale of the demand approaches what queues show by
	// 1-1/e, and minScale its least value.
	scaleTime = 2 * spokeclock.Second
	minScale  = 0.5
	// minPrefillPart is the part of the work from which queues of prompts show enough of it.
	minPrefillPart = 0.2
	// saturatedLoad is the load from which servers may be unable to do what is demanded.
	saturatedLoad = 0.93
	// minBusy is the least demand of the own data centre, in busy servers.
	minBusy = 0.01
	// defaultRequestMillis is the time for which a request keeps a server busy where none
	// is known.
	defaultRequestMillis = 100.0
	// minShare is the share below which none leave. It is above the smallest share that a
	// plan can have.
	minShare = 0.05
	// deadBand is the difference from the planned share up to which a share stays as it is.
	deadBand = 0.04
	// prefillRate is the number of tokens that a server reads in a millisecond.
	prefillRate = 50.0
)

// Router decides for one entry instance. Set its fields before the first call. It is safe
// for concurrent use.
type Router struct {
	// DataCentre is the data centre of this instance. Empty means that it isn't known, so
	// that nothing is decided.
	DataCentre string
	// Settings weigh what leaving costs.
	Settings Settings
	// Clock is the source of time. Nil means the real clock.
	Clock *spokeclock.Clock
	// RandomFunc returns a random number from 0 up to 1.
	RandomFunc func() float64
	// ShareChangedFunc, if set, is called after each change of a share, at most once for
	// each decision and data centre. It must not call the router.
	ShareChangedFunc func(change Change)

	mutex    sync.Mutex
	services map[string]*service
}

// service is the state of one service.
type service struct {
	decidedAt spokeclock.Millis
	// isActive is whether there is anything to decide.
	isActive bool
	remotes  map[string]*remote
	// names are those of the remotes, in order.
	names    []string
	own      evidence
	demands  map[string]*trend
	kinds    map[string]*transfer
	all      transfer
	prefixes prefixes
	// work and prefills are the times for which requests keep servers busy, as a whole and
	// until their first tokens.
	work, prefills workload
	// scale is the part of the expected work of requests that keeps servers busy. Zero
	// means that there was no decision yet.
	scale float64
	// hasLocalPrefixes is whether prefixes are cached in each data centre.
	hasLocalPrefixes bool
	// target is the least time within which the first event of a request is due.
	target spokeclock.Millis
}

// remote is the state of another data centre.
type remote struct {
	evidence
	// share is the part of the requests that leave to it.
	share float64
	// isOpen is whether it has something to spare.
	isOpen bool
}

// Change describes a change of a share with the inputs of the decision.
type Change struct {
	// Service is the service, and DataCentre the data centre that requests leave to.
	Service    string
	DataCentre string
	// Before and After are the shares of the requests that leave there, and Target the
	// one that After moves to.
	Before, After, Target float64
	// OwnWait and OtherWait are the expected waits for a server, in milliseconds, if none
	// left. An infinite one means that there is no server.
	OwnWait, OtherWait float64
	// OwnBusy and OtherBusy are the numbers of servers that the requests of both data
	// centres keep busy, and OwnServers and OtherServers the numbers that there are.
	OwnBusy, OwnServers, OtherBusy, OtherServers float64
	// LeaveCost is the cost of leaving, in milliseconds.
	LeaveCost float64
	// OwnAge and OtherAge are the ages of the reports that the demand was known by.
	OwnAge, OtherAge spokeclock.Millis
	// BadPart is the part of own answers from there that were late or failed, and Answers
	// their weight.
	BadPart, Answers float64
}

// Share is the share of a service's requests that leave to a data centre.
type Share struct {
	// Service is the service.
	Service string
	// DataCentre is the data centre.
	DataCentre string
	// Part is the share, from 0 to 1.
	Part float64
}

// Permit is what one request may do.
type Permit struct {
	isActive bool
	// target is the data centre that should serve the request.
	target           string
	others           []otherPermit
	hasLocalPrefixes bool
}

// otherPermit is what a request may do at another data centre.
type otherPermit struct {
	dataCentre string
	// leaveCost is the cost of leaving, in milliseconds.
	leaveCost float64
	// isOpen is whether it has something to spare.
	isOpen bool
}

// IsActive reports whether there was anything to decide. Otherwise a request may be served
// anywhere, at the usual cost.
func (p Permit) IsActive() bool { return p.isActive }

// Target returns the data centre that should serve the request, or "" if nothing was
// decided. If the request leaves, that isn't weighed against the servers of the own data
// centre once more: many instances with the same old reports would decide alike.
func (p Permit) Target() string { return p.target }

// Allows reports whether a data centre may serve the request.
func (p Permit) Allows(dataCentre string) bool { return !p.isActive || dataCentre == p.target }

// AllowsPrefix reports whether a data centre may serve the request if its prefix is cached
// there, although it may not otherwise.
func (p Permit) AllowsPrefix(dataCentre string) bool {
	if p.Allows(dataCentre) {
		return true
	}
	other, isOther := p.other(dataCentre)
	return !p.hasLocalPrefixes && (!isOther || other.isOpen)
}

func (p Permit) other(dataCentre string) (otherPermit, bool) {
	for _, other := range p.others {
		if other.dataCentre == dataCentre {
			return other, true
		}
	}
	return otherPermit{}, false
}

// HasLocalPrefixes reports whether prefixes are cached at one server of each data centre
// and not at one of all.
func (p Permit) HasLocalPrefixes() bool { return p.isActive && p.hasLocalPrefixes }

// LeaveCost returns the cost of leaving to a data centre, in milliseconds of delay.
func (p Permit) LeaveCost(dataCentre string) float64 {
	other, _ := p.other(dataCentre)
	return other.leaveCost
}

// IsDue reports whether a service needs a new observation.
func (r *Router) IsDue(serviceName string) bool {
	if r.DataCentre == "" {
		return false
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	s := r.service(serviceName)
	return s.decidedAt == 0 || r.Clock.Now()-s.decidedAt >= decideInterval
}

func (r *Router) service(name string) *service {
	if r.services == nil {
		r.services = make(map[string]*service)
	}
	s, found := r.services[name]
	if !found {
		s = &service{remotes: make(map[string]*remote), demands: make(map[string]*trend), kinds: make(map[string]*transfer)}
		r.services[name] = s
	}
	return s
}

// Observe decides anew about a service.
func (r *Router) Observe(serviceName string, observation Observation) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	s, now := r.service(serviceName), r.Clock.Now()
	elapsed := now - s.decidedAt
	if s.decidedAt == 0 {
		elapsed = decideInterval
	}
	s.decidedAt = now
	s.isActive = observation.isKnown(r.DataCentre)
	if !s.isActive {
		clear(s.remotes)
		s.names = nil
		return
	}
	d := decision{router: r, service: s, name: serviceName, observation: observation, now: now, elapsed: min(elapsed, 2*decideInterval)}
	d.run()
}

// Permit decides what a request may do.
func (r *Router) Permit(serviceName string, kind Kind) Permit {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	s, now := r.service(serviceName), r.Clock.Now()
	s.recordKind(kind, now)
	if !s.isActive {
		return Permit{}
	}
	permit := Permit{isActive: true, target: r.DataCentre, hasLocalPrefixes: s.hasLocalPrefixes, others: make([]otherPermit, 0, len(s.names))}
	bytes := s.transferOf(kind.Route).bytes(kind.RequestBytes)
	drawn := r.RandomFunc()
	for _, name := range s.names {
		other := s.remotes[name]
		permit.others = append(permit.others, otherPermit{
			dataCentre: name, leaveCost: r.leaveCost(bytes) + other.badPart()*float64(s.firstEventTarget()), isOpen: other.isOpen,
		})
		if drawn >= 0 && drawn < other.share {
			permit.target = name
		}
		drawn -= other.share
	}
	return permit
}

// leaveCost returns the cost of leaving with a request and an answer of some size, in
// milliseconds of delay.
func (r *Router) leaveCost(bytes float64) float64 {
	return float64(r.Settings.RoundTrip) + float64(r.Settings.MegabytePrice)*bytes/megabyte
}

func (s *service) recordKind(kind Kind, now spokeclock.Millis) {
	s.transferOf(kind.Route).recordRequest(kind.RequestBytes)
	s.all.recordRequest(kind.RequestBytes)
	if kind.FirstEventTarget > 0 && (s.target == 0 || kind.FirstEventTarget < s.target) {
		s.target = kind.FirstEventTarget
	}
	s.work.record(kind.Work)
	s.prefills.record(kind.PrefillWork)
	if kind.PrefixKey != 0 {
		s.prefixes.record(kind.PrefixKey, kind.SharedPrefixTokens, kind.PromptTokens-kind.SharedPrefixTokens, now)
	}
}

// transferOf returns the averages of a kind of requests. Kinds beyond maxKinds share those
// of all.
func (s *service) transferOf(route string) *transfer {
	t, found := s.kinds[route]
	if !found {
		if len(s.kinds) >= maxKinds {
			return &s.all
		}
		t = &transfer{}
		s.kinds[route] = t
	}
	return t
}

func (s *service) firstEventTarget() spokeclock.Millis {
	if s.target > 0 {
		return s.target
	}
	return defaultTarget
}

// RecordAnswer records whether a server of a data centre sent the first event of an answer
// in time. One that failed or refused the request did not.
func (r *Router) RecordAnswer(serviceName, dataCentre string, isGood bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	s, now := r.service(serviceName), r.Clock.Now()
	if dataCentre == r.DataCentre {
		s.own.record(isGood, now)
		return
	}
	if other, found := s.remotes[dataCentre]; found {
		other.record(isGood, now)
	}
}

// RecordAnswerBytes records the size of a complete answer to a request of a route.
func (r *Router) RecordAnswerBytes(serviceName, route string, bytes int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	s := r.service(serviceName)
	s.transferOf(route).recordAnswer(bytes)
	s.all.recordAnswer(bytes)
}

// Shares returns the shares of all services, ordered by service and data centre.
func (r *Router) Shares() []Share {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var shares []Share
	for _, serviceName := range sortedNames(r.services) {
		s := r.services[serviceName]
		for _, name := range sortedNames(s.remotes) {
			shares = append(shares, Share{Service: serviceName, DataCentre: name, Part: s.remotes[name].share})
		}
	}
	return shares
}

// trend follows the demand of a data centre.
type trend struct{ average float64 }

// update returns the demand to plan for. A rise is carried on over the age of the report, so
// that a data centre whose demand rises isn't sent more meanwhile.
func (t *trend) update(reported float64, elapsed, age spokeclock.Millis) float64 {
	before := t.average
	t.average += (reported - before) * (1 - math.Exp(-float64(elapsed)/float64(smoothingTime)))
	if reported <= before*(1+minRise) {
		return reported
	}
	return min(maxRise*reported, reported+(reported-before)*seconds(min(age, maxAge)))
}

// workload has averages of the time for which a request keeps a server busy.
type workload struct {
	requests     int
	mean, square float64
}

func (w *workload) record(millis float64) {
	if millis <= 0 {
		return
	}
	w.requests++
	average(&w.mean, w.requests, millis)
	average(&w.square, w.requests, millis*millis)
}

// requestMillis returns the time, in milliseconds, that a request takes which others wait
// for. Long requests are met more often than their number says.
func (w *workload) requestMillis() float64 {
	if w.mean <= 0 {
		return defaultRequestMillis
	}
	return w.square / w.mean
}
