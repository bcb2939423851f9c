package spokefleet_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokefleet"
)

// TestDemandByDataCentre checks that work counts for the data centre whose instance received
// the request, and that the age shows how long its instances have been silent. Otherwise
// requests would leave to a data centre whose load is no longer known.
func TestDemandByDataCentre(t *testing.T) {
	var clock spokeclock.Manual
	clock.Advance(1)
	demand := &spokefleet.Demand{Clock: clock.Clock(), DataCentre: "a", DataCentreFunc: func(peer string) string {
		name, _, _ := strings.Cut(peer, "/")
		return name
	}}
	work := int64(0)
	for range 100 {
		clock.Advance(100)
		work += 200
		demand.AddEngineTime("s", 50)
		for _, peer := range []string{"a/1", "b/1", "b/2"} {
			demand.MergeCounts(peer, 1, map[string]int64{"work/s": work, "work/other": 7 * work, "unrelated": 1})
		}
	}
	clock.Advance(300)
	demand.MergeCounts("b/2", 1, nil)
	got := demand.ByDataCentre("s")
	require.Len(t, got, 2)
	// An instance that is busy for 200 of 100 ms keeps two servers busy.
	require.InDelta(t, 2.5, got["a"].BusyServers(), 0.5)
	require.InDelta(t, 4, got["b"].BusyServers(), 0.8)
	require.Equal(t, 2, got["a"].Instances())
	require.Equal(t, 2, got["b"].Instances())
	require.Equal(t, spokeclock.Millis(300), got["a"].Age())
	require.Equal(t, spokeclock.Millis(300), got["b"].Age())

	clock.Advance(5100)
	demand.MergeCounts("a/1", 1, nil)
	got = demand.ByDataCentre("s")
	require.Zero(t, got["a"].Age())
	require.Equal(t, spokeclock.Millis(5400), got["b"].Age(), "all instances are silent")
	require.Less(t, got["b"].BusyServers(), 0.5)
	require.Nil(t, (&spokefleet.Demand{}).ByDataCentre("s"))
}

// TestDemandOfRuns guards against a run of a peer whose counters, which begin at zero, are
// compared with those of the run before.
func TestDemandOfRuns(t *testing.T) {
	var clock spokeclock.Manual
	clock.Advance(1)
	demand := &spokefleet.Demand{Clock: clock.Clock()}
	report := func(generation, work int64) { demand.MergeCounts("p", generation, map[string]int64{"work/s": work}) }
	report(1, 100)
	report(2, 50_000)
	require.Zero(t, demand.BusyServers("s"), "the first count of a run is only the basis of the next increase")
	report(2, 60_000)
	require.Positive(t, demand.BusyServers("s"))
}
