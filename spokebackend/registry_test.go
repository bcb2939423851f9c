package spokebackend_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mulberryspoke.example/mulberryspoke/spokebackend"
	"mulberryspoke.example/mulberryspoke/spokecase"
	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokecloud"
)

const (
	usualGap      = 4 * spokeclock.Millis(1)
	usualServers  = 5
	slowThreshold = 2.5
)

type slownessCase struct {
	Name string              `yaml:"name"`
	Gaps []spokeclock.Millis `yaml:"gaps"`
	// Slow is when the server counts as slow: never, at the end, or at some time
	// before the end.
	Slow string `yaml:"slow"`
}

// TestSlowness checks which series of gaps between tokens make a server count as
// slow. A process that waits for the processor must not make a healthy server
// look slow.
func TestSlowness(t *testing.T) {
	for _, c := range spokecase.Read[[]slownessCase](t, "testdata/slowness.yaml") {
		t.Run(c.Name, func(t *testing.T) { c.run(t) })
	}
}

func (c slownessCase) run(t *testing.T) {
	var clock spokeclock.Manual
	clock.Advance(1)
	registry := &spokebackend.Registry{DataCentre: "a", Clock: clock.Clock()}
	instances := []spokecloud.Instance{newServer("tested")}
	for i := range usualServers {
		instances = append(instances, newServer(string(rune('a'+i))))
	}
	registry.UpdateInstances(instances)
	for _, instance := range instances[1:] {
		attempt := begin(t, registry, instance.Name)
		attempt.RecordToken(true)
		for range usualServers {
			clock.Advance(usualGap)
			attempt.RecordToken(false)
		}
	}
	attempt := begin(t, registry, "tested")
	attempt.RecordToken(true)
	slow := "never"
	for _, gap := range c.Gaps {
		clock.Advance(gap)
		attempt.RecordToken(false)
		switch {
		case attempt.Slowness() >= slowThreshold:
			slow = "at_end"
		case slow == "at_end":
			slow = "before_end"
		}
	}
	require.Equal(t, c.Slow, slow, "slowness %.2f", attempt.Slowness())
}

func newServer(name string) spokecloud.Instance {
	return spokecloud.Instance{Name: name, Role: spokecloud.RoleBackend, Service: "s", DataCentre: "a", State: spokecloud.StateRunning, Slots: 4}
}

func begin(t *testing.T, registry *spokebackend.Registry, server string) *spokebackend.Attempt {
	attempt, begun := registry.BeginAttempt(server, false, func(spokebackend.Removal) {})
	require.True(t, begun)
	return attempt
}
