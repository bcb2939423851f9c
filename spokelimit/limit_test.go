package spokelimit_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mulberryspoke.example/mulberryspoke/spokeconfig"
	"mulberryspoke.example/mulberryspoke/spokelimit"
)

// TestTokenRefusalKeepsRequests checks that a request which the token limit refuses
// doesn't use up the request limit.
func TestTokenRefusalKeepsRequests(t *testing.T) {
	var limiter spokelimit.Limiter
	w := &spokeconfig.Workspace{Name: "w", RequestRate: 2, TokenRate: 10}
	require.True(t, limiter.BeginRequest(w, 1, 1, 10).Allowed())
	for range 5 {
		require.Equal(t, "tokens_per_second", limiter.BeginRequest(w, 1, 1, 10).ExceededLimit())
	}
}
