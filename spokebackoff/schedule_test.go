package spokebackoff_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mulberryspoke.example/mulberryspoke/spokebackoff"
	"mulberryspoke.example/mulberryspoke/spokecase"
	"mulberryspoke.example/mulberryspoke/spokeclock"
)

type scheduleCase struct {
	Name  string `yaml:"name"`
	Steps []struct {
		At        spokeclock.Millis `yaml:"at_millis"`
		Lane      string            `yaml:"lane"`
		Cost      float64           `yaml:"cost"`
		TimeLeft  spokeclock.Millis `yaml:"left_millis"`
		Wait      spokeclock.Millis `yaml:"wait_millis"`
		PerSecond float64           `yaml:"per_second"`
		// After is the expected time to come back after, and NoRoom whether none is expected.
		After  spokeclock.Millis `yaml:"after_millis"`
		NoRoom bool              `yaml:"no_room"`
	} `yaml:"steps"`
}

// TestSchedule guards against refused callers that are told the same time, or one past what
// they honour as if there were room.
func TestSchedule(t *testing.T) {
	for _, c := range spokecase.Read[[]scheduleCase](t, "testdata/schedules.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			var clock spokeclock.Manual
			schedule := spokebackoff.Schedule{Clock: clock.Clock(), RandomFunc: func() float64 { return 0.5 }}
			now := spokeclock.Millis(0)
			for i, step := range c.Steps {
				clock.Advance(step.At - now)
				now = step.At
				slot := schedule.Book(spokebackoff.Caller{Lane: step.Lane, Cost: step.Cost, TimeLeft: step.TimeLeft}, spokebackoff.Room{Wait: step.Wait, PerSecond: step.PerSecond})
				require.Equal(t, step.After, slot.RetryAfter(), "step %d, time", i+1)
				require.Equal(t, !step.NoRoom, slot.HasRoom(), "step %d, room", i+1)
			}
		})
	}
}
