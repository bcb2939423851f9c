package spokeserve

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"mulberryspoke.example/mulberryspoke/spokecase"
	"mulberryspoke.example/mulberryspoke/spokecloud"
	"mulberryspoke.example/mulberryspoke/spokecore"
	"mulberryspoke.example/mulberryspoke/spokeengine"
)

// moveCase moves an answer from server to server.
type moveCase struct {
	Name  string     `yaml:"name"`
	Moves []moveStep `yaml:"moves"`
}

type moveStep struct {
	// To is the server of the next attempt.
	To string `yaml:"to"`
	// Import is how the import of the KV cache ends: done, failed, or interrupted as the
	// attempt is moved before its end. Empty means that none is expected.
	Import string `yaml:"import"`
	// From is the server that the cache is imported from, and Attempt the server whose
	// attempt it belongs to.
	From    string `yaml:"from"`
	Attempt string `yaml:"attempt"`
	// Tokens is the number of tokens that the server delivers.
	Tokens int `yaml:"tokens"`
}

// TestMovesOfOneAnswer guards against an answer that is computed again although its KV
// cache still exists: the second of two moves looked for the cache at a server that had
// not imported it yet.
func TestMovesOfOneAnswer(t *testing.T) {
	for _, c := range spokecase.Read[[]moveCase](t, "testdata/moves.yaml") {
		t.Run(c.Name, func(t *testing.T) { c.run(t) })
	}
}

func (c moveCase) run(t *testing.T) {
	var step moveStep
	var imports []spokeengine.CacheMoveRequest
	attempts, cancel := make(map[string]string), context.CancelFunc(nil)
	servers := make(map[string]*httptest.Server)
	for _, name := range []string{"a", "b", "c", "d"} {
		mux := http.NewServeMux()
		mux.HandleFunc("POST /v1/kv/import", func(w http.ResponseWriter, r *http.Request) {
			var request spokeengine.CacheMoveRequest
			_ = json.NewDecoder(r.Body).Decode(&request)
			imports = append(imports, request)
			switch step.Import {
			case "interrupted":
				cancel()
				<-r.Context().Done()
			case "failed":
				http.Error(w, "no cache", http.StatusNotFound)
			default:
				_, _ = w.Write([]byte("{}"))
			}
		})
		mux.HandleFunc("POST /v1/generate", func(_ http.ResponseWriter, r *http.Request) {
			var request spokeengine.GenerateRequest
			_ = json.NewDecoder(r.Body).Decode(&request)
			attempts[name] = request.AttemptID
		})
		servers[name] = httptest.NewServer(mux)
		t.Cleanup(servers[name].Close)
	}
	address := func(name string) string { return strings.TrimPrefix(servers[name].URL, "http://") }
	g := &generation{server: &Server{Client: http.DefaultClient, Counters: NewCounters(metrics.NewSet()), Log: zerolog.Nop()}}
	from := spokecloud.Instance{}
	for i, move := range c.Moves {
		step, imports = move, nil
		ctx, cancelAttempt := context.WithCancel(t.Context())
		cancel = cancelAttempt
		to := spokecloud.Instance{Name: move.To, Address: address(move.To)}
		_, _ = g.sendAttempt(ctx, spokecore.Attempt{Server: to, MovedFrom: from})
		cancelAttempt()
		if move.Import == "" {
			require.Empty(t, imports, "move %d", i+1)
		} else {
			require.Equal(t, []spokeengine.CacheMoveRequest{{AttemptID: attempts[move.Attempt], Source: servers[move.From].URL}}, imports, "move %d", i+1)
		}
		g.delivered = append(g.delivered, make([]string, move.Tokens)...)
		from = to
	}
}
