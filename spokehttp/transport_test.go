package spokehttp_test

import (
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mulberryspoke.example/mulberryspoke/spokecase"
	"mulberryspoke.example/mulberryspoke/spokeerror"
	"mulberryspoke.example/mulberryspoke/spokehttp"
	"mulberryspoke.example/mulberryspoke/spokememory"
	"mulberryspoke.example/mulberryspoke/spokestandin"
)

type headCase struct {
	Name string `yaml:"name"`
	// Head is the raw head of a response whose body has two bytes, with LF line endings.
	Head string `yaml:"head"`
	// Refused means that the response is not well-formed.
	Refused bool `yaml:"refused"`
}

// TestHeads calls a server whose responses differ in their heads only, by each way in which
// this package reads a response.
func TestHeads(t *testing.T) {
	client := spokehttp.NewClient()
	calls := map[string]func(url string) error{
		"get": func(url string) error {
			_, err := spokehttp.GetJSON[struct{}](t.Context(), client, url)
			return err
		},
		"post": func(url string) error {
			_, err := spokehttp.PostJSON[struct{}](t.Context(), client, url, struct{}{})
			return err
		},
		"get if changed": func(url string) error {
			_, _, err := spokehttp.GetJSONIfChanged[struct{}](t.Context(), client, url, "tag")
			return err
		},
	}
	for _, c := range spokecase.Read[[]headCase](t, "testdata/heads.yaml") {
		for name, call := range calls {
			t.Run(c.Name+"/"+name, func(t *testing.T) {
				url := startRawServer(t, &spokestandin.RawServer{Answer: c.Head + "Content-Length: 2\n\n{}"})
				err := call(url)
				if c.Refused {
					require.Equal(t, spokehttp.KindNoAnswer, spokeerror.KindOf[spokehttp.Kind](err), "%v", err)
				} else {
					require.NoError(t, err)
				}
			})
		}
	}
}

func startRawServer(t *testing.T, server *spokestandin.RawServer) string {
	return "http://" + spokecase.Serve(t, server.Serve)
}

// TestConnectionOfRefusedResponse guards against a request on the connection of a response
// that is then refused. The HTTP library hands on the connection before it returns a response
// without a body.
func TestConnectionOfRefusedResponse(t *testing.T) {
	server := &spokestandin.RawServer{Answer: "HTTP/1.1 200 OK\nContent-Length: 0\n\n"}
	url := startRawServer(t, server)
	transport := spokehttp.NewTransport((&net.Dialer{}).DialContext)
	first := sendUnjudged(t, transport, url)
	sent := make(chan error, 1)
	go func() {
		var second spokehttp.Exchange
		defer second.End()
		response, err := transport.Send(t.Context(), &second, newUpload(t, url))
		if err == nil {
			_ = response.Body.Close()
		}
		sent <- err
	}()
	time.Sleep(blockTime)
	require.Equal(t, 1, server.RequestCount(), "requests before the first response has been judged")
	first.CloseConn()
	first.End()
	require.NoError(t, <-sent)
	require.Equal(t, 2, server.RequestCount())
	require.Zero(t, server.ReuseCount(), "requests on the connection of a refused response")
}

// TestUnsentRequest guards against a request that counts as sent although its connection was
// closed before, so that a request that may run once would not be sent to another server.
func TestUnsentRequest(t *testing.T) {
	url := startRawServer(t, &spokestandin.RawServer{Answer: "HTTP/1.1 200 OK\nContent-Length: 0\n\n"})
	transport := spokehttp.NewTransport((&net.Dialer{}).DialContext)
	first := sendUnjudged(t, transport, url)
	unsent := make(chan bool, 1)
	go func() {
		var second spokehttp.Exchange
		defer second.End()
		request := newUpload(t, url)
		request.GetBody = nil
		response, err := transport.Send(t.Context(), &second, request)
		if err == nil {
			_ = response.Body.Close()
		}
		unsent <- err != nil && second.IsUnsent(t.Context())
	}()
	time.Sleep(blockTime)
	first.CloseConn()
	first.End()
	require.True(t, <-unsent)
}

// sendUnjudged sends a request whose response is still to be judged, and makes the next one
// wait for its connection.
func sendUnjudged(t *testing.T, transport *spokehttp.Transport, url string) *spokehttp.Exchange {
	transport.MaxConnsPerHost = 1
	exchange := &spokehttp.Exchange{}
	response, err := transport.Send(t.Context(), exchange, newUpload(t, url))
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	return exchange
}

func newUpload(t *testing.T, url string) *http.Request {
	request, err := http.NewRequest(http.MethodPost, url, strings.NewReader("request"))
	require.NoError(t, err)
	return request
}

// TestOwnResponses guards against responses that are bounded each, but not all together.
func TestOwnResponses(t *testing.T) {
	const limit, calls = 1 << 20, 20
	url := startRawServer(t, &spokestandin.RawServer{Answer: "HTTP/1.1 200 OK\n\n{\"extra\":\"", Repeated: "0123456789"})
	budget := &spokememory.Budget{Limit: limit}
	client := spokehttp.NewClient()
	spokehttp.ChargeResponses(func() (func(int) bool, func()) {
		reservation := budget.Open("", -1)
		return reservation.HoldAnswer, reservation.Release
	}, client)
	var requests sync.WaitGroup
	errs := make(chan error, calls)
	for range calls {
		requests.Go(func() {
			_, err := spokehttp.GetJSON[struct{}](t.Context(), client, url)
			errs <- err
		})
	}
	requests.Wait()
	for range calls {
		require.ErrorIs(t, <-errs, spokehttp.ErrNotHeld)
	}
	require.Zero(t, budget.Held(), "after the calls")
}

// TestErrorBody guards against an error that quotes a body of any length.
func TestErrorBody(t *testing.T) {
	url := startRawServer(t, &spokestandin.RawServer{Answer: "HTTP/1.1 500 Failure\n\n", Repeated: "0123456789"})
	_, err := spokehttp.GetJSON[struct{}](t.Context(), spokehttp.NewClient(), url)
	require.Equal(t, http.StatusInternalServerError, spokehttp.StatusOf(err))
	require.Less(t, len(err.Error()), 8<<10)
}
