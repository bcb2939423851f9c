package spokelimit

import (
	"maps"
	"math/rand/v2"
	"strings"
	"sync"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeconfig"
	"mulberryspoke.example/mulberryspoke/spokerate"
)

const (
	// leastDepth is the part of a second's rate that may be saved up where no
	// burst is declared, as requests do not come evenly.
	leastDepth = 0.2
	// equalPart is the part of an allotment that is divided equally, so that an
	// instance without demand so far can serve its first requests.
	equalPart = 0.25
	// demandMemory is the time constant with which old demand fades.
	demandMemory = 2 * spokeclock.Second
	// countLag is how much older than its last heartbeat what is known of a peer
	// may be: its way, and the wait for the processor.
	countLag = 200 * spokeclock.Millis(1)
	// silentBeats is how many heartbeats a peer may miss.
	silentBeats = 2
	// intervalMemory is the weight of a peer's known interval against one more.
	intervalMemory = 3
	// agreeInterval bounds the work of parts that follow demand.
	agreeInterval = 100 * spokeclock.Millis(1)
	// sumInterval is how old sums over all instances may be.
	sumInterval = 20 * spokeclock.Millis(1)
	// forgetSilence is how long a silent peer is assumed to go on spending its
	// part. It is longer than the partitions that callers outlast.
	forgetSilence = 15 * spokeclock.Second
	// tolerated is the part of the tolerance that late counts may use up.
	tolerated = 0.5
	// longestWait bounds the time after which a refused caller is asked back.
	longestWait = 5 * spokeclock.Second

	spentPrefix = "spent/"
	askedPrefix = "asked/"
)

// AllotmentLimiter enforces the allotments that all entry instances share. Each instance
// counts what it spends and hears the counts of its peers. While the allotment
// as a whole is plentiful, any instance may spend from it. When it runs short,
// or peers fall silent, an instance spends only its own part, which follows the
// demand it has seen; the parts add up to the whole. Set its fields before the
// first call. It is safe for concurrent use.
type AllotmentLimiter struct {
	// Clock tells the time. Nil means the real one.
	Clock *spokeclock.Clock
	// MemberCountFunc returns the number of instances that share the allotments,
	// this one included.
	MemberCountFunc func() int
	// RandomFunc draws from 0 up to 1. Nil means the real one.
	RandomFunc func() float64
	// Tolerance bounds what all instances together may spend too much.
	Tolerance Tolerance

	mutex      sync.Mutex
	allotments map[string]*allotment
	peers      map[string]*spender
	own        map[string]int64
	agreedAt   spokeclock.Millis
	members    int
}

// Tolerance is what may be spent beyond an allotment in any window, because
// counts arrive late.
type Tolerance struct {
	// Window is the span that is looked at.
	Window spokeclock.Millis
	// Fraction is the part of the allotment.
	Fraction float64
	// FixedAmount is what may be spent besides.
	FixedAmount float64
}

// of returns the tolerance of one allotment.
func (t Tolerance) of(a *spokeconfig.Allotment) float64 {
	span := float64(t.Window) / float64(spokeclock.Second)
	return t.Fraction*(a.PerSecond*span+a.Burst) + t.FixedAmount
}

// allotment is the state of one workspace's allotment.
type allotment struct {
	at     spokeclock.Millis
	level  float64
	credit float64
	demand spokerate.Rate
	// agreed is this instance's part as it was when all peers were last heard.
	agreed float64
	// summed and unheard are sums over all instances as they were at a time.
	summed   float64
	unheard  float64
	summedAt spokeclock.Millis
	// draw is the chance drawn last.
	draw    float64
	drawnAt spokeclock.Millis
}

// spender is what is known of a peer.
type spender struct {
	generation int64
	heardAt    spokeclock.Millis
	interval   spokeclock.Millis
	counts     map[string]int64
	demands    map[string]*spokerate.Rate
	assumed    map[string]float64
}

