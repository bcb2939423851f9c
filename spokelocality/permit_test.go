package spokelocality_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mulberryspoke.example/mulberryspoke/spokecase"
	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokelocality"
)

type prefixCase struct {
	Name         string   `yaml:"name"`
	Prefixes     uint64   `yaml:"prefixes"`
	PerSecond    int      `yaml:"per_second"`
	Instances    int      `yaml:"instances"`
	Servers      float64  `yaml:"servers"`
	LocalServers *float64 `yaml:"local_servers"`
	CacheTokens  int      `yaml:"cache_tokens"`
	IsLocal      bool     `yaml:"is_local"`
}

// TestPrefixes checks where shared prefixes are cached. It guards against requests that
// leave although reading the prefix once more would cost little, and against prefixes that
// are read again for nearly each request.
func TestPrefixes(t *testing.T) {
	for _, c := range spokecase.Read[[]prefixCase](t, "testdata/prefixes.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			var clock spokeclock.Manual
			clock.Advance(1)
			router := newRouter(&clock)
			var permit spokelocality.Permit
			changes, wasLocal := 0, false
			for i := range 20 * c.PerSecond {
				if router.IsDue(testService) {
					router.Observe(testService, c.observation())
				}
				permit = router.Permit(testService, spokelocality.Kind{
					Route: "r", RequestBytes: 48000, FirstEventTarget: 2500, Work: 200, PromptTokens: 5382 + 6610, SharedPrefixTokens: 5382, PrefixKey: 1 + uint64(i)%c.Prefixes,
				})
				if permit.HasLocalPrefixes() != wasLocal {
					changes, wasLocal = changes+1, !wasLocal
				}
				clock.Advance(spokeclock.Second / spokeclock.Millis(c.PerSecond))
			}
			require.Equal(t, c.IsLocal, permit.HasLocalPrefixes())
			require.LessOrEqual(t, changes, 2)
			require.Equal(t, !c.IsLocal, permit.AllowsPrefix("b"), "without a share, only prefixes let requests leave")
		})
	}
}

func (c prefixCase) observation() spokelocality.Observation {
	observation := spokelocality.Observation{CacheTokens: c.CacheTokens}
	for _, name := range dataCentreNames {
		d := spokelocality.DataCentre{Name: name, Servers: c.Servers, Busy: c.Servers / 4, Queued: queuedAt(c.Servers/4, c.Servers), Instances: c.Instances, Age: spokeclock.Second}
		if name == "a" && c.LocalServers != nil {
			d.Servers = *c.LocalServers
		}
		observation.DataCentres = append(observation.DataCentres, d)
	}
	return observation
}

type costCase struct {
	Name         string            `yaml:"name"`
	RoundTrip    spokeclock.Millis `yaml:"round_trip"`
	Price        spokeclock.Millis `yaml:"megabyte_price"`
	RequestBytes int               `yaml:"request_bytes"`
	AnswerBytes  int               `yaml:"answer_bytes"`
	// Good and Bad are the answers of the other data centre.
	Good int     `yaml:"good"`
	Bad  int     `yaml:"bad"`
	Cost float64 `yaml:"cost"`
}

// TestLeaveCost checks what leaving costs requests of different sizes. It guards against
// one price for a long prompt with a short answer and a short one with a long answer, and
// against a lossy link that costs as much as a sound one.
func TestLeaveCost(t *testing.T) {
	for _, c := range spokecase.Read[[]costCase](t, "testdata/costs.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			var clock spokeclock.Manual
			clock.Advance(1)
			router := newRouter(&clock)
			router.Settings.RoundTrip, router.Settings.MegabytePrice = c.RoundTrip, c.Price
			router.Observe(testService, prefixCase{Servers: 8, Instances: 2}.observation())
			for range c.Good {
				router.RecordAnswer(testService, "b", true)
			}
			for range c.Bad {
				router.RecordAnswer(testService, "b", false)
			}
			if c.AnswerBytes > 0 {
				router.RecordAnswerBytes(testService, "r", c.AnswerBytes)
			}
			router.RecordAnswerBytes(testService, "other", 7_000_000)
			permit := router.Permit(testService, spokelocality.Kind{Route: "r", RequestBytes: c.RequestBytes, FirstEventTarget: 500})
			require.True(t, permit.IsActive())
			require.InDelta(t, c.Cost, permit.LeaveCost("b"), 0.01)
			require.Zero(t, permit.LeaveCost("a"))
		})
	}
}

// TestPermits checks that the permits of many requests keep to the shares, so that no more
// leave than was decided, and that none leave where nothing is known.
func TestPermits(t *testing.T) {
	var clock spokeclock.Manual
	clock.Advance(1)
	router := newRouter(&clock)
	draw := 0
	router.RandomFunc = func() float64 { draw++; return float64(draw%100) / 100 }
	permit := router.Permit(testService, spokelocality.Kind{Route: "r"})
	require.False(t, permit.IsActive())
	require.True(t, permit.Allows("b"))
	require.True(t, permit.AllowsPrefix("b"))
	require.False(t, permit.HasLocalPrefixes())
	require.Empty(t, permit.Target())

	observation := prefixCase{Servers: 8, Instances: 2}.observation()
	observation.DataCentres[0].Busy, observation.DataCentres[0].Queued = 12, queuedAt(12, 8)
	for range 10 {
		router.Observe(testService, observation)
		clock.Advance(decideInterval)
	}
	allowed := make(map[string]int)
	for range 100 {
		permit := router.Permit(testService, spokelocality.Kind{Route: "r"})
		require.True(t, permit.Allows(permit.Target()))
		for _, name := range dataCentreNames {
			if permit.Allows(name) {
				allowed[name]++
			}
		}
	}
	for name, share := range shares(router) {
		require.Greater(t, share, 0.05, name)
		require.InDelta(t, 100*share, allowed[name], 1.1, name)
	}
	require.Equal(t, 100, allowed["a"]+allowed["b"]+allowed["c"]+allowed["d"])
}
