package spokebackend_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"mulberryspoke.example/mulberryspoke/spokebackend"
	"mulberryspoke.example/mulberryspoke/spokecloud"
	"mulberryspoke.example/mulberryspoke/spokeconfig"
	"mulberryspoke.example/mulberryspoke/spokeroute"
)

const benchmarkServers = 112

func newBenchmarkRegistry(b *testing.B) (*spokebackend.Registry, []*spokebackend.Attempt) {
	registry := &spokebackend.Registry{DataCentre: "a", ListIsAuthoritative: true}
	var instances []spokecloud.Instance
	for i := range benchmarkServers {
		instances = append(instances, newServer(fmt.Sprintf("lm-%d", i)))
	}
	registry.UpdateInstances(instances)
	var attempts []*spokebackend.Attempt
	for _, instance := range instances {
		attempt, begun := registry.BeginAttempt(instance.Name, false, func(spokebackend.Removal) {})
		if !begun {
			b.Fatal("the server is closed")
		}
		attempt.AddPrefill(1000)
		for token := range 20 {
			attempt.RecordToken(token == 0)
		}
		attempts = append(attempts, attempt)
	}
	return registry, attempts
}

// BenchmarkChoice measures a choice among the servers of deployment B, with the snapshot of
// their state.
func BenchmarkChoice(b *testing.B) {
	registry, _ := newBenchmarkRegistry(b)
	policy := spokeroute.Policy{Routing: spokeconfig.RoutingEarliestFirstToken, Random: rand.New(rand.NewPCG(1, 1))}
	request := spokeroute.Request{PromptTokens: 12000, SharedPrefixTokens: 5382, PrefixKey: 7, EntryInstances: 67}
	b.ReportAllocs()
	for b.Loop() {
		policy.Choose(registry.Candidates("s", ""), request)
	}
}

// BenchmarkToken measures the record of a token's arrival.
func BenchmarkToken(b *testing.B) {
	_, attempts := newBenchmarkRegistry(b)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		attempts[i%len(attempts)].RecordToken(false)
	}
}

// BenchmarkInFlightBeside measures the sum that a rollout takes five times a second, beside
// the same sum over all candidates.
func BenchmarkInFlightBeside(b *testing.B) {
	registry, _ := newBenchmarkRegistry(b)
	b.Run("query", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			registry.InFlightBeside("s", "v2")
		}
	})
	b.Run("candidates", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			sum := 0
			for _, candidate := range registry.Candidates("s", "") {
				if candidate.SoftwareVersion != "v2" {
					sum += candidate.InFlight
				}
			}
		}
	})
}
