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

type poolCase struct {
	Name      string  `yaml:"name"`
	Instances int     `yaml:"instances"`
	Rate      float64 `yaml:"rate"`
	Burst     float64 `yaml:"burst"`
	Tolerance float64 `yaml:"tolerance"`
	Cost      float64 `yaml:"cost"`
	// Heartbeat is the time between counts.
	Heartbeat spokeclock.Millis `yaml:"heartbeat_millis"`
	Steps     []struct {
		// For is how long the step lasts.
		For spokeclock.Millis `yaml:"for_millis"`
		// Asked are the tokens asked for each second at each instance.
		Asked []float64 `yaml:"asked"`
		// Apart says that the instances do not hear each other.
		Apart bool `yaml:"apart"`
		// LeastShare and MostShare bound what is spent against the rate.
		LeastShare float64 `yaml:"least_share"`
		MostShare  float64 `yaml:"most_share"`
	} `yaml:"steps"`
}

const (
	poolTick  = 10 * spokeclock.Millis(1)
	poolSeeds = 10
)

// TestPool plays load on several instances that share one allotment.
func TestPool(t *testing.T) {
	for _, c := range spokecase.Read[[]poolCase](t, "testdata/pools.yaml") {
		for seed := range uint64(poolSeeds) {
			t.Run(fmt.Sprintf("%s, seed %d", c.Name, seed), func(t *testing.T) { c.play(t, seed) })
		}
	}
}

type poolPlay struct {
	poolCase
	clock     spokeclock.Manual
	pools     []*spokelimit.AllotmentLimiter
	workspace *spokeconfig.Workspace
	owed      []float64
}

func (c poolCase) play(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, seed)) //nolint:gosec // Tests repeat their chances.
	p := &poolPlay{poolCase: c, owed: make([]float64, c.Instances)}
	p.workspace = &spokeconfig.Workspace{Name: "w", Allotment: &spokeconfig.Allotment{PerSecond: c.Rate, Burst: c.Burst, CountsTokens: true}}
	for range c.Instances {
		p.pools = append(p.pools, &spokelimit.AllotmentLimiter{
			Clock: p.clock.Clock(), MemberCountFunc: func() int { return c.Instances }, RandomFunc: random.Float64, Tolerance: spokelimit.Tolerance{FixedAmount: c.Tolerance},
		})
	}
	for i, step := range c.Steps {
		spent := 0.0
		for at := spokeclock.Millis(0); at < step.For; at += poolTick {
			p.clock.Advance(poolTick)
			spent += p.ask(step.Asked)
			if !step.Apart && at%c.Heartbeat == 0 {
				p.tell()
			}
		}
		share := spent / (c.Rate * float64(step.For) / float64(spokeclock.Second))
		require.GreaterOrEqual(t, share, step.LeastShare, "step %d", i+1)
		require.LessOrEqual(t, share, step.MostShare, "step %d", i+1)
	}
}

// ask sends the requests of one tick and returns what was spent.
func (p *poolPlay) ask(asked []float64) float64 {
	spent := 0.0
	for i, pool := range p.pools {
		p.owed[i] += asked[i] * float64(poolTick) / float64(spokeclock.Second)
		for p.owed[i] >= p.Cost {
			p.owed[i] -= p.Cost
			if pool.Spend(p.workspace, p.Cost).Allowed() {
				spent += p.Cost
			}
		}
	}
	return spent
}

// tell gives each instance the others' counts.
func (p *poolPlay) tell() {
	for i, pool := range p.pools {
		counts := maps.Clone(pool.Counts())
		for j, other := range p.pools {
			if i != j {
				other.SetPeerCounts(fmt.Sprint(i), 1, counts)
			}
		}
	}
}
