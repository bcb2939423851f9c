package spokeplain_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"mulberryspoke.example/mulberryspoke/spokehttp"
	"mulberryspoke.example/mulberryspoke/spokeplain"
)

// BenchmarkSend measures a request with a small answer, whose time and allocations the
// charge of answers must not raise.
func BenchmarkSend(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(spokeplain.AttemptHeader, r.Header.Get(spokeplain.AttemptHeader))
		_, _ = w.Write(make([]byte, 300))
	}))
	defer server.Close()
	client := spokeplain.Client{URL: server.URL, HTTPClient: spokehttp.NewClient()}
	b.ReportAllocs()
	for b.Loop() {
		_, err := client.Send(b.Context(), spokeplain.Request{Method: http.MethodPost, Path: "/", Body: []byte("body"), AttemptID: "a"})
		require.NoError(b, err)
	}
}
