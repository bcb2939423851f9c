package spokedemo_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mulberryspoke.example/mulberryspoke/spokecase"
	"mulberryspoke.example/mulberryspoke/spokedemo"
	"mulberryspoke.example/mulberryspoke/spokehttp"
	"mulberryspoke.example/mulberryspoke/spokestandin"
)

// TestReadiness guards against an instance that counts as ready by an answer that is none.
func TestReadiness(t *testing.T) {
	for answer, isReady := range map[string]bool{
		"HTTP/1.1 204 No Content\n\n":               true,
		"HTTP/1.1 000 Trouble\n\n":                  false,
		"HTTP/1.1 204 No Content\nX Broken: 1\n\n":  false,
		"HTTP/1.1 503 Busy\nContent-Length: 0\n\n":  false,
		"HTTP/2.0 204 No Content\n\n":               false,
		"HTTP/1.1 204 No Content\nX-A: 1\n 2\n\n":   false,
		"HTTP/1.1 2040 No Content\n\n":              false,
		"HTTP/1.1 200 OK\nContent-Length: 4\n\npar": false,
	} {
		server := &spokestandin.RawServer{Answer: answer, Ending: spokestandin.EndingClose}
		require.Equal(t, isReady, spokedemo.IsReady(t.Context(), spokehttp.NewClient(), "http://"+spokecase.Serve(t, server.Serve)), answer)
	}
}
