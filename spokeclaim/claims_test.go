package spokeclaim_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"mulberryspoke.example/mulberryspoke/spokeclaim"
	"mulberryspoke.example/mulberryspoke/spokecloud"
	"mulberryspoke.example/mulberryspoke/spokehttp"
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
