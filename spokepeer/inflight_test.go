package spokepeer_test

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mulberryspoke.example/mulberryspoke/spokebackend"
	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokepeer"
)

// TestInFlightByServerRoundTrip checks that decoding returns what was encoded.
func TestInFlightByServerRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		inFlight := spokepeer.InFlightByServer{}
		for range rapid.IntRange(0, 50).Draw(t, "servers") {
			id := spokebackend.IDOf(rapid.String().Draw(t, "name"))
			inFlight[id] = spokebackend.InFlight{Requests: rapid.IntRange(0, 1<<20).Draw(t, "all"), LongRequests: rapid.IntRange(0, 1<<20).Draw(t, "long"), PrefillUnits: rapid.IntRange(0, 1<<20).Draw(t, "unread")}
		}
		text, err := json.Marshal(inFlight)
		require.NoError(t, err)
		var decoded spokepeer.InFlightByServer
		require.NoError(t, json.Unmarshal(text, &decoded))
		require.Equal(t, inFlight, decoded)
	})
}

// TestWithoutOutdatedPrefill checks that prefill units are omitted at the long
// heartbeat intervals of a large deployment, where they arrive after the
// prompts have been processed. Such reports diverted requests from idle
// servers, and prompts to servers that had not cached their prefix.
func TestWithoutOutdatedPrefill(t *testing.T) {
	for interval, prefillUnits := range map[spokeclock.Millis]int{140: 7, 400: 7, 1240: 0, 1620: 0} {
		inFlight := spokepeer.InFlightByServer{1: {Requests: 3, LongRequests: 1, PrefillUnits: 7}}
		require.Equal(t, spokepeer.InFlightByServer{1: {Requests: 3, LongRequests: 1, PrefillUnits: prefillUnits}}, inFlight.WithoutOutdatedPrefill(interval), "heartbeat interval of %d ms", interval)
	}
}

// FuzzInFlightByServer checks that any text from a peer is either rejected or
// decoded to a value that survives another round trip.
func FuzzInFlightByServer(f *testing.F) {
	for _, seed := range []string{`""`, `"AAI"`, `"////"`, `"!"`, `5`, `"gICAgICAgICAgIA"`} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		var inFlight spokepeer.InFlightByServer
		if json.Unmarshal([]byte(text), &inFlight) != nil {
			return
		}
		encoded, err := json.Marshal(inFlight)
		require.NoError(t, err)
		var decoded spokepeer.InFlightByServer
		require.NoError(t, json.Unmarshal(encoded, &decoded))
		require.Equal(t, inFlight, decoded)
	})
}
