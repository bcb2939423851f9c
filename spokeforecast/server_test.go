package spokeforecast_test

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"mulberryspoke.example/mulberryspoke/spokecase"
	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeforecast"
)

type serverCase struct {
	Name string `yaml:"name"`
	// Gaps are the gaps between the events of one answer, in milliseconds, with the server's
	// batch. The median of its service is 40 at a batch of none.
	Gaps  []spokeclock.Millis `yaml:"gaps"`
	Batch int                 `yaml:"batch"`
	// SlowWrites are the numbers of gaps before which the caller didn't read.
	SlowWrites []int `yaml:"slow_writes"`
	// WorkTimes are what the server reports, one every Interval.
	WorkTimes []int             `yaml:"work_times"`
	Interval  spokeclock.Millis `yaml:"interval_millis"`
	// Wait is the time from the last of them to the check.
	Wait spokeclock.Millis `yaml:"wait_millis"`
	// Usual and Momentary are the least and the greatest delay factors.
	Usual     [2]float64 `yaml:"usual"`
	Momentary [2]float64 `yaml:"momentary"`
}

const medianGap = 40

// TestDelayFactors guards against servers that seem slow or fast for what is not theirs: their
// batch, one stall, a neighbour's moment, reports out of range or old evidence.
func TestDelayFactors(t *testing.T) {
	for _, c := range spokecase.Read[[]serverCase](t, "testdata/servers.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			var server spokeforecast.Server
			var blocks spokeforecast.Blocks
			now := spokeclock.Second
			for i, gap := range c.Gaps {
				if slices.Contains(c.SlowWrites, i) {
					blocks.Skip()
				}
				now += gap
				blocks.Add(&server, gap, c.Batch, now)
			}
			blocks.End(&server, now)
			for _, workTime := range c.WorkTimes {
				now += c.Interval
				server.RecordWorkTime(workTime, now)
			}
			now += c.Wait
			requireBetween(t, c.Usual, server.DelayFactor(medianGap, now))
			requireBetween(t, c.Momentary, server.MomentaryDelay(now))
		})
	}
}

func requireBetween(t *testing.T, bounds [2]float64, got float64) {
	t.Helper()
	require.GreaterOrEqual(t, got, bounds[0])
	require.LessOrEqual(t, got, bounds[1])
}
