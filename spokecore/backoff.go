package spokecore

import (
	"sync"

	"mulberryspoke.example/mulberryspoke/spokebackoff"
	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokelimit"
	"mulberryspoke.example/mulberryspoke/spokerate"
)

// answeredTimeConstant is the time constant of the rate of answers of a route.
const answeredTimeConstant = 2 * spokeclock.Second

// answeredRates are the rates at which requests are answered, by route. The zero value is
// ready for use. It is safe for concurrent use.
type answeredRates struct {
	mutex sync.Mutex
	rates map[string]*spokerate.Rate
}

func (a *answeredRates) record(route string, now spokeclock.Millis) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.rates == nil {
		a.rates = make(map[string]*spokerate.Rate)
	}
	if a.rates[route] == nil {
		a.rates[route] = &spokerate.Rate{TimeConstant: answeredTimeConstant}
	}
	a.rates[route].Add(1, now)
}

func (a *answeredRates) perSecond(route string, now spokeclock.Millis) float64 {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.rates[route] == nil {
		return 0
	}
	return a.rates[route].PerSecond(now)
}

// callerTimeLeft returns the time until the caller gives up.
func (r *requestRun) callerTimeLeft() spokeclock.Millis {
	return max(0, max(r.request.Deadline, r.request.CallerDeadline)-r.core.Clock.Now())
}

// allotmentSlot returns when a caller over its workspace's allotment is to come back: when
// the allotment has room for the route.
func (r *requestRun) allotmentSlot(decision spokelimit.Decision) spokebackoff.Slot {
	return r.core.Backoff.Book(spokebackoff.Caller{
		Lane: "allotment/" + r.request.workspaceName() + "/" + r.request.Route.Name, Cost: r.request.allotmentCost(), TimeLeft: r.callerTimeLeft(),
	}, spokebackoff.Room{Wait: decision.RoomWait(), PerSecond: decision.RoomPerSecond()})
}

// serviceRetryAfter returns the time after which a caller is to come back whom a service has
// no room for. The room that comes back after the wait is taken to be what the service has
// answered of the route lately, for less urgent routes a part of it.
func (r *requestRun) serviceRetryAfter(wait spokeclock.Millis) spokeclock.Millis {
	if r.core.Backoff == nil {
		return wait
	}
	route := r.request.Route
	room := spokebackoff.Room{Wait: wait, PerSecond: r.service.answered.perSecond(route.Name, r.core.Clock.Now()) / float64(1+route.Priority)}
	slot := r.core.Backoff.Book(spokebackoff.Caller{Lane: "service/" + r.request.Service.Name + "/" + route.Name, Cost: 1, TimeLeft: r.callerTimeLeft()}, room)
	r.core.Counters.countSlot("service", slot.HasRoom())
	return slot.RetryAfter()
}
