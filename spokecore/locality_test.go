package spokecore_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"mulberryspoke.example/mulberryspoke/spokebackend"
	"mulberryspoke.example/mulberryspoke/spokecase"
	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokecloud"
	"mulberryspoke.example/mulberryspoke/spokeconfig"
	"mulberryspoke.example/mulberryspoke/spokecore"
	"mulberryspoke.example/mulberryspoke/spokeerror"
	"mulberryspoke.example/mulberryspoke/spokefleet"
	"mulberryspoke.example/mulberryspoke/spokelocality"
)

type localityCase struct {
	Name    string         `yaml:"name"`
	Own     *string        `yaml:"own"`
	Servers map[string]int `yaml:"servers"`
	// Work is the work of the requests of each data centre's instances.
	Work map[string]int64 `yaml:"work"`
	// Unreachable are the data centres that can't be reached after UnreachableAfter
	// requests, Failing those whose servers can't be connected to.
	Unreachable      []string `yaml:"unreachable"`
	UnreachableAfter int      `yaml:"unreachable_after"`
	Failing          []string `yaml:"failing"`
	// Constant is whether nothing is decided.
	Constant bool `yaml:"constant"`
	// Served has the least and the largest number of requests served in each data centre.
	Served map[string][2]int `yaml:"served"`
}

// TestLocality checks that the decision reaches the choice of a server, and that it gives way
// to retries and to data centres that can't be reached.
func TestLocality(t *testing.T) {
	for _, c := range spokecase.Read[[]localityCase](t, "testdata/locality.yaml") {
		t.Run(c.Name, func(t *testing.T) { c.run(t) })
	}
}

// localityRun is a core with what it is made of.
type localityRun struct {
	localityCase
	clock    spokeclock.Manual
	core     *spokecore.Core
	demand   *spokefleet.Demand
	set      *metrics.Set
	log      bytes.Buffer
	requests int
	served   map[string]int
}

const (
	localityRequests = 100
	requestBytes     = 1000
	answerText       = "data: x\n\n"
)

func (c localityCase) run(t *testing.T) {
	r := &localityRun{localityCase: c, set: metrics.NewSet(), served: make(map[string]int)}
	r.clock.Advance(1000)
	r.build()
	for range localityRequests {
		r.addWork()
		r.serve(t)
		r.requests++
		r.clock.Advance(500)
	}
	for name, count := range r.served {
		require.GreaterOrEqual(t, count, c.Served[name][0], name)
		require.LessOrEqual(t, count, c.Served[name][1], name)
	}
	r.checkRecords(t)
}

func (r *localityRun) build() {
	own := "a"
	if r.Own != nil {
		own = *r.Own
	}
	var instances []spokecloud.Instance
	for name, count := range r.Servers {
		for i := range count {
			instances = append(instances, spokecloud.Instance{
				Name: fmt.Sprint("server-", name, i), Role: spokecloud.RoleBackend, Service: "s", DataCentre: name, State: spokecloud.StateRunning, Slots: 48,
			})
		}
	}
	registry := &spokebackend.Registry{DataCentre: own, Clock: r.clock.Clock(), ListIsAuthoritative: true}
	registry.UpdateInstances(instances)
	r.demand = &spokefleet.Demand{Clock: r.clock.Clock(), DataCentre: own, DataCentreFunc: func(peer string) string { return peer }}
	r.core = &spokecore.Core{
		Registry: registry, Clock: r.clock.Clock(), MemberCountFunc: oneMember, RetryRatio: 0.2, RetryBurst: 1000,
		ReachableFunc: func(dataCentre string) bool {
			return r.requests < r.UnreachableAfter || !slices.Contains(r.Unreachable, dataCentre)
		},
		DataCentreDemandFunc: r.demand.ByDataCentre, Counters: spokecore.NewCounters(r.set), Log: zerolog.New(&r.log),
	}
	if !r.Constant {
		random := rand.New(rand.NewPCG(1, 2)) //nolint:gosec // A test must be repeatable.
		r.core.Locality = &spokelocality.Router{DataCentre: own, Settings: spokelocality.DefaultSettings(), Clock: r.clock.Clock(), RandomFunc: random.Float64, ShareChangedFunc: r.core.RecordShareChange}
	}
}

// addWork adds the work of half a second.
func (r *localityRun) addWork() {
	for name, work := range r.Work {
		if name == r.demand.DataCentre {
			r.demand.AddEngineTime("s", spokeclock.Millis(work/2))
			continue
		}
		r.demand.MergeCounts(name, 1, map[string]int64{"work/s": int64(r.requests) * work / 2})
	}
}

func (r *localityRun) serve(t *testing.T) {
	request := &spokecore.Request{
		ID: "r", Route: &spokeconfig.CallerRoute{Name: "r", Kind: spokeconfig.RouteStream, LatencyTarget: 500, MaxAttempts: 3},
		Service:  &spokeconfig.Service{Name: "s", Kind: spokeconfig.ServiceModel, Engine: &spokeconfig.EngineSpec{Slots: 48, CacheTokens: 400000}},
		Deadline: r.clock.Clock().Now() + 10000, PromptTokens: 6000, AnswerTokens: 100, BodyBytes: requestBytes,
	}
	err := r.core.Serve(context.Background(), request, spokecore.Callbacks{
		SendAttemptFunc: func(_ context.Context, attempt spokecore.Attempt) (*spokecore.Response, error) {
			if slices.Contains(r.Failing, attempt.Server.DataCentre) {
				return nil, spokeerror.New("send", spokecore.KindNotSent, nil)
			}
			r.served[attempt.Server.DataCentre]++
			return &spokecore.Response{Body: io.NopCloser(strings.NewReader("")), EventsFunc: spokecore.ReadEvents(strings.NewReader(answerText), nil)}, nil
		},
		WriteHeadFunc: func(*spokecore.Response, int64) {},
		WriteBodyFunc: func([]byte) error { return nil },
	})
	require.NoError(t, err)
}

// checkRecords checks the bytes in the metrics and the lines of the log.
func (r *localityRun) checkRecords(t *testing.T) {
	var text strings.Builder
	r.set.WritePrometheus(&text)
	own, remote := r.core.Registry.DataCentre, r.served["b"]
	if own == "" || remote == 0 {
		require.NotContains(t, text.String(), "spoke_remote_bytes_total")
		return
	}
	require.Contains(t, text.String(), fmt.Sprintf("spoke_remote_bytes_total{from=\"a\",to=\"b\",direction=\"request\"} %d\n", remote*requestBytes))
	require.Contains(t, text.String(), fmt.Sprintf("spoke_remote_bytes_total{from=\"a\",to=\"b\",direction=\"answer\"} %d\n", remote*len(answerText)))
	if r.Constant {
		return
	}
	lines := strings.Count(r.log.String(), "Share of requests that leave the data centre has changed.")
	require.Contains(t, text.String(), "spoke_locality_share{service=\"s\",from=\"a\",to=\"b\"}")
	require.Positive(t, lines)
	if len(r.Failing) == 0 {
		require.LessOrEqual(t, lines, 12, "changes of a share in a steady state")
	}
}
