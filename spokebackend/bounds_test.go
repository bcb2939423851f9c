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

type reportCase struct {
	Name string `yaml:"name"`
	// Listed, Reported and PeerSlots are the slots of one of two servers by the list, by
	// its own report and by a peer. Running, Waiting and Age are the rest of its report.
	Listed    int               `yaml:"listed"`
	Reported  int               `yaml:"reported"`
	PeerSlots int               `yaml:"peer_slots"`
	Running   int               `yaml:"running"`
	Waiting   int               `yaml:"waiting"`
	Age       spokeclock.Millis `yaml:"age_millis"`
	// Remaining is the time until the server is removed, as a notice has it.
	Remaining spokeclock.Millis `yaml:"remaining_millis"`
	// Slots, Load and ReportAge are what the server then counts as, and Gone the time
	// that peers are told.
	Slots     int               `yaml:"slots"`
	Load      int               `yaml:"load"`
	ReportAge spokeclock.Millis `yaml:"report_age_millis"`
	Gone      spokeclock.Millis `yaml:"gone_millis"`
}

// TestOddReports guards against numbers of one server that make the capacity of its whole
// service negative, or its load.
func TestOddReports(t *testing.T) {
	for _, c := range spokecase.Read[[]reportCase](t, "testdata/reports.yaml") {
		t.Run(c.Name, func(t *testing.T) { c.run(t) })
	}
}

func (c reportCase) run(t *testing.T) {
	clock := &spokeclock.Manual{}
	clock.Advance(spokeclock.Second)
	registry := &spokebackend.Registry{DataCentre: "a", Clock: clock.Clock()}
	odd := newServer("odd")
	odd.Slots = c.Listed
	registry.UpdateInstances([]spokecloud.Instance{odd, newServer("other")})
	if c.PeerSlots != 0 {
		registry.SetPeerSlots(spokebackend.IDOf("odd"), c.PeerSlots)
	}
	registry.RecordLoad("odd", 0, spokeengine.Load{Slots: c.Reported, Running: c.Running, Waiting: c.Waiting, Age: c.Age})
	for _, candidate := range registry.Candidates("s", "") {
		if candidate.Name == "odd" {
			require.Equal(t, c.Slots, candidate.Slots)
			require.Equal(t, c.Load, candidate.ReportedLoad)
			require.Equal(t, c.ReportAge, candidate.ReportAge)
		}
	}
	require.GreaterOrEqual(t, registry.Capacity("s").Slots(), c.Slots)
	if c.Remaining != 0 {
		registry.MarkForRemoval("odd", spokebackend.Removal{Source: spokebackend.SourceNotice, Remaining: c.Remaining})
		require.Equal(t, c.Gone, registry.Removals()["odd"].Remaining)
	}
}
