package spokeforecast_test

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"mulberryspoke.example/mulberryspoke/spokecase"
	"mulberryspoke.example/mulberryspoke/spokeforecast"
)

type fitCase struct {
	Name string `yaml:"name"`
	// Answers have prompts of 500 to 12,000 tokens at loads of 0 to 11. Their first events come
	// after the time by Rate, Running and First, up to Spread times more or less, at servers
	// of which a third each has a factor of 0.625, 1 and 1.667.
	Answers int     `yaml:"answers"`
	Rate    float64 `yaml:"rate"`
	Running float64 `yaml:"running_millis"`
	First   float64 `yaml:"first_millis"`
	Spread  float64 `yaml:"spread"`
	// Lost is the share of first events that come 30 s late.
	Lost float64 `yaml:"lost"`
	// The fitted figures are between these.
	WantRate    [2]float64 `yaml:"want_rate"`
	WantRunning [2]float64 `yaml:"want_running_millis"`
	WantFirst   [2]float64 `yaml:"want_first_millis"`
}

// TestFit guards against figures of a service's engines that rest on too few answers, on
// outliers or on the speeds of the servers that happened to answer.
func TestFit(t *testing.T) {
	for _, c := range spokecase.Read[[]fitCase](t, "testdata/engines.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 1))
			var fit spokeforecast.Fit
			for i := range c.Answers {
				first := spokeforecast.First{Tokens: 500 + random.IntN(11500), Load: random.IntN(12), Factor: []float64{0.625, 1, 1.667}[i%3]}
				first.Delay = first.Factor * (float64(first.Tokens)/c.Rate + float64(first.Load)*c.Running + c.First) * (1 + c.Spread*(2*random.Float64()-1))
				if random.Float64() < c.Lost {
					first.Delay += 30000
				}
				fit.Record(first)
			}
			engine := fit.Engine()
			requireBetween(t, c.WantRate, engine.PrefillRate())
			requireBetween(t, c.WantRunning, engine.RunningDelay())
			requireBetween(t, c.WantFirst, engine.FirstDelay())
		})
	}
}

// TestTime checks the work that the autoscaler plans for against figures worked out by hand,
// and that it shrinks as servers are faster.
func TestTime(t *testing.T) {
	require.EqualValues(t, 378, spokeforecast.Time(12000, 300, 8, 1))
	require.EqualValues(t, 189, spokeforecast.Time(12000, 300, 8, 2))
	require.EqualValues(t, spokeforecast.Time(0, 300, 24, 1), spokeforecast.Time(0, 300, 48, 1))
	require.EqualValues(t, 900, spokeforecast.Time(0, 300, 0, 1))
}
