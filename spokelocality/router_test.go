package spokelocality_test

import (
	"cmp"
	"testing"

	"github.com/stretchr/testify/require"

	"mulberryspoke.example/mulberryspoke/spokecase"
	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokelocality"
)

const (
	testService    = "s"
	decideInterval = 500 * spokeclock.Millis(1)
	slotsPerServer = 48
	// requestMillis is the time for which a request keeps a server busy.
	requestMillis = 150.0
)

type givenDataCentre struct {
	Servers     float64           `yaml:"servers"`
	Busy        float64           `yaml:"busy"`
	Queued      *float64          `yaml:"queued"`
	Instances   int               `yaml:"instances"`
	Age         spokeclock.Millis `yaml:"age"`
	Unreachable bool              `yaml:"unreachable"`
}

func (g givenDataCentre) dataCentre(name string) spokelocality.DataCentre {
	queued := queuedAt(g.Busy, g.Servers)
	if g.Queued != nil {
		queued = *g.Queued
	}
	return spokelocality.DataCentre{
		Name: name, Servers: g.Servers, Busy: g.Busy, Queued: queued, Instances: g.Instances, Age: g.Age, IsUnreachable: g.Unreachable,
	}
}

// queuedAt returns the work that servers have yet to do if requests come at random.
func queuedAt(busy, servers float64) float64 {
	if servers <= 0 {
		return 0
	}
	load := min(0.95, busy/servers)
	return servers * requestMillis * load / (1 - load)
}

type shareStep struct {
	Millis      spokeclock.Millis          `yaml:"millis"`
	DataCentres map[string]givenDataCentre `yaml:"data_centres"`
	// Answers are the own answers before each decision.
	Answers map[string]struct {
		Good int `yaml:"good"`
		Bad  int `yaml:"bad"`
	} `yaml:"answers"`
	// Shares are the least and the largest share of each data centre, Total those of all.
	Shares map[string][2]float64 `yaml:"shares"`
	Total  *[2]float64           `yaml:"total"`
}

type shareCase struct {
	Name string `yaml:"name"`
	// Prefill is the part of a request's work before its first token, in milliseconds. Zero
	// means all of it.
	Prefill float64     `yaml:"prefill_millis"`
	Steps   []shareStep `yaml:"steps"`
}

// TestShares checks how much leaves under load patterns of several data centres. It
// guards against requests that leave although that doesn't pay, that stay although others
// have servers to spare, and that push another data centre over its capacity.
func TestShares(t *testing.T) {
	for _, c := range spokecase.Read[[]shareCase](t, "testdata/shares.yaml") {
		t.Run(c.Name, func(t *testing.T) { c.run(t) })
	}
}

func (c shareCase) run(t *testing.T) {
	var clock spokeclock.Manual
	clock.Advance(1)
	router := newRouter(&clock)
	router.ShareChangedFunc = func(change spokelocality.Change) {
		t.Logf("%+v", change)
		require.NotEqual(t, change.Before, change.After)
	}
	router.Permit(testService, spokelocality.Kind{Route: "r", FirstEventTarget: 500, Work: requestMillis, PrefillWork: cmp.Or(c.Prefill, requestMillis)})
	known := make(map[string]givenDataCentre)
	for i, step := range c.Steps {
		for name, given := range step.DataCentres {
			known[name] = given
		}
		for end := clock.Clock().Now() + step.Millis; clock.Clock().Now() < end; clock.Advance(decideInterval) {
			step.answer(router)
			before := shares(router)
			require.True(t, router.IsDue(testService))
			router.Observe(testService, observe(known))
			require.False(t, router.IsDue(testService))
			if known["a"].Servers > 0 {
				requireBounded(t, before, shares(router))
			}
		}
		step.check(t, i, shares(router))
	}
}

func newRouter(clock *spokeclock.Manual) *spokelocality.Router {
	return &spokelocality.Router{DataCentre: "a", Settings: spokelocality.DefaultSettings(), Clock: clock.Clock(), RandomFunc: func() float64 { return 0.5 }}
}

func observe(known map[string]givenDataCentre) spokelocality.Observation {
	var observation spokelocality.Observation
	for name, given := range known {
		observation.DataCentres = append(observation.DataCentres, given.dataCentre(name))
	}
	return observation
}

func (s shareStep) answer(router *spokelocality.Router) {
	for name, answers := range s.Answers {
		for range answers.Good {
			router.RecordAnswer(testService, name, true)
		}
		for range answers.Bad {
			router.RecordAnswer(testService, name, false)
		}
	}
}

func shares(router *spokelocality.Router) map[string]float64 {
	byDataCentre := make(map[string]float64)
	for _, share := range router.Shares() {
		byDataCentre[share.DataCentre] = share.Part
	}
	return byDataCentre
}

// requireBounded checks that the shares don't rise faster than the settings allow.
func requireBounded(t *testing.T, before, after map[string]float64) {
	const step = 0.4
	rise := 0.0
	for name, share := range after {
		rise += max(0, share-before[name])
	}
	require.LessOrEqual(t, rise, step+1e-9)
}

func (s shareStep) check(t *testing.T, index int, got map[string]float64) {
	total := 0.0
	for name, share := range got {
		bounds := s.Shares[name]
		require.GreaterOrEqual(t, share, bounds[0], "step %d, %s", index, name)
		require.LessOrEqual(t, share, bounds[1], "step %d, %s", index, name)
		total += share
	}
	for name := range s.Shares {
		require.Contains(t, got, name, "step %d", index)
	}
	if s.Total != nil {
		require.GreaterOrEqual(t, total, s.Total[0], "step %d, total", index)
		require.LessOrEqual(t, total, s.Total[1]+1e-9, "step %d, total", index)
	}
}
