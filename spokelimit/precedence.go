package spokelimit

import (
	"cmp"
	"math"
	"slices"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokerate"
)

const (
	// routeTimeConstant is the time constant of the parts of the routes in the demand. It
	// covers several requests of a rare route at one of many instances.
	routeTimeConstant = 10 * spokeclock.Second
	// minRouteFraction is the least part of a route's demand that is allowed, as a fraction
	// of what is allowed of all demand.
	minRouteFraction = 0.5
	// minCountFraction is the least fraction of a route's requests that are allowed, as a
	// fraction of that of all requests.
	minCountFraction = 0.25
	// partIterations is enough for minRoutePart to settle within a few hundredths.
	partIterations = 3
	// recentTime is about the age of the counts of peers.
	recentTime = spokeclock.Second
	// unknownTime is the time after the start in which the first requests may be a part of
	// any demand. Until then, demand is measured with the request that asks, which is too
	// high where requests are rare.
	unknownTime = 3 * spokeclock.Second
	// costSmoothing is the weight of a mean cost against one more request.
	costSmoothing = 0.98
	// minDemandRequests is the demand in requests per second that is assumed at least, as
	// an instance knows nothing of its demand at its first request.
	minDemandRequests = 0.1
)

// Route is what precedence goes by, besides the mean cost of the route's requests, which
// the limiter learns.
type Route struct {
	// Name identifies the route.
	Name string
	// Priority is the order of routes, 0 first.
	Priority int
}

// average is an exponential moving average that starts as a plain one.
type average struct {
	value float64
	count float64
}

func (a *average) add(amount float64) {
	a.count++
	weight := max(1/a.count, 1-costSmoothing)
	a.value += weight * (amount - a.value)
}

// decayingAverage is an average over about the last recentTime. It starts at one.
type decayingAverage struct {
	value     float64
	updatedAt spokeclock.Millis
}

func (d *decayingAverage) add(amount float64, now spokeclock.Millis) {
	weight := 1 - math.Exp(-float64(now-d.updatedAt)/float64(recentTime))
	d.value += weight * (amount - d.value)
	d.updatedAt = now
}

// routeDemand is the demand of one route at this instance.
type routeDemand struct {
	priority int
	requests spokerate.Rate
	meanCost average
}

// costPerSecond returns the route's demand per second, in tokens or requests.
func (r *routeDemand) costPerSecond(now spokeclock.Millis) float64 {
	return r.requests.PerSecond(now) * r.meanCost.value
}

func newAllotmentState(startedAt spokeclock.Millis) *allotmentState {
	return &allotmentState{
		startedAt: startedAt, requests: spokerate.Rate{TimeConstant: surgeTimeConstant}, recentPart: decayingAverage{value: 1}, delayed: delayedRate{rate: spokerate.Rate{TimeConstant: demandTimeConstant}},
		routes: make(map[string]*routeDemand),
	}
}

// addDemand counts a request of this instance.
func (a *allotmentState) addDemand(route Route, cost float64, now spokeclock.Millis) {
	a.demandBefore = a.requests.PerSecond(now)
	a.requests.Add(1, now)
	a.meanCost.add(cost)
	a.delayed.add(cost)
	if now-a.startedAt < unknownTime {
		if a.meanCost.count == 1 {
			// The process before this one has, on average, overdrawn its share by half a
			// request, which is forgotten.
			a.localLevel -= cost / 2
			a.globalLevel -= cost / 2
		}
		a.demandBefore = a.requests.PerSecond(now)
	}
	r, known := a.routes[route.Name]
	if !known {
		r = &routeDemand{requests: spokerate.Rate{TimeConstant: routeTimeConstant}}
		a.routes[route.Name] = r
	}
	r.priority = route.Priority
	r.requests.Add(1, now)
	r.meanCost.add(cost)
}

// localDemand returns this instance's demand per second before its last request, which
// would count as much as all others where requests are rare.
func (a *allotmentState) localDemand() float64 {
	return max(minDemandRequests, a.demandBefore) * a.meanCost.value
}

// costliest returns the greatest mean cost of a route.
func (a *allotmentState) costliest() float64 {
	cost := 0.0
	for _, r := range a.routes {
		cost = max(cost, r.meanCost.value)
	}
	return cost
}

// routePlan has the part of each route's requests that are allowed.
type routePlan struct {
	names []string
	parts []float64
}

func (p routePlan) part(route Route) float64 {
	if i := slices.Index(p.names, route.Name); i >= 0 {
		return p.parts[i]
	}
	return 0
}

// plannedRoute is one route while a plan is made.
type plannedRoute struct {
	name     string
	key      float64
	requests float64
	cost     float64
	part     float64
}

// plan divides the allowed part of the whole demand among the routes, cheap and urgent ones
// first: by the mean cost, times one more than the priority. Each keeps at least
// minRouteFraction of what it would get without precedence, and minCountFraction of what all
// requests get.
func (a *allotmentState) plan(allowedPart float64, now spokeclock.Millis) routePlan {
	routes := make([]plannedRoute, 0, len(a.routes))
	for name, r := range a.routes {
		requests := r.requests.PerSecond(now)
		routes = append(routes, plannedRoute{name: name, key: r.meanCost.value * float64(1+r.priority), requests: requests, cost: requests * r.meanCost.value})
	}
	slices.SortFunc(routes, func(x, y plannedRoute) int {
		return cmp.Or(cmp.Compare(x.key, y.key), cmp.Compare(x.name, y.name))
	})
	least := minRouteFraction * allowedPart
	for range partIterations {
		least = min(allowedPart, max(minRouteFraction*allowedPart, minCountFraction*divide(routes, allowedPart, least)))
	}
	plan := routePlan{names: make([]string, 0, len(routes)), parts: make([]float64, 0, len(routes))}
	for _, r := range routes {
		plan.names = append(plan.names, r.name)
		plan.parts = append(plan.parts, r.part)
	}
	return plan
}

// divide sets the parts of the routes, which are in order of precedence, and returns the
// allowed part of all requests. Each route gets the least part; the rest goes to the routes
// in order.
func divide(routes []plannedRoute, allowedPart, least float64) float64 {
	total, requests, allowed := 0.0, 0.0, 0.0
	for _, r := range routes {
		total += r.cost
		requests += r.requests
	}
	rest := (allowedPart - least) * total
	for i := range routes {
		r := &routes[i]
		more := min((1-least)*r.cost, rest)
		rest -= more
		r.part = least
		if r.cost > 0 {
			r.part += more / r.cost
		}
		allowed += r.part * r.requests
	}
	if requests == 0 {
		return allowedPart
	}
	return allowed / requests
}
