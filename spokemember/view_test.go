package spokemember_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokecloud"
	"mulberryspoke.example/mulberryspoke/spokeconfig"
	"mulberryspoke.example/mulberryspoke/spokemember"
)

// TestFirstPeerKeepsSummaries checks that summaries which arrive before the list of
// instances are kept.
func TestFirstPeerKeepsSummaries(t *testing.T) {
	view := &spokemember.View{Self: spokemember.Identity{Name: "a", DataCentre: "one"}}
	view.MergeDataCentres([]spokemember.DataCentreSummary{{DataCentre: "two", Instances: 3}})
	view.UpdateInstances([]spokecloud.Instance{{Name: "b", Role: spokecloud.RoleEntry, DataCentre: "one", State: spokecloud.StateRunning}})
	require.Len(t, view.DataCentres(), 2)
}

// TestDutiesGoToLargeInstances checks that duties for a whole data centre fall to its
// largest instances first, and to another one when they are gone.
func TestDutiesGoToLargeInstances(t *testing.T) {
	view := &spokemember.View{Self: spokemember.Identity{Name: "self", DataCentre: "one", Cores: 0.2}}
	for i := range 20 {
		peer := spokemember.Identity{Name: fmt.Sprint(i), DataCentre: "one", Cores: 0.2}
		if i < 2 {
			peer.Cores = 0.8
		}
		require.True(t, view.RecordHello(peer, 0))
		view.RecordHeartbeat(peer.Name, 1, false, 1000)
	}
	large := []string{"0", "1"}
	for duty := range 10 {
		require.ElementsMatch(t, large, view.DutyOwners(fmt.Sprint(duty))[:2])
	}
	view.RemovePeer("0")
	require.Equal(t, "1", view.DutyOwners("a")[0])
	view.RemovePeer("1")
	require.NotContains(t, large, view.DutyOwners("a")[0])
}

// TestNewestSummaryCounts guards against a summary that replaces a newer one which arrived
// before on another way.
func TestNewestSummaryCounts(t *testing.T) {
	var clock spokeclock.Manual
	clock.Advance(60 * spokeclock.Second)
	view := &spokemember.View{Self: spokemember.Identity{Name: "a", DataCentre: "one"}, Clock: clock.Clock()}
	for _, step := range []struct {
		summary spokemember.DataCentreSummary
		inForce spokeconfig.Revision
	}{
		{summary: spokemember.DataCentreSummary{DataCentre: "two", Revision: 5, Age: 300}, inForce: 5},
		{summary: spokemember.DataCentreSummary{DataCentre: "two", Revision: 4, Age: 900}, inForce: 5},
		{summary: spokemember.DataCentreSummary{DataCentre: "two", Revision: 6, Age: 100}, inForce: 6},
		{summary: spokemember.DataCentreSummary{DataCentre: "one", Revision: 9}, inForce: 6},
	} {
		view.MergeDataCentres([]spokemember.DataCentreSummary{step.summary})
		summaries := view.DataCentresAt(7)
		require.Len(t, summaries, 2)
		require.Equal(t, spokeconfig.Revision(7), summaries[0].Revision)
		require.Equal(t, step.inForce, summaries[1].Revision)
	}
}
