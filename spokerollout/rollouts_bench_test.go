package spokerollout

import (
	"strconv"
	"testing"

	"mulberryspoke.example/mulberryspoke/spokeclock"
)

// BenchmarkCheck measures a look at the evidence of 73 peers about a service with three
// routes, which each instance takes at every CheckInterval.
func BenchmarkCheck(b *testing.B) {
	var time spokeclock.Manual
	r := newBenchmarkRollouts(&time)
	for i := range 73 {
		peer := newBenchmarkRollouts(&time)
		for j := range 300 {
			peer.Record(Answer{Service: "s", Route: strconv.Itoa(j % 3), Version: "v" + strconv.Itoa(1+j%10/9), IsAnswer: true, IsFailed: j%7 == 0, FirstEvent: 100})
		}
		r.SetPeerCounts(strconv.Itoa(i), 1, peer.Counts())
	}
	b.ReportAllocs()
	for b.Loop() {
		r.Check()
	}
}

func newBenchmarkRollouts(time *spokeclock.Manual) *Rollouts {
	r := &Rollouts{ExposeShare: 0.1, Clock: time.Clock(), OldInFlightFunc: func(string, string) int { return 0 }, VersionsFunc: func(string) map[string]int { return nil }}
	r.SetStatuses(nil)
	r.SetOrders(map[string]Order{"s": {To: "v2", TimeLimit: 12000, Version: 1}}, false)
	return r
}

// BenchmarkRequest measures what a rollout adds to a request: the filter and the reports of
// a stream.
func BenchmarkRequest(b *testing.B) {
	var time spokeclock.Manual
	r := newBenchmarkRollouts(&time)
	b.ReportAllocs()
	for b.Loop() {
		r.Filter("s", 0.5, "")
		r.Record(Answer{Service: "s", Route: "r", Version: "v1", IsAnswer: true, FirstEvent: 100})
		r.Record(Answer{Service: "s", Route: "r", Version: "v1", MeanPause: 30})
		r.Record(Answer{Service: "s", Route: "r", Version: "v1", Duration: 3000})
	}
}

// BenchmarkSubset measures the choice of the servers that get the share, which each request
// of the share needs, with 90 servers of each version.
func BenchmarkSubset(b *testing.B) {
	var servers []Server
	for _, version := range []string{"v1", "v2"} {
		for i := range 90 {
			servers = append(servers, Server{Name: version + "-" + strconv.Itoa(i), Version: version, Slots: 48, IsServing: true, IsUsable: true})
		}
	}
	filter := Filter{service: "s", to: "v2", share: 0.07}
	b.ReportAllocs()
	for b.Loop() {
		filter.Subset(servers)
	}
}
