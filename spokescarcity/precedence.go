package spokescarcity

import (
	"cmp"
	"math"
	"slices"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokerate"
)

const (
	// demandTime covers several requests of a rare route at one of many instances.
	demandTime = 5 * spokeclock.Second
	// costWeight is the weight of a request in the mean cost of its route.
	costWeight = 0.02
	// minRouteFraction is the least part of a route's requests that is admitted, as a fraction
	// of what would be admitted without precedence, and minCountFraction as a fraction of
	// what is admitted of all requests.
	minRouteFraction = 0.5
	minCountFraction = 0.25
	// maxRefusedPart leaves some requests that are expected late, whose answers show when
	// forecasts are too high.
	maxRefusedPart = 0.95
	// refusalGain is the refused part of the requests that are expected late by the share of
	// the choices that are. With a demand of a third too much, 4 in 10 choices are late and
	// 8 in 10 of these are refused.
	refusalGain = 2
	// maxRefusedDemand bounds the refused part of the engine time of requests that are expected
	// late. Bursts are up to 2.6 times the usual load; of three tenths that are admitted in any
	// case, urgent and cheap routes get most.
	maxRefusedDemand = 0.7
)

type routeKey struct {
	name string
	rank int
}

// route is what is known of one route's requests of workspaces of one rank.
type route struct {
	rank, priority int
	// requests is the demand, and over the part of it that is expected late.
	requests, over spokerate.Rate
	// cost is the mean engine time of a request, in milliseconds.
	cost  float64
	count int
	// lastError is the mean error of forecasts at errorAt, in milliseconds.
	lastError float64
	errorAt   spokeclock.Millis
	// refusedPart is the planned part of the late ones that is refused.
	refusedPart float64
	// target is the time in which the route's first events are due, and bound the least
	// target of the routes that go first and are late, or zero, in milliseconds.
	target, bound float64
}

type workspaceKey struct {
	name string
	rank int
}

// workspace is the demand of one workspace, in milliseconds of engine time a second.
type workspace struct {
	rank   int
	demand spokerate.Rate
	// late is the part of the demand that is expected late.
	late spokerate.Rate
	// weight is by how much its requests are refused more often than those of its rank.
	weight float64
}

func (s *Service) route(request Request) *route {
	key := routeKey{name: request.Route, rank: request.Rank}
	r, known := s.routes[key]
	if !known {
		if len(s.routes) >= maxEntries {
			clear(s.routes)
		}
		r = &route{requests: spokerate.Rate{TimeConstant: demandTime}, over: spokerate.Rate{TimeConstant: demandTime}}
		s.routes[key] = r
	}
	r.rank, r.priority = request.Rank, request.Priority
	return r
}

func (s *Service) workspace(request Request) *workspace {
	key := workspaceKey{name: request.Workspace, rank: request.Rank}
	w, known := s.workspaces[key]
	if !known {
		if len(s.workspaces) >= maxEntries {
			clear(s.workspaces)
		}
		w = &workspace{rank: request.Rank, demand: spokerate.Rate{TimeConstant: demandTime}, late: spokerate.Rate{TimeConstant: demandTime}, weight: 1}
		s.workspaces[key] = w
	}
	return w
}

// meanError returns by how much later than forecast the route's first events come, in
// milliseconds. Forecasts know little of what peers have sent in the last two seconds, so
// that they are too early while queues grow.
func (r *route) meanError(now spokeclock.Millis) float64 {
	return r.lastError * math.Exp2(-float64(now-r.errorAt)/float64(errorHalfLife))
}

func (r *route) recordError(millis float64, now spokeclock.Millis) {
	before := r.meanError(now)
	r.lastError, r.errorAt = before+errorWeight*(max(0, millis)-before), now
}

// recordLeastError records a request that has waited for some time and waits on.
func (r *route) recordLeastError(millis float64, now spokeclock.Millis) {
	if millis > r.meanError(now) {
		r.recordError(millis, now)
	}
}

// refusedPart returns the probability with which a request that is expected late is refused.
func (s *Service) refusedPart(request Request, r *route) float64 {
	return min(maxRefusedPart, r.refusedPart*s.workspace(request).weight)
}

