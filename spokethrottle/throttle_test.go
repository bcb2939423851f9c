package spokethrottle_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"mulberryspoke.example/mulberryspoke/spokecase"
	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokethrottle"
)

const (
	tick      = 10 * spokeclock.Millis(1)
	newsDelay = 2 * tick
	sendEvery = 5
	// From contact on, a server gets at most limitFactor times what its limit allows in
	// limitWindow, and limitExtra requests.
	contact     = 3 * spokeclock.Second
	limitWindow = 4 * spokeclock.Second
	limitFactor = 1.5
	limitExtra  = 5
	// gatewayCount is the number of instances of a data centre that are linked to those of
	// others, if not all are.
	gatewayCount = 2
)

type throttleStep struct {
	At        spokeclock.Millis `yaml:"at_millis"`
	PerSecond float64           `yaml:"per_second"`
	Ends      bool              `yaml:"ends"`
	// StartsAgain is a new run of the server, which names no limit.
	StartsAgain bool `yaml:"starts_again"`
}

type throttleCase struct {
	Name string `yaml:"name"`
	// DataCentres has the number of instances of each.
	DataCentres []int `yaml:"data_centres"`
	// Gateways means that two instances of each data centre are linked to other ones.
	Gateways bool           `yaml:"gateways"`
	Limits   []throttleStep `yaml:"limits"`
	// ToldEvery names the limit in the answers to every so many instances only.
	ToldEvery int `yaml:"told_every"`
	// IdleHolders means that the first half in the order has no requests.
	IdleHolders bool `yaml:"idle_holders"`
	// CutAt is when the first data centre is cut off from the others.
	CutAt spokeclock.Millis `yaml:"cut_at_millis"`
	Lasts spokeclock.Millis `yaml:"lasts_millis"`
	// MinUsed is the least part of the limit that is used from contact on.
	MinUsed float64 `yaml:"min_used"`
	// FreeAtEnd means that all instances may send without a limit in the end.
	FreeAtEnd bool `yaml:"free_at_end"`
}

// TestThrottle checks that all instances together keep the limit that a server names,
// and use it.
func TestThrottle(t *testing.T) {
	for _, c := range spokecase.Read[[]throttleCase](t, "testdata/throttle.yaml") {
		t.Run(c.Name, func(t *testing.T) { newThrottleSimulation(c).run(t) })
	}
}

type throttleInstance struct {
	name       string
	dataCentre int
	isGateway  bool
	throttle   *spokethrottle.Throttle
	// sent is the sequence number that each link has sent up to, by peer.
	sent map[string]int64
}

// delivery is news on their way.
type delivery struct {
	at       spokeclock.Millis
	receiver *throttleInstance
	isLocal  bool
	news     spokethrottle.News
}

type throttleSimulation struct {
	throttleCase
	now        spokeclock.Millis
	instances  []*throttleInstance
	deliveries []delivery
	arrivals   []spokeclock.Millis
}

func newThrottleSimulation(c throttleCase) *throttleSimulation {
	s := &throttleSimulation{throttleCase: c, now: spokeclock.Second}
	for dataCentre, count := range c.DataCentres {
		for i := range count {
			s.instances = append(s.instances, s.newInstance(fmt.Sprintf("%c%d", 'a'+dataCentre, i), dataCentre, i < gatewayCount))
		}
	}
	return s
}

func (s *throttleSimulation) newInstance(name string, dataCentre int, isGateway bool) *throttleInstance {
	return &throttleInstance{
		name: name, dataCentre: dataCentre, isGateway: isGateway, sent: make(map[string]int64),
		throttle: &spokethrottle.Throttle{
			Clock:       &spokeclock.Clock{NowFunc: func() spokeclock.Millis { return s.now }},
			MembersFunc: func(string) spokethrottle.Members { return s.members(name, dataCentre) },
		},
	}
}

func (s *throttleSimulation) members(name string, dataCentre int) spokethrottle.Members {
	m := spokethrottle.Members{Self: name}
	for _, i := range s.instances {
		if !s.Gateways || i.dataCentre == dataCentre {
			m.Instances = append(m.Instances, i.name)
		}
	}
	if s.Gateways {
		m.DataCentre = string(rune('a' + dataCentre))
		for i := range s.DataCentres {
			m.DataCentres = append(m.DataCentres, string(rune('a'+i)))
		}
	}
	return m
}

func (s *throttleSimulation) areLinked(a, b *throttleInstance) bool {
	switch {
	case a == b:
		return false
	case a.dataCentre == b.dataCentre:
		return true
	case s.CutAt > 0 && s.now-spokeclock.Second >= s.CutAt && (a.dataCentre == 0 || b.dataCentre == 0):
		return false
	default:
		return !s.Gateways || (a.isGateway && b.isGateway)
	}
}

func (s *throttleSimulation) run(t *testing.T) {
	startedAt := s.now
	for step := 0; s.now-startedAt < s.Lasts; step++ {
		s.exchange()
		for i, instance := range s.instances {
			isIdle := s.IdleHolders && i < len(s.instances)/2
			if !isIdle && (step+i)%sendEvery == 0 {
				s.send(instance, i, s.now-startedAt)
			}
		}
		s.now += tick
	}
	s.check(t, startedAt)
}

func (s *throttleSimulation) send(instance *throttleInstance, i int, elapsed spokeclock.Millis) {
	step, generation := s.stepAt(elapsed)
	server := spokethrottle.Server{Name: "s", Generation: generation}
	if !instance.throttle.Take(server) {
		return
	}
	s.arrivals = append(s.arrivals, s.now)
	isTold := s.ToldEvery == 0 || i%s.ToldEvery == 0
	instance.throttle.RecordAnswer(server, spokethrottle.Limit{IsNamed: isTold && !step.Ends && !step.StartsAgain, PerSecond: step.PerSecond}, true)
}

