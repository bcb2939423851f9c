package spokelocality_test

import (
	"fmt"
	"testing"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokelocality"
)

// BenchmarkPermit measures what the decision costs each request.
func BenchmarkPermit(b *testing.B) {
	router, _ := newBenchmark(4)
	b.ReportAllocs()
	for i := range b.N {
		router.Permit(testService, spokelocality.Kind{Route: "r", RequestBytes: 48000, FirstEventTarget: 500, Work: 150, PromptTokens: 12000, SharedPrefixTokens: 5382, PrefixKey: uint64(1 + i%64)})
	}
}

// BenchmarkObserve measures a decision, of which there are two a second for each service.
func BenchmarkObserve(b *testing.B) {
	for _, dataCentres := range []int{4, 21} {
		b.Run(fmt.Sprint(dataCentres), func(b *testing.B) {
			router, observation := newBenchmark(dataCentres)
			b.ReportAllocs()
			for range b.N {
				router.Observe(testService, observation)
			}
		})
	}
}

// newBenchmark returns a router for which every second data centre is short.
func newBenchmark(dataCentres int) (*spokelocality.Router, spokelocality.Observation) {
	var clock spokeclock.Manual
	clock.Advance(1)
	router := newRouter(&clock)
	var observation spokelocality.Observation
	for i := range dataCentres {
		observation.DataCentres = append(observation.DataCentres, spokelocality.DataCentre{Name: string(rune('a' + i)), Servers: 22, Busy: 22 * float64(1-i%2), Instances: 18, Age: 1000})
	}
	router.Observe(testService, observation)
	return router, observation
}
