package spokescarcity

import (
	"math/rand/v2"
	"sync"

	"mulberryspoke.example/mulberryspoke/spokeclock"
)

// maxServices bounds the services that are told apart. When there are more, all are
// forgotten.
const maxServices = 256

// Admission decides for the services of an instance. Its fields are set before the first
// call. The zero value is ready for use. It is safe for concurrent use.
type Admission struct {
	// RefusesDisplacing also refuses requests that can be in time, but late for a route that
	// goes first and is late.
	RefusesDisplacing bool
	// Clock measures time. Nil means the process's monotonic clock.
	Clock *spokeclock.Clock
	// RandomFunc returns a random number in [0, 1). Nil means math/rand/v2.
	RandomFunc func() float64
	// ChangedFunc is called when a service becomes short or no longer is. It may be nil.
	ChangedFunc func(change Change)

	mutex    sync.Mutex
	services map[string]*Service
}

// Decide decides whether a request is sent to the chosen server.
func (a *Admission) Decide(request Request) Verdict {
	var verdict Verdict
	a.with(request.Service, func(s *Service, now spokeclock.Millis) { verdict = s.Decide(request, now, a.random()) })
	return verdict
}

// Record records how an admitted request goes.
func (a *Admission) Record(service string, admitted *AdmittedRequest, event Event) {
	a.with(service, func(s *Service, now spokeclock.Millis) { s.Record(admitted, event, now) })
}

// with calls f with the state of a service and reports a change of it.
func (a *Admission) with(name string, f func(s *Service, now spokeclock.Millis)) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	s, known := a.services[name]
	if !known {
		if a.services == nil || len(a.services) >= maxServices {
			a.services = make(map[string]*Service)
		}
		s = &Service{RefusesDisplacing: a.RefusesDisplacing}
		a.services[name] = s
	}
	wasShort, now := s.isShort, a.Clock.Now()
	f(s, now)
	if s.isShort != wasShort && a.ChangedFunc != nil {
		a.ChangedFunc(s.change(name, now))
	}
}

func (a *Admission) random() float64 {
	if a.RandomFunc != nil {
		return a.RandomFunc()
	}
	return rand.Float64() //nolint:gosec // The choice needs no secrecy.
}
