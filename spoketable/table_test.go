package spoketable_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"mulberryspoke.example/mulberryspoke/spokecase"
	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeerror"
	"mulberryspoke.example/mulberryspoke/spokehttp"
	"mulberryspoke.example/mulberryspoke/spokestandin"
	"mulberryspoke.example/mulberryspoke/spoketable"
)

// tableCall is one call of a table: a transaction that writes a row on condition of a
// version, or a read or scan of a key.
type tableCall struct {
	Transact *spoketable.Condition `yaml:"transact"`
	Read     string                `yaml:"read"`
	Scan     string                `yaml:"scan"`
}

type lateCopyCase struct {
	Name string `yaml:"name"`
	// Rows exist before the first call.
	Rows []string `yaml:"rows"`
	// Unavailable is whether the table refuses the first call.
	Unavailable bool      `yaml:"unavailable"`
	First       tableCall `yaml:"first"`
	Second      tableCall `yaml:"second"`
	// Want is the result of the second call: "committed", "conflict", "error" or the
	// key of the row that it returns.
	Want string `yaml:"want"`
}

// TestLateCopies repeats the response to a call on its connection when the next call
// arrives. The copy must not become the result of the next call.
func TestLateCopies(t *testing.T) {
	for _, c := range spokecase.Read[[]lateCopyCase](t, "testdata/late_copies.yaml") {
		t.Run(c.Name, func(t *testing.T) { c.run(t) })
	}
}

func (c lateCopyCase) run(t *testing.T) {
	server := httptest.NewServer((&spokestandin.TableService{}).Handler())
	defer server.Close()
	proxy := &spokestandin.Proxy{Target: server.Listener.Addr().String()}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go proxy.Serve(ctx, listener)
	setUnavailable := func(unavailable bool) {
		faults := spokestandin.TableFaults{Faults: spokestandin.Faults{Unavailable: unavailable}}
		_, err := spokehttp.PostJSON[struct{}](ctx, server.Client(), server.URL+"/control", faults)
		require.NoError(t, err)
	}
	direct := newTable(server.URL)
	for _, key := range c.Rows {
		require.Equal(t, "committed", tableCall{Transact: &spoketable.Condition{Key: key}}.run(ctx, direct))
	}
	table := newTable("http://" + listener.Addr().String())
	// The second call must not open a connection while the first one is kept.
	table.Client.Transport.(*spokehttp.Transport).MaxConnsPerHost = 1
	proxy.SetFaults(spokestandin.ProxyFaults{LateCopies: 1})
	setUnavailable(c.Unavailable)
	c.First.run(ctx, table)
	setUnavailable(false)
	require.Equal(t, c.Want, c.Second.run(ctx, table))
}

// newTable returns a client that doesn't time out on a busy machine.
func newTable(url string) *spoketable.Table {
	return &spoketable.Table{
		URL: url, Client: spokehttp.NewClient(), NoKeepAliveClient: spokehttp.NewNoKeepAliveClient(), Timeout: 20 * spokeclock.Second,
	}
}

// run makes the call and returns its result as in lateCopyCase.Want.
func (c tableCall) run(ctx context.Context, table *spoketable.Table) string {
	var rows []spoketable.Row
	var err error
	switch {
	case c.Transact != nil:
		outcome, err := table.Transact(ctx, spoketable.Transaction{
			Conditions: []spoketable.Condition{*c.Transact},
			Writes:     []spoketable.Write{spoketable.EncodeWrite(c.Transact.Key, "value")},
		})
		switch {
		case err != nil:
			return "error"
		case outcome.Committed:
			return "committed"
		default:
			return "conflict"
		}
	case c.Read != "":
		rows, err = table.Read(ctx, c.Read)
	default:
		rows, err = table.ScanAll(ctx, c.Scan)
	}
	if err != nil {
		return "error"
	}
	if len(rows) == 0 {
		return "none"
	}
	return rows[0].Key
}

type statusCase struct {
	Status int             `yaml:"status"`
	Kind   spoketable.Kind `yaml:"kind"`
}

// TestStatusesOfTransactions answers a transaction with error statuses. Those of a
// gateway or of a failure on the way must not count as a transaction without effect.
func TestStatusesOfTransactions(t *testing.T) {
	for _, c := range spokecase.Read[[]statusCase](t, "testdata/statuses.yaml") {
		t.Run(strconv.Itoa(c.Status), func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(c.Status) }))
			defer server.Close()
			_, err := newTable(server.URL).Transact(t.Context(), spoketable.Transaction{})
			require.Equal(t, c.Kind, spokeerror.KindOf[spoketable.Kind](err), "%v", err)
		})
	}
}
