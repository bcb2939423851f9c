package spokeplain_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"mulberryspoke.example/mulberryspoke/spokecase"
	"mulberryspoke.example/mulberryspoke/spokeerror"
	"mulberryspoke.example/mulberryspoke/spokehttp"
	"mulberryspoke.example/mulberryspoke/spokeplain"
)

type longResponseCase struct {
	Name     string `yaml:"name"`
	Length   int    `yaml:"length"`
	Complete bool   `yaml:"complete"`
}

// TestLongResponse guards against a response over the limit that is cut there and taken
// for complete.
func TestLongResponse(t *testing.T) {
	for _, c := range spokecase.Read[[]longResponseCase](t, "testdata/long_responses.yaml") {
		t.Run(c.Name, func(t *testing.T) { c.run(t) })
	}
}

func (c longResponseCase) run(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(spokeplain.AttemptHeader, r.Header.Get(spokeplain.AttemptHeader))
		_, _ = w.Write(make([]byte, c.Length))
	}))
	defer server.Close()
	client := spokeplain.Client{URL: server.URL, HTTPClient: spokehttp.NewNoKeepAliveClient()}
	response, err := client.Send(context.Background(), spokeplain.Request{Method: http.MethodGet, Path: "/", AttemptID: "a"})
	if c.Complete {
		require.NoError(t, err)
		require.Len(t, response.Body, c.Length)
		return
	}
	require.Equal(t, spokeplain.KindOutcomeUnknown, spokeerror.KindOf[spokeplain.Kind](err), "%d bytes, %v", len(response.Body), err)
}
