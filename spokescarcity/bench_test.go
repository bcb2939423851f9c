package spokescarcity_test

import (
	"fmt"
	"testing"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokescarcity"
)

// BenchmarkDecide measures a decision with its records, at a request a millisecond of three
// routes and 16 workspaces, while servers are short and while they are not.
func BenchmarkDecide(b *testing.B) {
	for _, isShort := range []bool{false, true} {
		b.Run(fmt.Sprintf("short=%t", isShort), func(b *testing.B) {
			var clock spokeclock.Manual
			clock.Advance(1)
			admission := &spokescarcity.Admission{Clock: clock.Clock(), RandomFunc: func() float64 { return 0.9999 }}
			request := spokescarcity.Request{Service: "s", Target: 100, EngineTime: 50, TimeLeft: 10000, CallerTimeLeft: 10000}
			if isShort {
				request.Forecast = 200
			}
			routes, workspaces := []string{"a", "b", "c"}, make([]string, 16)
			for i := range workspaces {
				workspaces[i] = fmt.Sprint(i)
			}
			admitted := make([]*spokescarcity.AdmittedRequest, 256)
			b.ReportAllocs()
			for i := range b.N {
				request.Route, request.Workspace = routes[i%len(routes)], workspaces[i%len(workspaces)]
				verdict := admission.Decide(request)
				at := i % len(admitted)
				recorded := verdict.AdmittedRequest()
				if isShort {
					recorded, admitted[at] = admitted[at], recorded
				}
				if recorded != nil {
					admission.Record("s", recorded, spokescarcity.EventFirst)
				}
				clock.Advance(1)
			}
		})
	}
}
