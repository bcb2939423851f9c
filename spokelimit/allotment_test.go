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

type allotmentCase struct {
	Name      string  `yaml:"name"`
	Instances int     `yaml:"instances"`
	Rate      float64 `yaml:"rate"`
	Burst     float64 `yaml:"burst"`
	Tolerance float64 `yaml:"tolerance"`
	Cost      float64 `yaml:"cost"`
	// HeartbeatInterval is the time between two exchanges of counts.
	HeartbeatInterval spokeclock.Millis `yaml:"heartbeat_millis"`
	Steps             []struct {
		// Duration is the length of the step.
		Duration spokeclock.Millis `yaml:"for_millis"`
		// DemandPerSecond is, for each instance, the cost of its requests in a
		// second.
		DemandPerSecond []float64 `yaml:"asked"`
		// IsPartitioned stops the exchange of counts.
		IsPartitioned bool `yaml:"apart"`
		// MinShare and MaxShare bound what is spent, as a multiple of the rate.
		MinShare float64 `yaml:"least_share"`
		MaxShare float64 `yaml:"most_share"`
	} `yaml:"steps"`
}

const (
	simulationTick  = 10 * spokeclock.Millis(1)
	simulationSeeds = 10
)

// TestAllotmentLimiter simulates load on several instances that share one
// allotment, and bounds what they spend in each step.
func TestAllotmentLimiter(t *testing.T) {
	for _, c := range spokecase.Read[[]allotmentCase](t, "testdata/pools.yaml") {
		for seed := range uint64(simulationSeeds) {
			t.Run(fmt.Sprintf("%s, seed %d", c.Name, seed), func(t *testing.T) { c.simulate(t, seed) })
		}
	}
}

type simulation struct {
	allotmentCase
	clock     spokeclock.Manual
	limiters  []*spokelimit.AllotmentLimiter
	workspace *spokeconfig.Workspace
	// pending is, for each instance, demand that is less than one request so far.
	pending []float64
}

func (c allotmentCase) simulate(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, seed)) //nolint:gosec // The tests need repeatable random numbers.
	s := &simulation{allotmentCase: c, pending: make([]float64, c.Instances)}
	s.workspace = &spokeconfig.Workspace{Name: "w", Allotment: &spokeconfig.Allotment{Rate: c.Rate, Burst: c.Burst, CountsTokens: true}}
	for range c.Instances {
		s.limiters = append(s.limiters, &spokelimit.AllotmentLimiter{
			Clock: s.clock.Clock(), MemberCountsFunc: func() (int, int) { return c.Instances, 0 }, RandomFunc: random.Float64, Tolerance: spokelimit.Tolerance{FixedAmount: c.Tolerance},
		})
	}
	for i, step := range c.Steps {
		spent := 0.0
		for at := spokeclock.Millis(0); at < step.Duration; at += simulationTick {
			s.clock.Advance(simulationTick)
			spent += s.sendRequests(step.DemandPerSecond)
			if !step.IsPartitioned && at%c.HeartbeatInterval == 0 {
				s.exchangeCounts()
			}
		}
		share := spent / (c.Rate * float64(step.Duration) / float64(spokeclock.Second))
		require.GreaterOrEqual(t, share, step.MinShare, "step %d", i+1)
		require.LessOrEqual(t, share, step.MaxShare, "step %d", i+1)
	}
}

// sendRequests sends the requests of one tick and returns the cost of those
// that were allowed.
func (s *simulation) sendRequests(demandPerSecond []float64) float64 {
	spent := 0.0
	for i, limiter := range s.limiters {
		s.pending[i] += demandPerSecond[i] * float64(simulationTick) / float64(spokeclock.Second)
		for s.pending[i] >= s.Cost {
			s.pending[i] -= s.Cost
			if limiter.Spend(s.workspace, spokelimit.Route{}, s.Cost).Allowed() {
				spent += s.Cost
			}
		}
	}
	return spent
}

// exchangeCounts passes each instance's counts to all others.
func (s *simulation) exchangeCounts() {
	for i, limiter := range s.limiters {
		counts := maps.Clone(limiter.Counts())
		for j, other := range s.limiters {
			if i != j {
				other.SetPeerCounts(fmt.Sprint(i), 1, counts)
			}
		}
	}
}
