package spokequarantine_test

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokequarantine"
)

// TestOddAges guards against a crash of long ago that is passed on as a new one, as its age
// has overflowed.
func TestOddAges(t *testing.T) {
	clock := &spokeclock.Manual{}
	clock.Advance(spokeclock.Second)
	quarantine := &spokequarantine.Quarantine{Clock: clock.Clock()}
	quarantine.Merge(spokequarantine.News{Suspects: []spokequarantine.SuspectNews{{
		Subject: "part", Crashes: []spokequarantine.CrashNews{{Server: 1, Request: 2, Age: math.MaxInt64}, {Server: 2, Request: 3, Age: math.MinInt64}},
	}}}, true)
	clock.Advance(spokeclock.Second)
	news, _, _ := quarantine.NewsSince(0, true)
	require.Len(t, news.Suspects, 1)
	var ages []spokeclock.Millis
	for _, crash := range news.Suspects[0].Crashes {
		ages = append(ages, crash.Age)
	}
	require.Equal(t, []spokeclock.Millis{3601 * spokeclock.Second, spokeclock.Second}, ages)
}
