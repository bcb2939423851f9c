package spokebackend_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mulberryspoke.example/mulberryspoke/spokebackend"
	"mulberryspoke.example/mulberryspoke/spokecase"
	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokecloud"
	"mulberryspoke.example/mulberryspoke/spokeengine"
)

// nextRunCase is what becomes known of the first run of a server, after its next run is
// listed if it is late.
type nextRunCase struct {
	Name string `yaml:"name"`
	Late bool   `yaml:"late"`
	// Running and Waiting are a load report, Pause is the time for which the run asks for no
	// requests, and Failed is whether its request fails.
	Running int               `yaml:"running"`
	Waiting int               `yaml:"waiting"`
	Pause   spokeclock.Millis `yaml:"pause_millis"`
	Failed  bool              `yaml:"failed"`
	// Removed means that it is marked for removal.
	Removed bool `yaml:"removed"`
}

// TestNextRun guards against the next run of a server being taken for busy, failed, paused or
// removed, because the run before was.
func TestNextRun(t *testing.T) {
	for _, c := range spokecase.Read[[]nextRunCase](t, "testdata/next_runs.yaml") {
		t.Run(c.Name, func(t *testing.T) { c.run(t) })
	}
}

func (c nextRunCase) run(t *testing.T) {
	clock := &spokeclock.Manual{}
	clock.Advance(spokeclock.Second)
	registry := &spokebackend.Registry{DataCentre: "a", Clock: clock.Clock(), ListIsAuthoritative: true}
	list := func(generation int64) {
		tested := newServer("tested")
		tested.Generation = generation
		registry.UpdateInstances([]spokecloud.Instance{tested, newServer("fresh")})
	}
	list(1)
	attempt := begin(t, registry, "tested")
	if c.Late {
		list(2)
	}
	if c.Running+c.Waiting > 0 {
		registry.RecordLoad("tested", 1, spokeengine.Load{Running: c.Running, Waiting: c.Waiting, Slots: 1, WorkTime: 400})
	}
	if c.Pause > 0 {
		registry.PauseServer("tested", 1, c.Pause)
	}
	if c.Removed {
		registry.MarkForRemoval("tested", spokebackend.Removal{Source: spokebackend.SourceAnswer, Generation: 1})
	}
	if c.Failed {
		attempt.Fail()
	}
	list(2)
	candidates := registry.Candidates("s", "")
	fresh, tested := candidates[0], candidates[1]
	fresh.Name = tested.Name
	require.Equal(t, fresh, tested)
}
