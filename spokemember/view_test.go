package spokemember_test

import (
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
