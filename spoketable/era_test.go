package spoketable_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mulberryspoke.example/mulberryspoke/spoketable"
)

// TestEraTracker guards against an answer of an era that has ended and counts as one of the
// present era.
func TestEraTracker(t *testing.T) {
	var tracker spoketable.EraTracker
	require.True(t, tracker.Observe(0), "a table that doesn't tell eras")
	first := tracker.Current()
	require.True(t, tracker.Observe(2))
	require.Error(t, first.Err())
	second := tracker.Current()
	require.False(t, tracker.Observe(1))
	require.False(t, tracker.Observe(0))
	require.True(t, tracker.Observe(2))
	require.Equal(t, spoketable.Era(2), tracker.Era())
	require.NoError(t, second.Err())
	require.True(t, tracker.Observe(3))
	require.Error(t, second.Err())
	require.NoError(t, tracker.Current().Err())
}
