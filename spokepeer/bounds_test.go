package spokepeer_test

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"mulberryspoke.example/mulberryspoke/spokecase"
	"mulberryspoke.example/mulberryspoke/spokepeer"
)

type boundCase struct {
	Name string `yaml:"name"`
	// Hello or Heartbeat is the message as JSON, and Want what is left of it. A hello of no
	// peer leaves nothing.
	Hello     string `yaml:"hello"`
	Heartbeat string `yaml:"heartbeat"`
	Want      string `yaml:"want"`
}

// TestOddHeartbeats guards against one number in a message of a peer that overflows a sum
// over all, never ages or keeps the peer from being suspected. The rest of the message
// holds.
func TestOddHeartbeats(t *testing.T) {
	for _, c := range spokecase.Read[[]boundCase](t, "testdata/odd_heartbeats.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			if c.Hello != "" {
				var hello spokepeer.Hello
				require.NoError(t, json.Unmarshal([]byte(c.Hello), &hello))
				bounded, isPeer := hello.Bounded()
				require.Equal(t, c.Want != "", isPeer)
				if isPeer {
					requireJSON(t, c.Want, bounded)
				}
				return
			}
			var heartbeat spokepeer.Heartbeat
			require.NoError(t, json.Unmarshal([]byte(c.Heartbeat), &heartbeat))
			requireJSON(t, c.Want, heartbeat.Bounded())
		})
	}
}

func requireJSON(t *testing.T, want string, got any) {
	text, err := json.Marshal(got)
	require.NoError(t, err)
	require.JSONEq(t, want, string(text))
}