// Spend spends a request's cost from a workspace's allotment.
func (p *AllotmentLimiter) Spend(w *spokeconfig.Workspace, cost float64) Decision {
	if w.Allotment == nil || w.Allotment.PerSecond == 0 {
		return Decision{allowed: true}
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := p.Clock.Now()
	p.fill()
	a := p.refresh(w, now)
	a.demand.Add(cost, now)
	p.own[askedPrefix+w.Name] += int64(cost)
	if !p.plentiful(w, a, now) && !p.credited(w, a, cost, now) {
		return Decision{limit: "allotment", after: p.waitFor(w, a, now), perSecond: w.Allotment.PerSecond, level: a.level, credit: a.credit}
	}
	p.spend(w.Name, a, cost)
	return Decision{allowed: true}
}

// Refund returns the cost of a request that was allowed and did not run.
func (p *AllotmentLimiter) Refund(w *spokeconfig.Workspace, cost float64) {
	if w.Allotment == nil || w.Allotment.PerSecond == 0 {
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.fill()
	p.spend(w.Name, p.refresh(w, p.Clock.Now()), -cost)
}

func (p *AllotmentLimiter) spend(workspace string, a *allotment, cost float64) {
	a.level -= cost
	a.credit -= cost
	p.own[spentPrefix+workspace] += int64(cost)
}

func (p *AllotmentLimiter) fill() {
	if p.own == nil {
		p.allotments = make(map[string]*allotment)
		p.peers = make(map[string]*spender)
		p.own = make(map[string]int64)
	}
}

// refresh brings a workspace's allotment up to now. It begins empty when this
// process starts, as what was spent before is not known.
func (p *AllotmentLimiter) refresh(w *spokeconfig.Workspace, now spokeclock.Millis) *allotment {
	a, known := p.allotments[w.Name]
	if !known {
		a = &allotment{demand: spokerate.Rate{TimeConstant: demandMemory}}
		p.allotments[w.Name] = a
	}
	span := float64(now-a.at) / float64(spokeclock.Second)
	a.at = now
	part := p.part(w.Name, a, now)
	depth := max(1, w.Allotment.Burst, w.Allotment.PerSecond*leastDepth)
	a.level = min(depth, a.level+w.Allotment.PerSecond*span)
	a.credit = min(depth*part, a.credit+w.Allotment.PerSecond*part*span)
	p.assumeSilent(w, a, span, now)
	return a
}

// part is this instance's part of an allotment, as it was when peers were last
// heard: until then they have not heard of new demand here either.
func (p *AllotmentLimiter) part(workspace string, a *allotment, now spokeclock.Millis) float64 {
	if a.agreed == 0 || len(p.peers) == 0 {
		a.agreed = p.partOf(workspace, a, a.demand.PerSecond(now), now)
	}
	return a.agreed
}

// partOf is the part that falls to a demand: some of it equal, the rest in
// proportion.
func (p *AllotmentLimiter) partOf(workspace string, a *allotment, demand float64, now spokeclock.Millis) float64 {
	members := float64(max(1, p.members, len(p.peers)+1))
	all := p.allDemand(workspace, a, now)
	if all <= 0 {
		return 1 / members
	}
	return equalPart/members + (1-equalPart)*min(1, demand/all)
}

// allDemand is the demand on an allotment over all instances. It is summed now
// and then, as there may be many peers.
func (p *AllotmentLimiter) allDemand(workspace string, a *allotment, now spokeclock.Millis) float64 {
	if a.summed > 0 && now-a.summedAt < sumInterval {
		return a.summed
	}
	a.summedAt = now
	a.summed = a.demand.PerSecond(now)
	a.unheard = a.summed * float64(p.lag())
	for _, peer := range p.peers {
		demand := peer.demand(workspace, now)
		a.summed += demand
		a.unheard += demand * float64(peer.interval+countLag)
	}
	p.members = p.MemberCountFunc()
	return a.summed
}

// agree works this instance's parts out anew, unless a peer is silent.
func (p *AllotmentLimiter) agree(now spokeclock.Millis) {
	if now-p.agreedAt < agreeInterval || p.anySilent(now) {
		return
	}
	p.agreedAt = now
	for workspace, a := range p.allotments {
		a.agreed = p.partOf(workspace, a, a.demand.PerSecond(now), now)
	}
}

func (p *AllotmentLimiter) anySilent(now spokeclock.Millis) bool {
	for _, peer := range p.peers {
		if peer.silent(now) {
			return true
		}
	}
	return false
}

// demand is a peer's demand. That of a silent peer stays as it was last heard.
func (s *spender) demand(workspace string, now spokeclock.Millis) float64 {
	demand, known := s.demands[workspace]
	if !known {
		return 0
	}
	if s.silent(now) {
		return demand.PerSecond(s.heardAt)
	}
	return demand.PerSecond(now)
}

// silent reports whether a peer has missed its last heartbeats.
func (s *spender) silent(now spokeclock.Millis) bool {
	return now-s.heardAt > countLag+silentBeats*s.interval
}

// assumeSilent lets silent peers spend their parts, until they are heard again
// or forgotten.
func (p *AllotmentLimiter) assumeSilent(w *spokeconfig.Workspace, a *allotment, span float64, now spokeclock.Millis) {
	for name, peer := range p.peers {
		if !peer.silent(now) {
			continue
		}
		if now-peer.heardAt > forgetSilence {
			delete(p.peers, name)
			continue
		}
		spent := p.partOf(w.Name, a, peer.demand(w.Name, now), now) * w.Allotment.PerSecond * span
		peer.assumed[w.Name] += spent
		a.level -= spent
	}
}

// plentiful reports whether a request may be spent from the whole allotment:
// what peers may have spent unheard is there, or tolerable. Half of the
// tolerance is kept for the requests that several instances allow at once. What
// is there belongs to silent peers as well, and all of it may be gone when no
// peer is heard.
func (p *AllotmentLimiter) plentiful(w *spokeconfig.Workspace, a *allotment, now spokeclock.Millis) bool {
	shared, heard := 1.0, len(p.peers) == 0
	for _, peer := range p.peers {
		if peer.silent(now) {
			shared -= p.partOf(w.Name, a, peer.demand(w.Name, now), now)
		} else {
			heard = true
		}
	}
	stock := a.level
	if stock > 0 {
		stock *= max(0, shared)
	}
	return heard && stock+p.Tolerance.of(w.Allotment)*tolerated >= p.lagging(w, a, now)
}

// credited reports whether a request may be spent from this instance's own part.
// Parts of many instances are smaller than a request; then chance decides, once
// for each time in which the others hear of it, so that they do not all spend a
// whole request at once.
func (p *AllotmentLimiter) credited(w *spokeconfig.Workspace, a *allotment, cost float64, now spokeclock.Millis) bool {
	if a.credit <= 0 || a.level < -p.Tolerance.of(w.Allotment)*tolerated {
		return false
	}
	if now-a.drawnAt > p.lag() {
		a.drawnAt = now
		a.draw = p.random()
	}
	return a.credit >= cost*a.draw
}

func (p *AllotmentLimiter) random() float64 {
	if p.RandomFunc != nil {
		return p.RandomFunc()
	}
	return rand.Float64() //nolint:gosec // Chance needs no secrecy here.
}

// lag is how old the counts of the slowest peer may be.
func (p *AllotmentLimiter) lag() spokeclock.Millis {
	lag := countLag
	for _, peer := range p.peers {
		lag = max(lag, peer.interval+countLag)
	}
	return lag
}

// lagging is what peers may have spent that has not been heard yet, and what
// they have not heard of this instance.
func (p *AllotmentLimiter) lagging(w *spokeconfig.Workspace, a *allotment, now spokeclock.Millis) float64 {
	p.allDemand(w.Name, a, now)
	return a.unheard / float64(spokeclock.Second)
}

// waitFor returns the time until this instance's part would allow a request.
func (p *AllotmentLimiter) waitFor(w *spokeconfig.Workspace, a *allotment, now spokeclock.Millis) spokeclock.Millis {
	perSecond := w.Allotment.PerSecond * p.part(w.Name, a, now)
	byCredit := (1 - a.credit) / perSecond
	byLevel := max(0, p.lagging(w, a, now)-a.level-p.Tolerance.of(w.Allotment)*tolerated) / w.Allotment.PerSecond
	return min(1+spokeclock.Millis(min(byCredit, byLevel)*float64(spokeclock.Second)), longestWait)
}

// Counts returns this instance's counters, for its peers.
func (p *AllotmentLimiter) Counts() map[string]int64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.fill()
	return maps.Clone(p.own)
}

// SetPeerCounts takes in the counters of one run of a peer that have changed.
func (p *AllotmentLimiter) SetPeerCounts(peer string, generation int64, counts map[string]int64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.fill()
	now := p.Clock.Now()
	s, known := p.peers[peer]
	if !known || s.generation != generation {
		s = &spender{
			generation: generation, counts: make(map[string]int64),
			demands: make(map[string]*spokerate.Rate), assumed: make(map[string]float64),
		}
		p.peers[peer] = s
	}
	if s.heardAt > 0 {
		s.interval = (intervalMemory*s.interval + now - s.heardAt) / (intervalMemory + 1)
	}
	s.heardAt = now
	for key, count := range counts {
		before, counted := s.counts[key]
		s.counts[key] = count
		// What a peer spent before it was first heard is in no window that
		// this instance knows.
		if !counted && !known {
			continue
		}
		p.take(s, key, float64(count-before), now)
	}
	p.agree(now)
}

func (p *AllotmentLimiter) take(s *spender, key string, amount float64, now spokeclock.Millis) {
	if workspace, spent := strings.CutPrefix(key, spentPrefix); spent {
		if a, known := p.allotments[workspace]; known {
			a.level -= amount - s.assumed[workspace]
		}
		s.assumed[workspace] = 0
	}
	if workspace, asked := strings.CutPrefix(key, askedPrefix); asked {
		if s.demands[workspace] == nil {
			s.demands[workspace] = &spokerate.Rate{TimeConstant: demandMemory}
		}
		s.demands[workspace].Add(amount, now)
	}
}
