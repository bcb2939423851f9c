package spokepeer_test

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mulberryspoke.example/mulberryspoke/spokebackend"
	"mulberryspoke.example/mulberryspoke/spokepeer"
)

// TestUses checks that uses come back as they were.
func TestUses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		uses := spokepeer.Uses{}
		for range rapid.IntRange(0, 50).Draw(t, "servers") {
			id := spokebackend.IDOf(rapid.String().Draw(t, "name"))
			uses[id] = spokebackend.Use{All: rapid.IntRange(0, 1<<20).Draw(t, "all"), Long: rapid.IntRange(0, 1<<20).Draw(t, "long"), Unread: rapid.IntRange(0, 1<<20).Draw(t, "unread")}
		}
		text, err := json.Marshal(uses)
		require.NoError(t, err)
		var back spokepeer.Uses
		require.NoError(t, json.Unmarshal(text, &back))
		require.Equal(t, uses, back)
	})
}

// FuzzUses checks that no text from a peer can do more than be refused.
func FuzzUses(f *testing.F) {
	for _, seed := range []string{`""`, `"AAI"`, `"////"`, `"!"`, `5`, `"gICAgICAgICAgIA"`} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		var uses spokepeer.Uses
		if json.Unmarshal([]byte(text), &uses) != nil {
			return
		}
		again, err := json.Marshal(uses)
		require.NoError(t, err)
		var back spokepeer.Uses
		require.NoError(t, json.Unmarshal(again, &back))
		require.Equal(t, uses, back)
	})
}
