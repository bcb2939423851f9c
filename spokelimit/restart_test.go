package spokelimit_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"mulberryspoke.example/mulberryspoke/spokecase"
	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeconfig"
	"mulberryspoke.example/mulberryspoke/spokelimit"
)

const (
	// membersAfter is the time until a started instance knows the members.
	membersAfter      = 60 * spokeclock.Millis(1)
	restartHeartbeat  = 140 * spokeclock.Millis(1)
	restartWindow     = 8 * spokeclock.Second
	restartOverage    = 0.1
	restartMinShareAt = 4 * spokeclock.Second
)

type restartCase struct {
	Name      string  `yaml:"name"`
	Instances int     `yaml:"instances"`
	Rate      float64 `yaml:"rate"`
	Burst     float64 `yaml:"burst"`
	Tolerance float64 `yaml:"tolerance"`
	Cost      float64 `yaml:"cost"`
	// DemandPerSecond is the cost of each instance's requests in a second.
	DemandPerSecond float64           `yaml:"asked"`
	LinksAfter      spokeclock.Millis `yaml:"links_after_millis"`
	Restarts        []struct {
		At    spokeclock.Millis `yaml:"at_millis"`
		Count int               `yaml:"count"`
	} `yaml:"restarts"`
	Lasts spokeclock.Millis `yaml:"lasts_millis"`
	// MinShare is the least part of the rate that is spent, from restartMinShareAt on.
	MinShare float64 `yaml:"min_share"`
}

// TestRestartedLimiters guards against instances that start again together and each spend
// from the whole allotment until they hear of each other.
func TestRestartedLimiters(t *testing.T) {
	for _, c := range spokecase.Read[[]restartCase](t, "testdata/restarts.yaml") {
		for seed := range uint64(simulationSeeds) {
			t.Run(fmt.Sprintf("%s, seed %d", c.Name, seed), func(t *testing.T) { c.simulate(t, seed) })
		}
	}
}

// restartInstance is one instance in its present run.
type restartInstance struct {
	limiter    *spokelimit.AllotmentLimiter
	generation int64
	startedAt  spokeclock.Millis
	pending    float64
	// heard has the instances that this one has heard in its present run.
	heard map[*restartInstance]bool
}

type restartSimulation struct {
	restartCase
	clock     spokeclock.Manual
	random    *rand.Rand
	instances []*restartInstance
	workspace *spokeconfig.Workspace
	// spent has what all instances have spent in each tick.
	spent []float64
}

func (c restartCase) simulate(t *testing.T, seed uint64) {
	s := &restartSimulation{restartCase: c, random: rand.New(rand.NewPCG(seed, seed))} //nolint:gosec // The tests need repeatable random numbers.
	s.workspace = &spokeconfig.Workspace{Name: "w", Allotment: &spokeconfig.Allotment{Rate: c.Rate, Burst: c.Burst, CountsTokens: true}}
	for range c.Instances {
		// Requests of different instances don't arrive at the same moment.
		s.instances = append(s.instances, &restartInstance{pending: s.random.Float64() * c.Cost})
	}
	s.restart(c.Instances)
	s.clock.Advance(10 * spokeclock.Second)
	trafficFrom := s.clock.Clock().Now()
	next := 0
	for at := spokeclock.Millis(0); at < c.Lasts; at += simulationTick {
		if next < len(c.Restarts) && at >= c.Restarts[next].At {
			s.restart(c.Restarts[next].Count)
			next++
		}
		s.clock.Advance(simulationTick)
		s.spent = append(s.spent, s.sendRequests())
		if (s.clock.Clock().Now()-trafficFrom)%restartHeartbeat == 0 {
			s.exchangeCounts()
		}
	}
	s.check(t)
}

// restart starts some instances again, those that have run longest first.
func (s *restartSimulation) restart(count int) {
	for _, instance := range s.instances[:count] {
		instance.startedAt = s.clock.Clock().Now()
		instance.generation++
		instance.heard = make(map[*restartInstance]bool)
		instance.limiter = &spokelimit.AllotmentLimiter{
			Clock: &spokeclock.Clock{NowFunc: func() spokeclock.Millis { return s.age(instance) }}, MemberCountsFunc: func() (int, int) { return s.memberCount(instance), s.unheardCount(instance) }, RandomFunc: s.random.Float64,
			Tolerance: spokelimit.Tolerance{Window: restartWindow, Fraction: restartOverage, FixedAmount: s.Tolerance},
		}
	}
	s.instances = append(s.instances[count:], s.instances[:count]...)
}

// age returns the time since the start of an instance's run, which is what its clock shows.
func (s *restartSimulation) age(instance *restartInstance) spokeclock.Millis {
	return s.clock.Clock().Now() - instance.startedAt
}

func (s *restartSimulation) memberCount(instance *restartInstance) int {
	if s.age(instance) < membersAfter {
		return 0
	}
	return s.Instances
}

// unheardCount returns how many others an instance has not heard in its present run.
func (s *restartSimulation) unheardCount(instance *restartInstance) int {
	count := 0
	for _, other := range s.instances {
		if other != instance && !instance.heard[other] {
			count++
		}
	}
	return count
}

func (s *restartSimulation) sendRequests() float64 {
	spent := 0.0
	for _, instance := range s.instances {
		instance.pending += s.DemandPerSecond * float64(simulationTick) / float64(spokeclock.Second)
		for instance.pending >= s.Cost {
			instance.pending -= s.Cost
			if instance.limiter.Spend(s.workspace, spokelimit.Route{}, s.Cost).Allowed() {
				spent += s.Cost
			}
		}
	}
	return spent
}

func (s *restartSimulation) exchangeCounts() {
	for i, instance := range s.instances {
		counts := maps.Clone(instance.limiter.Counts())
		for j, other := range s.instances {
			if i != j && min(s.age(instance), s.age(other)) >= s.LinksAfter {
				other.heard[instance] = true
				other.limiter.SetPeerCounts(s.nameOf(instance), instance.generation, counts)
			}
		}
	}
}

func (s *restartSimulation) nameOf(instance *restartInstance) string {
	return fmt.Sprintf("%p", instance)
}

func (s *restartSimulation) check(t *testing.T) {
	seconds := float64(restartWindow) / float64(spokeclock.Second)
	allowed := (s.Rate*seconds+s.Burst)*(1+restartOverage) + s.Tolerance
	ticks := int(restartWindow / simulationTick)
	inWindow := 0.0
	for i, spent := range s.spent {
		inWindow += spent
		if i >= ticks {
			inWindow -= s.spent[i-ticks]
		}
		require.LessOrEqual(t, inWindow, allowed, "spent in the eight seconds up to %d ms", spokeclock.Millis(i)*simulationTick)
	}
	total, from := 0.0, int(restartMinShareAt/simulationTick)
	for _, spent := range s.spent[from:] {
		total += spent
	}
	rate := s.Rate * float64(len(s.spent)-from) * float64(simulationTick) / float64(spokeclock.Second)
	require.GreaterOrEqual(t, total, s.MinShare*rate, "spent of the rate")
}
