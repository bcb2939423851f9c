package spokeengine_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"mulberryspoke.example/mulberryspoke/spokecase"
	"mulberryspoke.example/mulberryspoke/spokeengine"
	"mulberryspoke.example/mulberryspoke/spokeerror"
	"mulberryspoke.example/mulberryspoke/spokehttp"
	"mulberryspoke.example/mulberryspoke/spokestandin"
)

type streamCase struct {
	Name string `yaml:"name"`
	// Tokens is the number of tokens that the engine sends, and Length that of each in bytes.
	Tokens int `yaml:"tokens"`
	Length int `yaml:"length"`
	// MaxTokens is the number that is asked for, and Budget what may be held in bytes.
	MaxTokens int `yaml:"max_tokens"`
	Budget    int `yaml:"budget"`
	// Kind is the kind of the error. Empty means none.
	Kind spokeengine.Kind `yaml:"kind"`
}

// TestStreamBounds guards against an engine whose tokens are held without a bound.
func TestStreamBounds(t *testing.T) {
	for _, c := range spokecase.Read[[]streamCase](t, "testdata/streams.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(c.serve))
			defer server.Close()
			var held atomic.Int64
			client := spokeengine.Client{URL: server.URL, HTTPClient: spokehttp.NewClient(), HoldFunc: func(bytes int) bool {
				if held.Load()+int64(bytes) > int64(c.Budget) {
					return false
				}
				held.Add(int64(bytes))
				return true
			}}
			stream, err := client.Generate(t.Context(), spokeengine.GenerateRequest{AttemptID: "a", MaxTokens: c.MaxTokens})
			require.NoError(t, err)
			tokens := 0
			err = stream.ReadEvents(func(event spokeengine.Event) error {
				if event.FinishReason == "" {
					tokens++
				}
				return nil
			})
			require.Equal(t, c.Kind, spokeerror.KindOf[spokeengine.Kind](err), "%v", err)
			if c.Kind == "" {
				require.Equal(t, c.Tokens, tokens)
			}
		})
	}
}

func (c streamCase) serve(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	token := strings.Repeat("a", c.Length)
	for index := range c.Tokens {
		if _, err := fmt.Fprintf(w, "data: {\"attempt\":\"a\",\"index\":%d,\"token\":%q}\n\n", index, token); err != nil {
			return
		}
	}
	_, _ = fmt.Fprintf(w, "data: {\"attempt\":\"a\",\"index\":%d,\"finish\":\"stop\"}\n\n", c.Tokens)
}

// TestEndlessReport guards against a report of an engine without end, of which up to 64 MB
// were held.
func TestEndlessReport(t *testing.T) {
	calls := map[string]func(ctx context.Context, client *spokeengine.Client) error{
		"load": func(ctx context.Context, client *spokeengine.Client) error {
			_, err := client.Load(ctx)
			return err
		},
		"import": func(ctx context.Context, client *spokeengine.Client) error {
			return client.ImportCache(ctx, spokeengine.CacheMoveRequest{})
		},
		"order": func(ctx context.Context, client *spokeengine.Client) error {
			return client.SendOrder(ctx, spokeengine.Order{})
		},
	}
	for name, call := range calls {
		t.Run(name, func(t *testing.T) {
			server := &spokestandin.RawServer{Answer: "HTTP/1.1 200 OK\n\n{\"slots\":1,\"extra\":\"", Repeated: "0123456789"}
			read := &countingTransport{inner: spokehttp.NewClient().Transport}
			client := &spokeengine.Client{URL: "http://" + spokecase.Serve(t, server.Serve), HTTPClient: &http.Client{Transport: read}}
			require.ErrorIs(t, call(t.Context(), client), spokehttp.ErrNotHeld)
			require.Less(t, read.bytes.Load(), int64(2<<20))
		})
	}
}

// countingTransport counts the bytes of bodies that are read.
type countingTransport struct {
	inner http.RoundTripper
	bytes atomic.Int64
}

// RoundTrip implements http.RoundTripper.
func (c *countingTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := c.inner.RoundTrip(request)
	if err == nil {
		response.Body = &countingBody{ReadCloser: response.Body, bytes: &c.bytes}
	}
	return response, err
}

type countingBody struct {
	io.ReadCloser
	bytes *atomic.Int64
}

// Read implements io.Reader.
func (b *countingBody) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
	b.bytes.Add(int64(n))
	return n, err
}
