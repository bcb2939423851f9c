package spokemember_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"mulberryspoke.example/mulberryspoke/spokecloud"
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