// plannedRoute is one route while a plan is made. Requests and late are a second's, admitted
// is the part of the late ones that is admitted.
type plannedRoute struct {
	*route
	name           string
	requests, late float64
	least          float64
	admitted       float64
}

// plan divides what is admitted of the requests that are expected late among the routes, in
// order of precedence, and among the workspaces of a rank.
func (s *Service) plan(now spokeclock.Millis) {
	recent := s.evidence.sum(0, recentBuckets)
	part := 1 - min(maxRefusedDemand, refusalGain*recent.overShare())
	routes := make([]plannedRoute, 0, len(s.routes))
	for key, r := range s.routes {
		requests := r.requests.PerSecond(now)
		routes = append(routes, plannedRoute{route: r, name: key.name, requests: requests, late: min(requests, r.over.PerSecond(now))})
	}
	slices.SortFunc(routes, func(x, y plannedRoute) int {
		return cmp.Or(cmp.Compare(x.rank, y.rank), cmp.Compare(x.priority, y.priority), cmp.Compare(x.cost, y.cost), cmp.Compare(x.name, y.name))
	})
	bound := 0.0
	for _, r := range routes {
		r.bound = bound
		if r.late > enterLateShare*r.requests && (bound == 0 || r.target < bound) {
			bound = r.target
		}
	}
	divide(routes, part)
	for _, r := range routes {
		r.refusedPart = 1 - r.admitted
	}
	s.weighWorkspaces(routes, now)
}

// divide sets the admitted parts of the routes, which are in order of precedence. Each keeps
// its least part; the rest of the admitted engine time goes to the routes in order.
func divide(routes []plannedRoute, part float64) {
	requests, late, rest := 0.0, 0.0, 0.0
	for _, r := range routes {
		requests += r.requests
		late += r.late
		rest += r.late * r.cost * part
	}
	admittedShare := 1.0
	if requests > 0 {
		admittedShare = 1 - late*(1-part)/requests
	}
	for i := range routes {
		r := &routes[i]
		if r.late > 0 {
			inTime := r.requests - r.late
			floor := max(minRouteFraction*(inTime+r.late*part), minCountFraction*admittedShare*r.requests)
			r.least = min(part, max(0, floor-inTime)/r.late)
		}
		rest -= r.late * r.cost * r.least
	}
	for i := range routes {
		r := &routes[i]
		r.admitted = r.least
		if work := r.late * r.cost; work > 0 {
			more := max(0, min((1-r.least)*work, rest))
			rest -= more
			r.admitted += more / work
		} else {
			r.admitted = part
		}
	}
}

// weighWorkspaces sets the weights of the workspaces of each rank so that they are refused in
// proportion to their demand beyond an equal share of what is admitted.
func (s *Service) weighWorkspaces(routes []plannedRoute, now spokeclock.Millis) {
	demands, late, refused := make(map[int][]float64), make(map[int]float64), make(map[int]float64)
	for _, w := range s.workspaces {
		demands[w.rank] = append(demands[w.rank], w.demand.PerSecond(now))
		late[w.rank] += w.late.PerSecond(now)
	}
	for _, r := range routes {
		refused[r.rank] += r.late * r.cost * (1 - r.admitted)
	}
	shares := make(map[int]float64)
	for rank, of := range demands {
		shares[rank] = equalShare(of, refused[rank])
	}
	for _, w := range s.workspaces {
		w.weight = 1
		if own := w.late.PerSecond(now); own > 0 && refused[w.rank] > 0 {
			beyond := max(0, w.demand.PerSecond(now)-shares[w.rank])
			w.weight = beyond / own * late[w.rank] / refused[w.rank]
		}
	}
}

// equalShare returns the share up to which each demand is admitted if an amount of all is
// refused.
func equalShare(demands []float64, refused float64) float64 {
	slices.Sort(demands)
	rest := -refused
	for _, d := range demands {
		rest += d
	}
	for i, d := range demands {
		share := max(0, rest) / float64(len(demands)-i)
		if d >= share {
			return share
		}
		rest -= d
	}
	return math.Inf(1)
}
