package spokeclaim_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"mulberryspoke.example/mulberryspoke/spokeclaim"
	"mulberryspoke.example/mulberryspoke/spokecloud"
	"mulberryspoke.example/mulberryspoke/spokehttp"
	"mulberryspoke.example/mulberryspoke/spokeplain"
	"mulberryspoke.example/mulberryspoke/spokestandin"
	"mulberryspoke.example/mulberryspoke/spoketable"
)

// TestReassignWithLostResponse releases a claim after the response to its
// reassignment was lost. The row must not stay claimed by the attempt that was never
// sent.
func TestReassignWithLostResponse(t *testing.T) {
	server := httptest.NewServer((&spokestandin.TableService{}).Handler())
	defer server.Close()
	table := &spoketable.Table{URL: server.URL, Client: spokehttp.NewClient(), NoKeepAliveClient: spokehttp.NewNoKeepAliveClient()}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	claims := &spokeclaim.Claims{Table: table, Owner: "a", Log: zerolog.Nop()}
	go claims.Run(ctx)
	acquired, err := claims.Acquire(ctx, "row", spokeclaim.Record{AttemptID: "one", Server: "x"})
	require.NoError(t, err)
	faults := spokestandin.TableFaults{Faults: spokestandin.Faults{AbortResponses: 1, PathPrefix: "/v1/transact"}}
	_, err = spokehttp.PostJSON[struct{}](ctx, table.Client, server.URL+"/control", faults)
	require.NoError(t, err)
	require.Error(t, acquired.Acquired().Reassign(ctx, "two", spokecloud.Instance{Name: "y"}))
	acquired.Acquired().Release()
	require.Eventually(t, func() bool {
		rows, err := table.Read(ctx, "row")
		if err != nil {
			return false
		}
		record, err := spoketable.DecodeRow[spokeclaim.Record](rows[0])
		return err == nil && record.State == spokeclaim.StateReleased
	}, 5*time.Second, 10*time.Millisecond)
	require.NoError(t, claims.WaitPending(ctx))
	require.Empty(t, claims.AttemptState("one"))
	require.Empty(t, claims.AttemptState("two"))
}

// TestRecordAfterLateCopy loses the request that records a response, and then repeats an
// earlier response to a read of the row, from before the claim. Recording must go on.
func TestRecordAfterLateCopy(t *testing.T) {
	server := httptest.NewServer((&spokestandin.TableService{}).Handler())
	defer server.Close()
	proxy := &spokestandin.Proxy{Target: server.Listener.Addr().String()}
	proxy.SetFaults(spokestandin.ProxyFaults{LateCopies: 1, CopyContaining: "/v1/read"})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go proxy.Serve(t.Context(), listener)
	table := &spoketable.Table{URL: "http://" + listener.Addr().String(), Client: spokehttp.NewClient(), NoKeepAliveClient: spokehttp.NewNoKeepAliveClient()}
	table.Client.Transport.(*spokehttp.Transport).MaxConnsPerHost = 1
	claims := &spokeclaim.Claims{Table: table, Owner: "a", Log: zerolog.Nop()}
	go claims.Run(t.Context())
	_, err = table.Read(t.Context(), "row")
	require.NoError(t, err)
	acquired, err := claims.Acquire(t.Context(), "row", spokeclaim.Record{AttemptID: "one", Server: "x"})
	require.NoError(t, err)
	faults := spokestandin.TableFaults{Faults: spokestandin.Faults{AbortRequests: 1, PathPrefix: "/v1/transact"}}
	_, err = spokehttp.PostJSON[struct{}](t.Context(), server.Client(), server.URL+"/control", faults)
	require.NoError(t, err)
	acquired.Acquired().RecordResponse(t.Context(), spokeplain.Response{Status: http.StatusOK}, func() {})
	require.NoError(t, claims.WaitPending(t.Context()))
	rows, err := table.Read(t.Context(), "row")
	require.NoError(t, err)
	record, err := spoketable.DecodeRow[spokeclaim.Record](rows[0])
	require.NoError(t, err)
	require.Equal(t, spokeclaim.StateDone, record.State)
}

// TestRecordedStatus guards against a recorded response whose status no response may have.
func TestRecordedStatus(t *testing.T) {
	server := httptest.NewServer((&spokestandin.TableService{}).Handler())
	defer server.Close()
	table := &spoketable.Table{URL: server.URL, Client: spokehttp.NewClient(), NoKeepAliveClient: spokehttp.NewNoKeepAliveClient()}
	claims := &spokeclaim.Claims{Table: table, Owner: "a", Log: zerolog.Nop()}
	go claims.Run(t.Context())
	for row, status := range map[string]int{"zero": 0, "switch": http.StatusSwitchingProtocols, "least": http.StatusOK, "greatest": 599, "large": 600} {
		result, err := claims.Acquire(t.Context(), row, spokeclaim.Record{AttemptID: row, Server: "x"})
		require.NoError(t, err)
		result.Acquired().RecordResponse(t.Context(), spokeplain.Response{Status: status}, func() {})
		require.NoError(t, claims.WaitPending(t.Context()))
		require.NoError(t, result.Acquired().Reload(t.Context()))
		_, err = result.Acquired().RecordedResponse(t.Context(), nil)
		require.Equal(t, spokehttp.IsStatus(status), err == nil, "status %d: %v", status, err)
	}
}
