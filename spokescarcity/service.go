package spokescarcity

import (
	"math"
	"slices"

	"mulberryspoke.example/mulberryspoke/spokeclock"
)

const (
	// enterLateShare and enterOverShare are the shares of late first events and of late
	// forecasts from which servers are short, and leaveShare the one below which they are not.
	enterLateShare = 0.25
	enterOverShare = 0.5
	leaveShare     = 0.1
	// leaveTime is how long a share must stay below leaveShare.
	leaveTime = spokeclock.Second
	// minFirstEvents is the number of first events in which one late one is at most a quarter,
	// so that a single slow answer is no shortage.
	minFirstEvents = 4
	minChoices     = 2
	// maxSilence is the time without any call after which the evidence is dropped: the clock
	// has jumped, the process stood still, or there is next to no traffic.
	maxSilence = spokeclock.Second
	// errorWeight is the weight of the last answer in the mean error of a route's forecasts,
	// which halves every errorHalfLife without answers.
	errorWeight   = 0.3
	errorHalfLife = 2 * spokeclock.Second
	// honouredDivisor is the part of the time left for which callers honour a Retry-After.
	honouredDivisor = 3
	// maxEntries bounds the routes and workspaces that are told apart. When there are more,
	// all are forgotten.
	maxEntries = 1024
)

// Service is what an instance knows of a service's servers. The zero value is ready for use.
// It is not safe for concurrent use.
type Service struct {
	// RefusesDisplacing is as that of Admission. It is set before the first call.
	RefusesDisplacing bool

	evidence evidence
	isShort  bool
	// lastCallAt and lastFirstAt are the times of the last call and of the last first event.
	lastCallAt, lastFirstAt spokeclock.Millis
	// epoch counts how often the evidence was dropped.
	epoch int
	// lowSince is since when a share has been below leaveShare, or zero.
	lowSince spokeclock.Millis
	// pending are the admitted requests without a first event, and nextDue the time at which
	// the first of them is overdue.
	pending    []*AdmittedRequest
	nextDue    spokeclock.Millis
	routes     map[routeKey]*route
	workspaces map[workspaceKey]*workspace
}

// AdmittedRequest is an admitted request until its first event.
type AdmittedRequest struct {
	route           *route
	epoch           int
	sentAt, dueAt   spokeclock.Millis
	forecast        float64
	isEnded, isLate bool
}

// IsShort reports whether servers are short.
func (s *Service) IsShort() bool { return s.isShort }

// advance brings the state up to the present time.
func (s *Service) advance(now spokeclock.Millis) {
	if s.epoch == 0 || now < s.lastCallAt || now-s.lastCallAt > maxSilence {
		*s = Service{RefusesDisplacing: s.RefusesDisplacing, epoch: s.epoch + 1, routes: make(map[routeKey]*route), workspaces: make(map[workspaceKey]*workspace)}
	}
	s.lastCallAt = now
	isNext := s.evidence.advance(now)
	if len(s.pending) > 0 && now >= s.nextDue {
		s.countOverdue(now)
	}
	if isNext {
		s.updateState(now)
		if s.isShort {
			s.plan(now)
		}
	}
}

// countOverdue counts requests whose first event is due and has not come.
func (s *Service) countOverdue(now spokeclock.Millis) {
	s.nextDue = math.MaxInt64
	s.pending = slices.DeleteFunc(s.pending, func(t *AdmittedRequest) bool {
		switch {
		case t.isEnded:
			return true
		case t.dueAt >= now:
			s.nextDue = min(s.nextDue, t.dueAt+1)
			return false
		}
		t.isLate = true
		s.evidence.present().late++
		s.lastFirstAt = now
		t.route.recordLeastError(float64(now-t.sentAt)-t.forecast, now)
		return true
	})
}

// updateState compares the shares of the last second, or of two if that has too few first
// events, with the bounds of the state.
func (s *Service) updateState(now spokeclock.Millis) {
	recent := s.recent()
	if !s.isShort {
		s.isShort = recent.firstEvents() >= minFirstEvents && recent.choices >= minChoices && recent.lateShare() > enterLateShare && recent.overShare() >= enterOverShare
		s.lowSince = 0
		return
	}
	switch {
	case recent.lateShare() >= leaveShare && recent.overShare() >= leaveShare:
		s.lowSince = 0
	case s.lowSince == 0:
		s.lowSince = now
	case now-s.lowSince >= leaveTime:
		s.isShort = false
	}
}

func (s *Service) recent() counts {
	recent := s.evidence.sum(0, recentBuckets)
	if recent.firstEvents() >= minFirstEvents {
		return recent
	}
	longer := s.evidence.sum(0, bucketCount)
	recent.inTime, recent.late, recent.full = longer.inTime, longer.late, longer.full
	return recent
}

