package spokeroute_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"mulberryspoke.example/mulberryspoke/spokeconfig"
	"mulberryspoke.example/mulberryspoke/spokeroute"
)

// BenchmarkForecast measures a choice among 88 servers of four data centres by one of 74
// instances: with one preferred server for a prefix, and with one in each data centre and
// three data centres avoided.
func BenchmarkForecast(b *testing.B) {
	for _, isLocal := range []bool{false, true} {
		b.Run(fmt.Sprintf("local=%t", isLocal), func(b *testing.B) {
			var candidates []spokeroute.Candidate
			for i := range 88 {
				candidates = append(candidates, spokeroute.Candidate{
					Name: fmt.Sprint("server-", i), DataCentre: string(rune('a' + i%4)), Local: i%4 == 0, Slots: 48, Slowness: 1, TrafficShare: 1,
					RemoteDelay: spokeroute.DefaultRemoteDelay, IsAvoided: isLocal && i%4 > 0,
				})
			}
			policy := spokeroute.Policy{Routing: spokeconfig.RoutingEarliestFirstToken, Random: rand.New(rand.NewPCG(1, 2))} //nolint:gosec // A benchmark must be repeatable.
			request := spokeroute.Request{PromptTokens: 12000, SharedPrefixTokens: 5382, PrefixKey: 7, EntryInstances: 74, HasLocalPrefixes: isLocal}
			b.ReportAllocs()
			for range b.N {
				policy.Choose(candidates, request)
			}
		})
	}
}
