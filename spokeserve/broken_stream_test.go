package spokeserve_test

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	goahttp "goa.design/goa/v3/http"

	"mulberryspoke.example/mulberryspoke/gen/chat"
	chatserver "mulberryspoke.example/mulberryspoke/gen/http/chat/server"
	"mulberryspoke.example/mulberryspoke/spokebackend"
	"mulberryspoke.example/mulberryspoke/spokecase"
	"mulberryspoke.example/mulberryspoke/spokecloud"
	"mulberryspoke.example/mulberryspoke/spokeconfig"
	"mulberryspoke.example/mulberryspoke/spokecore"
	"mulberryspoke.example/mulberryspoke/spokeengine"
	"mulberryspoke.example/mulberryspoke/spokehttp"
	"mulberryspoke.example/mulberryspoke/spokeserve"
)

const workspaceKey = "key"

// engineAnswer is what an engine answers. ATTEMPT in a body stands for the ID of the
// attempt.
type engineAnswer struct {
	// Status and Type are the status and the media type. The default is an event
	// stream with status 200.
	Status int    `yaml:"status"`
	Type   string `yaml:"type"`
	Body   string `yaml:"body"`
	// Cut means that the connection breaks after the body.
	Cut bool `yaml:"cut"`
}

type brokenStreamCase struct {
	Name string `yaml:"name"`
	// Engines is the number of engines. The default is two.
	Engines int            `yaml:"engines"`
	Proto   string         `yaml:"proto"`
	Answers []engineAnswer `yaml:"answers"`
	// Status is the status that the caller gets. The default is 200.
	Status int `yaml:"status"`
	// Got is the text of the tokens that the caller receives.
	Got string `yaml:"got"`
	// Broken means that the answer must end with an error event and a broken
	// connection.
	Broken bool `yaml:"broken"`
	// Delivered are the tokens that each attempt says the caller has.
	Delivered []string `yaml:"delivered"`
}

// TestBrokenStream guards against a stream of the product's own interface that broke off
// and ends as if it were complete, or goes on with what isn't its rest.
func TestBrokenStream(t *testing.T) {
	for _, c := range spokecase.Read[[]brokenStreamCase](t, "testdata/broken_streams.yaml") {
		t.Run(c.Name, func(t *testing.T) { c.run(t) })
	}
}

func (c brokenStreamCase) run(t *testing.T) {
	engines := &scriptedEngines{answers: c.Answers}
	entry := httptest.NewServer(newTestHandler(t, engines, max(c.Engines, 2)))
	defer entry.Close()
	status, body, err := c.send(t, entry.Listener.Addr().String())
	require.Equal(t, max(c.Status, http.StatusOK), status, body)
	require.Equal(t, c.Broken, err != nil, "broken: %v", err)
	isComplete := status == http.StatusOK && !c.Broken
	require.Equal(t, isComplete, strings.Contains(body, "[DONE]"), body)
	require.Equal(t, !isComplete, strings.Contains(body, `"error":`), body)
	require.Equal(t, c.Got, deliveredText(body))
	require.Equal(t, c.Delivered, engines.delivered)
}

// send sends a chat request and reads the response to its end.
func (c brokenStreamCase) send(t *testing.T, address string) (status int, body string, err error) {
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	text := `{"model": "assistant", "stream": true, "messages": [{"role": "user", "content": "hello"}]}`
	proto := c.Proto
	if proto == "" {
		proto = "HTTP/1.1"
	}
	_, err = fmt.Fprintf(conn, "POST /v1/chat/completions %s\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", proto, workspaceKey, len(text), text)
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return response.StatusCode, string(content), err
}

var contentPattern = regexp.MustCompile(`"delta":\{"content":"([^"]*)"\}`)

// deliveredText returns the text of the tokens in a stream.
func deliveredText(body string) string {
	var text strings.Builder
	for _, match := range contentPattern.FindAllStringSubmatch(body, -1) {
		text.WriteString(match[1])
	}
	return text.String()
}

func newTestHandler(t *testing.T, engines http.Handler, count int) http.Handler {
	backend := httptest.NewServer(engines)
	t.Cleanup(backend.Close)
	keyHash := sha256.Sum256([]byte(workspaceKey))
	store := &spokeconfig.Store{}
	_, err := store.SetDeclaration(1, spokeconfig.Declaration{
		Version: 1, DataCentres: []spokeconfig.DataCentre{{Name: "a", Region: "r"}},
		Services:   []spokeconfig.Service{{Name: "assistant", Kind: spokeconfig.ServiceModel}},
		Workspaces: []spokeconfig.Workspace{{Name: "w", KeySHA256: hex.EncodeToString(keyHash[:])}},
	})
	require.NoError(t, err)
	registry := &spokebackend.Registry{DataCentre: "a", ListIsAuthoritative: true}
	var instances []spokecloud.Instance
	for i := range count {
		instances = append(instances, spokecloud.Instance{
			Name: fmt.Sprintf("engine-%d", i+1), Role: spokecloud.RoleBackend, Service: "assistant", DataCentre: "a", Address: backend.Listener.Addr().String(), State: spokecloud.StateRunning, Slots: 4,
		})
	}
	registry.UpdateInstances(instances)
	server := &spokeserve.Server{
		Core: &spokecore.Core{Registry: registry, Counters: spokecore.NewCounters(metrics.NewSet()), Log: zerolog.Nop()}, Store: store,
		ConfigUpToDateFunc: func() bool { return true }, Client: spokehttp.NewClient(), Counters: spokeserve.NewCounters(metrics.NewSet()), Log: zerolog.Nop(),
	}
	mux := goahttp.NewMuxer()
	chatserver.New(chat.NewEndpoints(server), mux, goahttp.RequestDecoder, goahttp.ResponseEncoder, func(context.Context, http.ResponseWriter, error) {}, nil).Mount(mux)
	return spokeserve.WithRequestDetails(mux)
}

// scriptedEngines sends its answers in order, as the engines at one address.
type scriptedEngines struct {
	answers   []engineAnswer
	requests  atomic.Int64
	delivered []string
}

// ServeHTTP implements http.Handler.
func (s *scriptedEngines) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var request spokeengine.GenerateRequest
	_ = json.NewDecoder(r.Body).Decode(&request)
	n := int(s.requests.Add(1))
	if n > len(s.answers) {
		panic(http.ErrAbortHandler)
	}
	s.delivered = append(s.delivered, strings.Join(request.DeliveredTokens, ""))
	answer := s.answers[n-1]
	mediaType := answer.Type
	if mediaType == "" {
		mediaType = "text/event-stream"
	}
	w.Header().Set("Content-Type", mediaType)
	w.WriteHeader(max(answer.Status, http.StatusOK))
	_, _ = io.WriteString(w, strings.ReplaceAll(answer.Body, "ATTEMPT", request.AttemptID))
	if answer.Cut {
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}
