package spokeroute_test

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"mulberryspoke.example/mulberryspoke/spokecase"
	"mulberryspoke.example/mulberryspoke/spokeconfig"
	"mulberryspoke.example/mulberryspoke/spokeroute"
)

type choiceCase struct {
	Name       string              `yaml:"name"`
	Routing    spokeconfig.Routing `yaml:"routing"`
	Long       bool                `yaml:"long"`
	Avoid      []string            `yaml:"avoid"`
	Candidates []struct {
		Name      string  `yaml:"name"`
		Remote    bool    `yaml:"remote"`
		Leaving   bool    `yaml:"leaving"`
		Suspended bool    `yaml:"suspended"`
		InFlight  int     `yaml:"in_flight"`
		Long      int     `yaml:"long"`
		Reported  int     `yaml:"reported"`
		Slowness  float64 `yaml:"slowness"`
		Trust     float64 `yaml:"trust"`
		Cached    bool    `yaml:"cached"`
	} `yaml:"candidates"`
	Server string            `yaml:"server"`
	Reason spokeroute.Reason `yaml:"reason"`
}

func (c choiceCase) offered() []spokeroute.Candidate {
	var offered []spokeroute.Candidate
	for _, given := range c.Candidates {
		candidate := spokeroute.Candidate{
			Name: given.Name, Local: !given.Remote, Draining: given.Leaving, Suspended: given.Suspended, Slots: 8,
			InFlight: given.InFlight, LongInFlight: given.Long, ReportedLoad: given.Reported, Slowness: given.Slowness, TrafficShare: given.Trust, PrefixCached: given.Cached,
		}
		if candidate.TrafficShare == 0 {
			candidate.TrafficShare = 1
		}
		offered = append(offered, candidate)
	}
	return offered
}

// TestChoices makes each choice with many seeds, since ties are broken at
// random.
func TestChoices(t *testing.T) {
	cases := spokecase.Read[[]choiceCase](t, "testdata/choices.yaml")
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			for seed := range uint64(50) {
				policy := spokeroute.Policy{Routing: c.Routing, Random: rand.New(rand.NewPCG(seed, seed))}
				decision := policy.Choose(c.offered(), spokeroute.Request{LongAnswer: c.Long, TriedServers: c.Avoid})
				require.Equal(t, c.Server, decision.Server())
				require.Equal(t, c.Reason, decision.Reason())
			}
		})
	}
}
