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

// TestUses checks that uses come back as they were.
func TestUses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		uses := spokepeer.InFlightByServer{}
		for range rapid.IntRange(0, 50).Draw(t, "servers") {
			id := spokebackend.IDOf(rapid.String().Draw(t, "name"))
			uses[id] = spokebackend.InFlight{Requests: rapid.IntRange(0, 1<<20).Draw(t, "all"), LongRequests: rapid.IntRange(0, 1<<20).Draw(t, "long"), PrefillUnits: rapid.IntRange(0, 1<<20).Draw(t, "unread")}
		}
		text, err := json.Marshal(uses)
		require.NoError(t, err)
		var back spokepeer.InFlightByServer
		require.NoError(t, json.Unmarshal(text, &back))
		require.Equal(t, uses, back)
	})
}

// TestLasting checks that peers which hear of each other seldom do not tell of
// prompts that will have been read by then. On a grown site that sent requests
// away from idle servers, and prompts' beginnings to servers without them.
func TestLasting(t *testing.T) {
	for interval, unread := range map[spokeclock.Millis]int{140: 7, 400: 7, 1240: 0, 1620: 0} {
		uses := spokepeer.InFlightByServer{1: {Requests: 3, LongRequests: 1, PrefillUnits: 7}}
		require.Equal(t, spokepeer.InFlightByServer{1: {Requests: 3, LongRequests: 1, PrefillUnits: unread}}, uses.WithoutOutdatedPrefill(interval), "every %d ms", interval)
	}
}

// FuzzUses checks that no text from a peer can do more than be refused.
func FuzzUses(f *testing.F) {
	for _, seed := range []string{`""`, `"AAI"`, `"////"`, `"!"`, `5`, `"gICAgICAgICAgIA"`} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		var uses spokepeer.InFlightByServer
		if json.Unmarshal([]byte(text), &uses) != nil {
			return
		}
		again, err := json.Marshal(uses)
		require.NoError(t, err)
		var back spokepeer.InFlightByServer
		require.NoError(t, json.Unmarshal(again, &back))
		require.Equal(t, uses, back)
	})
}