func (s *throttleSimulation) stepAt(elapsed spokeclock.Millis) (step throttleStep, generation int64) {
	for _, next := range s.Limits {
		if elapsed >= next.At {
			step = next
		}
		if elapsed >= next.At && next.StartsAgain {
			generation++
		}
	}
	return step, generation
}

// exchange delivers the news that are due and sends new ones.
func (s *throttleSimulation) exchange() {
	s.deliveries = slices.DeleteFunc(s.deliveries, func(d delivery) bool {
		if d.at <= s.now {
			d.receiver.throttle.Merge(d.news, d.isLocal)
		}
		return d.at <= s.now
	})
	for _, from := range s.instances {
		for _, to := range s.instances {
			if !s.areLinked(from, to) {
				continue
			}
			isLocal := !s.Gateways || from.dataCentre == to.dataCentre
			news, last, _ := from.throttle.NewsSince(from.sent[to.name], isLocal)
			from.sent[to.name] = last
			if len(news.Limits) > 0 {
				s.deliveries = append(s.deliveries, delivery{at: s.now + newsDelay, receiver: to, isLocal: isLocal, news: news})
			}
		}
	}
}

func (s *throttleSimulation) check(t *testing.T, startedAt spokeclock.Millis) {
	from, until := startedAt+contact, s.now
	last := s.Limits[len(s.Limits)-1]
	if last.Ends || last.StartsAgain {
		until = startedAt + last.At
	}
	for _, first := range s.arrivals {
		if first < from || first+limitWindow > until {
			continue
		}
		count := s.countBetween(first, first+limitWindow)
		allowed := limitFactor*s.allowed(first-startedAt, first+limitWindow-startedAt) + limitExtra
		require.LessOrEqual(t, float64(count), allowed, "requests in 4 s from %d ms on", first-startedAt)
	}
	used, allowed := float64(s.countBetween(from, until)), s.allowed(from-startedAt, until-startedAt)
	require.GreaterOrEqual(t, used, s.MinUsed*allowed, "requests, of %.1f", allowed)
	if !s.FreeAtEnd {
		return
	}
	_, generation := s.stepAt(s.now - startedAt)
	for _, instance := range s.instances {
		require.False(t, instance.throttle.IsExhausted(spokethrottle.Server{Name: "s", Generation: generation}), instance.name)
	}
}

func (s *throttleSimulation) countBetween(from, until spokeclock.Millis) int {
	count := 0
	for _, at := range s.arrivals {
		if at >= from && at < until {
			count++
		}
	}
	return count
}

// allowed returns the number of requests that the limits allow in a time.
func (s *throttleSimulation) allowed(from, until spokeclock.Millis) float64 {
	total := 0.0
	for at := from; at < until; at += tick {
		step, _ := s.stepAt(at)
		total += step.PerSecond * float64(tick) / float64(spokeclock.Second)
	}
	return total
}

// TestLimitEndsSoonAfterNews guards against a limit that stays in force at peers, because
// its end came too soon after other news to be ordered and was told only once.
func TestLimitEndsSoonAfterNews(t *testing.T) {
	s := newThrottleSimulation(throttleCase{DataCentres: []int{2}})
	first, second := s.instances[0], s.instances[1]
	server := spokethrottle.Server{Name: "s", Generation: 1}
	answer := func(after spokeclock.Millis, isNamed bool) {
		s.now += after
		first.throttle.RecordAnswer(server, spokethrottle.Limit{IsNamed: isNamed, PerSecond: 1}, true)
		s.exchange()
		s.now += newsDelay
		s.exchange()
	}
	answer(0, true)
	answer(1100, true)
	answer(100, false)
	answer(1100, false)
	require.Zero(t, first.throttle.LimitedCount())
	require.Zero(t, second.throttle.LimitedCount())
	for range 30 {
		answer(spokeclock.Second, false)
	}
	news, _, _ := first.throttle.NewsSince(0, true)
	require.Empty(t, news.Limits, "the end is told for ever")
}

// TestGoneServerIsNotCounted checks that a server which answers nobody any more doesn't
// count as limited.
func TestGoneServerIsNotCounted(t *testing.T) {
	s := newThrottleSimulation(throttleCase{DataCentres: []int{1}})
	throttle := s.instances[0].throttle
	throttle.RecordAnswer(spokethrottle.Server{Name: "s", Generation: 1}, spokethrottle.Limit{IsNamed: true, PerSecond: 1}, true)
	require.Equal(t, 1, throttle.LimitedCount())
	s.now += 5 * 60 * spokeclock.Second
	require.Zero(t, throttle.LimitedCount())
}

// TestExtremeLimits guards against limits that no integer holds. Converting them gives
// different numbers on different machines, and on some only one instance got a part.
func TestExtremeLimits(t *testing.T) {
	for limit, wantsAll := range map[float64]bool{1e300: true, 1e-300: false} {
		for _, self := range []string{"a", "b", "c"} {
			clock := &spokeclock.Manual{}
			clock.Advance(spokeclock.Second)
			throttle := &spokethrottle.Throttle{Clock: clock.Clock(), MembersFunc: func(string) spokethrottle.Members {
				return spokethrottle.Members{Self: self, Instances: []string{"a", "b", "c"}}
			}}
			server := spokethrottle.Server{Name: "s", Generation: 1}
			throttle.Merge(spokethrottle.News{Limits: []spokethrottle.LimitNews{{Server: "s", Generation: 1, PerSecond: &limit}}}, true)
			clock.Advance(spokeclock.Second)
			require.Equal(t, wantsAll, throttle.Take(server), "limit %g at %s", limit, self)
		}
	}
}
