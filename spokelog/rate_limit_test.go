package spokelog_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokelog"
)

// TestRateLimitedWriter checks that the lines of a second are limited and that
// dropped lines are reported.
func TestRateLimitedWriter(t *testing.T) {
	var out bytes.Buffer
	var clock spokeclock.Manual
	clock.Advance(spokeclock.Second)
	b := &spokelog.RateLimitedWriter{LinesPerSecond: 3, Clock: clock.Clock(), Out: &out}
	for range 10 {
		n, err := b.Write([]byte("line\n"))
		require.NoError(t, err)
		require.Equal(t, 5, n)
	}
	require.Equal(t, 3, strings.Count(out.String(), "line\n"))
	clock.Advance(spokeclock.Second)
	_, _ = b.Write([]byte("line\n"))
	require.Contains(t, out.String(), `"dropped":7`)
	require.Equal(t, 4, strings.Count(out.String(), "line\n"))
}
