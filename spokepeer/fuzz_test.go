package spokepeer_test

import (
	"context"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"mulberryspoke.example/mulberryspoke/spokebackend"
	"mulberryspoke.example/mulberryspoke/spokeclaim"
	"mulberryspoke.example/mulberryspoke/spokecloud"
	"mulberryspoke.example/mulberryspoke/spokeconfig"
	"mulberryspoke.example/mulberryspoke/spokecount"
	"mulberryspoke.example/mulberryspoke/spokefeed"
	"mulberryspoke.example/mulberryspoke/spokefleet"
	"mulberryspoke.example/mulberryspoke/spokelimit"
	"mulberryspoke.example/mulberryspoke/spokemember"
	"mulberryspoke.example/mulberryspoke/spokepeer"
	"mulberryspoke.example/mulberryspoke/spokequarantine"
	"mulberryspoke.example/mulberryspoke/spokethrottle"
	"mulberryspoke.example/mulberryspoke/spokeusage"
)

// FuzzPeerMessage checks that no message of a peer ends the process, and that the sums over
// all peers stay in range afterwards.
func FuzzPeerMessage(f *testing.F) {
	for _, seed := range []struct{ method, params string }{
		{"hello", `{"identity":{"name":"b","data_centre":"a","generation":2},"places":[{"data_centre":"b","instances":3,"age_millis":40}]}`},
		{"heartbeat", `{"revision":0,"interval_millis":500,"uses":"AQg","slots":"AQg","leaving":{"x":1800},"leaving_generations":{"x":5},"counts":{"spent/w":7,"asked/w":8,"begun/1/w":1,"usage_stored":3,"work/s":9}}`},
		{"heartbeat", `{"data_centre_counts":[{"data_centre":"b","origin":"b-0","generation":1,"counts":{"asked/w":1},"in_flight":{"s/a":2}}]}`},
		{"quarantine", `{"parts":[{"part":"p","crashes":[{"server":1,"request":2,"age_millis":3}],"answered_millis":4,"barred_millis":5}]}`},
		{"server_limits", `{"limits":[{"server":"x","generation":1,"per_second":2.5,"age_millis":3}]}`},
		{"config_since", `{"from":-1}`},
		{"table_changes", `{"table":"x","generation":1,"sequence":-9223372036854775808,"wait_millis":-5}`},
	} {
		f.Add(seed.method, []byte(seed.params))
	}
	f.Fuzz(func(t *testing.T, method string, params []byte) {
		registry := &spokebackend.Registry{DataCentre: "a", ListIsAuthoritative: true}
		registry.UpdateInstances([]spokecloud.Instance{{Name: "x", Role: spokecloud.RoleBackend, Service: "s", DataCentre: "a", Address: "127.0.0.1:1", Slots: 4, State: spokecloud.StateRunning, Generation: 1}})
		view := &spokemember.View{Self: spokemember.Identity{Name: "a", DataCentre: "a", Generation: 1}}
		limiter := &spokelimit.AllotmentLimiter{MemberCountsFunc: view.SharerCounts}
		demand, ledger, sum := &spokefleet.Demand{}, &spokeusage.Ledger{WindowLength: 5000}, &spokecount.Sum{}
		reporter := &spokeusage.Reporter{Ledger: ledger}
		relay := &spokefeed.Relay{Generation: 1}
		members := func(string) spokethrottle.Members {
			return spokethrottle.Members{Self: "a", Instances: []string{"a", "b"}}
		}
		node := &spokepeer.Node{
			View: view, Store: &spokeconfig.Store{}, Registry: registry, Log: zerolog.Nop(),
			Quarantine: &spokequarantine.Quarantine{}, Throttle: &spokethrottle.Throttle{MembersFunc: members},
			AttemptStateFunc: func(string) spokeclaim.State { return "" },
			TableChangesFunc: func(ctx context.Context, request spokefeed.RelayRequest) (spokefeed.RelayUpdate, error) {
				request.Wait = 0
				return relay.Changes(ctx, request)
			},
			MergePeerCountsFunc: func(peer string, generation int64, counts map[string]int64) {
				reporter.SetPeerCounts(counts)
				sum.SetCounts(peer, generation, counts)
				limiter.SetPeerCounts(peer, generation, counts)
				demand.MergeCounts(peer, generation, counts)
				ledger.SetPeerCounts(peer, generation, counts)
			},
			MergeDataCentreCountsFunc: func(dataCentre string, generation int64, counts map[string]int64) {
				limiter.SetPeerCounts(dataCentre, generation, counts)
				ledger.SetDataCentreCounts(dataCentre, counts)
			},
		}
		// A cancelled context keeps handlers from calls to the peer.
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		node.HandleMessage(ctx, method, params)
		node.HandleMessage(ctx, method, params)
		workspace := &spokeconfig.Workspace{Name: "w", Allotment: &spokeconfig.Allotment{Rate: 10, Burst: 10}}
		limiter.Spend(workspace, spokelimit.Route{}, 1)
		require.GreaterOrEqual(t, view.EntryInstanceCount(), 1)
		for _, candidate := range registry.Candidates("s", "") {
			require.GreaterOrEqual(t, candidate.InFlight, 0)
			require.GreaterOrEqual(t, candidate.PrefillBacklog, 0)
		}
		for _, counts := range []map[string]int64{sum.Totals(), ledger.Counts(), ledger.Totals(1)} {
			for key, count := range counts {
				require.GreaterOrEqual(t, count, int64(0), key)
			}
		}
	})
}
