package spokebackend

import (
	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokecloud"
	"mulberryspoke.example/mulberryspoke/spokeforecast"
)

// Attempt is one attempt in flight at a server. It is used by one goroutine.
type Attempt struct {
	registry    *Registry
	server      *server
	instance    spokecloud.Instance
	longAnswer  bool
	lastTokenAt spokeclock.Millis
	blocks      spokeforecast.Blocks
	// prefillTokens is the number of prompt tokens that the server has not
	// processed.
	prefillTokens int
	// first is what the time to the first token is compared with, since beganAt.
	first   spokeforecast.First
	beganAt spokeclock.Millis
	ended   bool
}

// BeginAttempt counts an attempt at a server. RemovalFunc is called from
// another goroutine when the server is marked for removal. BeginAttempt returns
// false if the server is not in the registry or gets no new requests.
func (r *Registry) BeginAttempt(name string, longAnswer bool, removalFunc func(Removal)) (*Attempt, bool) {
	a, begun := r.beginAttempt(name, longAnswer, removalFunc)
	if begun && longAnswer {
		r.notifyLongAnswers()
	}
	return a, begun
}

func (r *Registry) notifyLongAnswers() {
	if r.LongAnswersChangedFunc != nil {
		r.LongAnswersChangedFunc()
	}
}

func (r *Registry) beginAttempt(name string, longAnswer bool, removalFunc func(Removal)) (*Attempt, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	s, found := r.servers[name]
	if !found || r.isClosed(s, r.Clock.Now()) || (r.Throttle != nil && !r.Throttle.Take(s.throttled())) {
		return nil, false
	}
	s.inFlight++
	if longAnswer {
		s.longInFlight++
	}
	a := &Attempt{registry: r, server: s, instance: s.instance, longAnswer: longAnswer, lastTokenAt: r.Clock.Now()}
	if r.removalFuncs[name] == nil {
		r.removalFuncs[name] = make(map[*Attempt]func(Removal))
	}
	r.removalFuncs[name][a] = removalFunc
	return a, true
}

// Instance returns the server's entry in the platform's list.
func (a *Attempt) Instance() spokecloud.Instance { return a.instance }

// AddPrefill adds to the number of prompt tokens that the server has to process
// before the first token of its answer.
func (a *Attempt) AddPrefill(tokens int) {
	a.registry.mutex.Lock()
	defer a.registry.mutex.Unlock()
	a.prefillTokens += tokens
	a.server.prefillBacklog += tokens
	r := a.registry
	a.beganAt = r.Clock.Now()
	peers := r.peerTotals[IDOf(a.instance.Name)]
	a.first = spokeforecast.First{
		Tokens: a.server.prefillBacklog + peers.PrefillUnits*tokensPerPrefillUnit, Load: a.server.inFlight + peers.Requests - 1,
		Factor: a.server.model.DelayFactor(r.medianUsualGap(a.instance.Service), a.beganAt) * a.server.model.MomentaryDelay(a.beganAt),
	}
}

// recordFirst records the time to the first token, unless the request may have waited for a
// slot. The caller holds the registry's mutex.
func (a *Attempt) recordFirst(now spokeclock.Millis) {
	if a.prefillTokens <= 0 || a.first.Load >= a.registry.slotsOf(a.server) {
		return
	}
	a.first.Delay = float64(now - a.beganAt)
	a.registry.fitOf(a.instance.Service).Record(a.first)
}

// finishPrefill removes the attempt's prompt from the server's backlog. The
// caller holds the registry's mutex.
func (a *Attempt) finishPrefill() {
	a.server.prefillBacklog -= a.prefillTokens
	a.prefillTokens = 0
}

// RecordToken records the arrival of a token.
func (a *Attempt) RecordToken(first bool) {
	r := a.registry
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.Clock.Now()
	r.lastResponses[a.instance.DataCentre] = now
	if first {
		a.recordFirst(now)
		a.finishPrefill()
	} else {
		batch := r.batchOf(a.server)
		a.server.recordGap(a, batch, r.medianGap(a.instance.Service), now)
		a.blocks.Add(&a.server.model, now-a.lastTokenAt, batch, now)
	}
	a.lastTokenAt = now
}

// RecordSlowWrite records that the caller has not read what was sent for a while, so that the
// times between tokens are not the server's.
func (a *Attempt) RecordSlowWrite() {
	a.registry.mutex.Lock()
	defer a.registry.mutex.Unlock()
	a.blocks.Skip()
}

// RecordStall records the time since the last token as a gap although no token
// has arrived.
func (a *Attempt) RecordStall() {
	r := a.registry
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.Clock.Now()
	a.server.recordStall(now-a.lastTokenAt, r.batchOf(a.server), r.medianGap(a.instance.Service), now)
}

// Slowness returns the ratio of the server's average time between tokens to the
// median of its service, at least 1.
func (a *Attempt) Slowness() float64 {
	r := a.registry
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return a.server.slowness(r.medianGap(a.instance.Service), r.Clock.Now())
}

// Succeed ends the attempt after a complete answer.
func (a *Attempt) Succeed() {
	a.end(func(s *server) { s.recordSuccess() })
}

// Fail ends the attempt after a failure of the server, which is suspended.
func (a *Attempt) Fail() {
	a.end(func(s *server) { s.recordFailure(a.registry.Clock.Now()) })
}

// EndRefused ends an attempt that the server refused because it was full.
func (a *Attempt) EndRefused() {
	a.end(func(s *server) { s.recordFull(a.registry.Clock.Now()) })
}

// Abandon ends the attempt without recording a success or a failure of the
// server.
func (a *Attempt) Abandon() {
	a.end(func(*server) {})
}

// end ends the attempt unless it has ended already. RecordFunc records the
// result at the server.
func (a *Attempt) end(recordFunc func(*server)) {
	if a.ended {
		return
	}
	a.ended = true
	a.release(recordFunc)
	if a.longAnswer {
		a.registry.notifyLongAnswers()
	}
}

func (a *Attempt) release(recordFunc func(*server)) {
	r := a.registry
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.removalFuncs[a.instance.Name], a)
	a.finishPrefill()
	a.blocks.End(&a.server.model, r.Clock.Now())
	a.server.inFlight--
	if a.longAnswer {
		a.server.longInFlight--
	}
	recordFunc(a.server)
}