// Decide decides whether a request is sent to the chosen server. Random is a number from 0 up
// to 1.
func (s *Service) Decide(request Request, now spokeclock.Millis, random float64) Verdict {
	s.advance(now)
	if request.Target <= 0 {
		return Verdict{}
	}
	r := s.route(request)
	forecast := request.Forecast + r.meanError(now)
	r.target = float64(request.Target)
	isLate, excess := forecast > r.target, forecast-r.target
	if s.RefusesDisplacing && s.isShort && r.bound > 0 && r.bound < r.target {
		excess = forecast - r.bound
	}
	s.countChoice(request, r, excess, now)
	if !s.isShort {
		return Verdict{forecast: forecast, admitted: s.admit(request, r, now)}
	}
	verdict := Verdict{isShort: true, isLate: isLate, forecast: forecast, evidenceAge: now - s.lastFirstAt}
	switch {
	case forecast > float64(request.TimeLeft):
		verdict.reason, verdict.refusedPart = ReasonDeadline, 1
	case excess > 0:
		verdict.refusedPart = s.refusedPart(request, r)
		if random >= verdict.refusedPart {
			break
		}
		verdict.reason = ReasonDisplacing
		if isLate {
			verdict.reason = ReasonPrecedence
		}
	}
	if verdict.reason == "" {
		verdict.admitted = s.admit(request, r, now)
		return verdict
	}
	// Random numbers below refusedPart refuse, so that this one is again from 0 up to 1.
	verdict.retryAfter = s.retryAfter(excess, request.CallerTimeLeft, random/verdict.refusedPart)
	return verdict
}

// countChoice counts a choice of a server.
func (s *Service) countChoice(request Request, r *route, excess float64, now spokeclock.Millis) {
	c := s.evidence.present()
	c.choices++
	over := 0.0
	if excess > 0 {
		c.over++
		c.excess += excess
		over = 1
	}
	r.requests.Add(1, now)
	r.over.Add(over, now)
	r.cost += (float64(request.EngineTime) - r.cost) * max(costWeight, 1/float64(r.count+1))
	r.count++
	w := s.workspace(request)
	w.demand.Add(float64(request.EngineTime), now)
	w.late.Add(over*float64(request.EngineTime), now)
}

func (s *Service) admit(request Request, r *route, now spokeclock.Millis) *AdmittedRequest {
	t := &AdmittedRequest{epoch: s.epoch, route: r, sentAt: now, dueAt: now + request.Target, forecast: request.Forecast}
	if len(s.pending) == 0 || t.dueAt < s.nextDue {
		s.nextDue = t.dueAt + 1
	}
	s.pending = append(s.pending, t)
	return t
}

// Record records how an admitted request goes. A request that ends without a first event
// shows nothing, unless that was overdue before.
func (s *Service) Record(t *AdmittedRequest, event Event, now spokeclock.Millis) {
	s.advance(now)
	switch {
	case t.isEnded || t.epoch != s.epoch:
	case event == EventFull:
		s.evidence.present().full++
		s.lastFirstAt = now
	case event == EventEnd:
		t.isEnded = true
	default:
		s.recordFirst(t, now)
	}
}

func (s *Service) recordFirst(t *AdmittedRequest, now spokeclock.Millis) {
	t.isEnded = true
	t.route.recordError(float64(now-t.sentAt)-t.forecast, now)
	switch {
	case t.isLate:
		return
	case now > t.dueAt:
		t.isLate = true
		s.evidence.present().late++
	default:
		s.evidence.present().inTime++
	}
	s.lastFirstAt = now
}

// retryAfter returns the time at which forecasts are below the target at the rate at which
// they fall, spread up to twice it. It is at most a third of the caller's time left.
func (s *Service) retryAfter(excess float64, timeLeft spokeclock.Millis, random float64) spokeclock.Millis {
	last, before := s.evidence.sum(0, recentBuckets), s.evidence.sum(recentBuckets, bucketCount-recentBuckets)
	most := max(1, float64(timeLeft/honouredDivisor))
	wait := most / 2
	if fall := before.meanExcess() - last.meanExcess(); fall > 0 && before.choices > 0 {
		wait = min(wait, excess/fall*float64(recentTime))
	}
	return spokeclock.Millis(max(1, wait*(1+random)))
}

// change describes the present state.
func (s *Service) change(name string, now spokeclock.Millis) Change {
	recent := s.recent()
	return Change{
		Service: name, IsShort: s.isShort, LateShare: recent.lateShare(), FirstEvents: recent.firstEvents(), OverShare: recent.overShare(), Choices: recent.choices, EvidenceAge: now - s.lastFirstAt,
	}
}
