package spokeserve

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mulberryspoke.example/mulberryspoke/spokememory"
)

// TestRetainedAnswer guards against an answer that is still to be recorded and no longer
// charged, many of which exhaust the memory while they can't be recorded, and against a
// charge that stays.
func TestRetainedAnswer(t *testing.T) {
	for _, recordsFirst := range []bool{false, true} {
		budget := &spokememory.Budget{Limit: 1 << 20}
		details := &requestDetails{reservation: budget.Open("w", 0)}
		require.True(t, details.reservation.HoldAnswer(1000))
		recorded := details.retain()
		first, last := details.release, recorded
		if recordsFirst {
			first, last = recorded, details.release
		}
		first()
		require.EqualValues(t, 1000, budget.Held())
		last()
		require.Zero(t, budget.Held())
	}
}
