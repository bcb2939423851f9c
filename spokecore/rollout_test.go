package spokecore_test

import (
	"context"
	"strconv"
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
	"mulberryspoke.example/mulberryspoke/spokeorigin"
	"mulberryspoke.example/mulberryspoke/spokerollout"
	"mulberryspoke.example/mulberryspoke/spoketable"
)

type rolloutCase struct {
	Name      string                `yaml:"name"`
	Kind      spokeconfig.RouteKind `yaml:"kind"`
	Resumable bool                  `yaml:"resumable"`
	// Servers are versions of software, each with one server for each letter of its value.
	Servers map[string]string `yaml:"servers"`
	// Status is the state of the rollout to v2, running if empty.
	Status spokerollout.State `yaml:"status"`
	Draw   float64            `yaml:"draw"`
	// IsBarredAfter is the number of attempts after which v2 is found bad.
	IsBarredAfter int `yaml:"barred_after"`
	// TableIsAway lets origins of streams fail to be recorded, with v1 as the base.
	TableIsAway bool              `yaml:"table_is_away"`
	Answers     []serverBehaviour `yaml:"answers"`
	// Tried are the versions of the servers that were tried.
	Tried   []string       `yaml:"tried"`
	Refused spokecore.Kind `yaml:"refused"`
	NotRun  bool           `yaml:"not_run"`
	// Recorded is what is reported of the answers: version and result.
	Recorded []string `yaml:"recorded"`
}

// TestVersionsDuringRollout guards against requests that go to the wrong version of a
// service that is being rolled out, and against answers that are reported wrongly.
func TestVersionsDuringRollout(t *testing.T) {
	for _, c := range spokecase.Read[[]rolloutCase](t, "testdata/rollouts.yaml") {
		t.Run(c.Name, func(t *testing.T) { c.run(t) })
	}
}

func (c rolloutCase) run(t *testing.T) {
	rollouts := &spokerollout.Rollouts{ExposeShare: 0.1}
	rollouts.SetStatuses(nil)
	rollouts.SetOrders(map[string]spokerollout.Order{"s": {To: "v2", TimeLimit: 12000, Version: 1}}, false)
	setStatus := func(state spokerollout.State) {
		rollouts.SetStatuses(map[string]spokerollout.StatusRow{"s": {Status: spokerollout.Status{State: state, To: "v2"}, Version: 2}})
	}
	setStatus(c.Status)
	var tried, recorded []string
	core := &spokecore.Core{
		Registry: c.registry(), MemberCountFunc: oneMember, RetryRatio: 0.2, RetryBurst: 50, Counters: spokecore.NewCounters(metrics.NewSet()), Log: zerolog.Nop(),
		FilterVersionsFunc: func(service string, _ float64, failedVersion string) spokerollout.Filter {
			return rollouts.Filter(service, c.Draw, failedVersion)
		},
		RecordAnswerFunc: func(answer spokerollout.Answer) { recorded = append(recorded, describeAnswer(answer)) },
	}
	if c.TableIsAway {
		core.Origins = newAbsentOrigins(t)
	}
	request := &spokecore.Request{
		ID: "r", Route: &spokeconfig.CallerRoute{Name: "r", Kind: c.Kind, Resumable: c.Resumable, MaxAttempts: 3}, Service: &spokeconfig.Service{Name: "s", Kind: spokeconfig.ServicePlain},
		Deadline: core.Clock.Now() + 500,
	}
	err := core.Serve(context.Background(), request, spokecore.Callbacks{
		SendAttemptFunc: func(ctx context.Context, attempt spokecore.Attempt) (*spokecore.Response, error) {
			tried = append(tried, attempt.Server.SoftwareVersion)
			require.LessOrEqual(t, len(tried), len(c.Answers), "more attempts than the script has")
			if len(tried) == c.IsBarredAfter {
				setStatus(spokerollout.StateRolledBack)
			}
			return c.Answers[len(tried)-1].respond(ctx, t, attempt)
		},
		WriteHeadFunc: func(*spokecore.Response, int64) {},
		WriteBodyFunc: func([]byte) error { return nil },
	})
	require.Equal(t, c.Tried, tried, "%v", err)
	if c.Recorded != nil {
		require.Equal(t, c.Recorded, recorded)
	}
	if c.Refused == "" {
		require.NoError(t, err)
		return
	}
	var refusal *spokecore.Refusal
	require.ErrorAs(t, err, &refusal)
	require.Equal(t, c.Refused, refusal.Kind(), "%v", err)
	require.Equal(t, c.NotRun, refusal.NotRun())
}

func (c rolloutCase) registry() *spokebackend.Registry {
	registry := &spokebackend.Registry{DataCentre: "a", ListIsAuthoritative: true}
	var instances []spokecloud.Instance
	for version, names := range c.Servers {
		for _, name := range strings.Split(names, "") {
			instances = append(instances, spokecloud.Instance{
				Name: name, Role: spokecloud.RoleBackend, Service: "s", DataCentre: "a", State: spokecloud.StateRunning, Slots: 4, SoftwareVersion: version,
			})
		}
	}
	registry.UpdateInstances(instances)
	return registry
}

func describeAnswer(answer spokerollout.Answer) string {
	text := answer.Version
	for _, part := range []struct {
		isSet bool
		name  string
	}{
		{answer.IsAnswer, "answer"},
		{answer.IsFailed, "failed"},
		{answer.IsBroken, "broken"},
		{answer.IsWaiting, "waiting"},
		{answer.MeanPause > 0, "paced"},
		{answer.Duration > 0, "complete"},
	} {
		if part.isSet {
			text += " " + part.name
		}
	}
	return text
}

// newAbsentOrigins returns origins whose table has stopped answering after the base was
// read, so that they prefer the base.
func newAbsentOrigins(t *testing.T) *spokeorigin.Records {
	isAway := false
	unavailable := func() error { return spokeerror.Newf("call table", spoketable.KindUnavailable, "the table is away") }
	read := func(_ context.Context, keys ...string) ([]spoketable.Row, error) {
		if isAway {
			return nil, unavailable()
		}
		var rows []spoketable.Row
		for _, key := range keys {
			rows = append(rows, spoketable.Row{Key: key, Version: 1, Value: []byte(`{"software_version":"v1"}`)})
		}
		return rows, nil
	}
	table := spokeorigin.Table{ReadFunc: read, TransactFunc: func(context.Context, spoketable.Transaction) (spoketable.Outcome, error) {
		return spoketable.Outcome{}, unavailable()
	}}
	origins := &spokeorigin.Records{
		Bases: table, Shards: []spokeorigin.Table{table}, VersionsFunc: func(string) map[string]int { return map[string]int{"v1": 2, "v2": 2} },
		ServicesFunc: func() []string { return []string{"s"} }, EraFunc: func() spoketable.Era { return 0 }, IsCleanerFunc: func() bool { return false }, Log: zerolog.Nop(),
	}
	origins.Check(context.Background())
	isAway = true
	require.Error(t, origins.Begin(context.Background(), spokeorigin.Stream{ID: "x", Service: "s", TimeLeft: 1000}, "v2"))
	preferred, hasPreferred := origins.PreferredVersion("s")
	require.True(t, hasPreferred)
	require.Equal(t, "v1", preferred)
	return origins
}

type subsetCase struct {
	Name string `yaml:"name"`
	// Old and New are the numbers of servers of each version.
	Old int `yaml:"old"`
	New int `yaml:"new"`
	// OldSlots and NewSlots are those of each server, 4 by default.
	OldSlots int `yaml:"old_slots"`
	NewSlots int `yaml:"new_slots"`
	// Status is the state of the rollout to v2, running if empty.
	Status spokerollout.State `yaml:"status"`
	// AreDraining lets the servers that were used first drain before all else is checked.
	AreDraining bool `yaml:"are_draining"`
	// AreFailing lets them fail a request each, so that they are suspended.
	AreFailing bool `yaml:"are_failing"`
	// Used is the number of servers of the new version that get requests of its share.
	Used int `yaml:"used"`
}

// TestShareGoesToFewServers guards against a share that is spread over all servers of the
// new version, so that none is as busy as the old ones and a version that is bad only under
// load is taken for good.
func TestShareGoesToFewServers(t *testing.T) {
	for _, c := range spokecase.Read[[]subsetCase](t, "testdata/subsets.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			var used []map[string]bool
			for range 2 {
				// Two instances choose the same servers.
				used = append(used, c.run(t))
			}
			require.Equal(t, used[0], used[1])
			require.Len(t, used[0], c.Used, "%v", used[0])
		})
	}
}

// run returns the servers of the new version that got requests.
func (c subsetCase) run(t *testing.T) map[string]bool {
	rollouts := &spokerollout.Rollouts{ExposeShare: 0.1}
	rollouts.SetStatuses(nil)
	rollouts.SetOrders(map[string]spokerollout.Order{"s": {To: "v2", TimeLimit: 12000, Version: 1}}, false)
	rollouts.SetStatuses(map[string]spokerollout.StatusRow{"s": {Status: spokerollout.Status{State: c.Status, To: "v2"}, Version: 2}})
	// The clock of the registry stands still, so that suspended servers stay so.
	var registryTime spokeclock.Manual
	core := &spokecore.Core{
		Registry: &spokebackend.Registry{DataCentre: "a", ListIsAuthoritative: true, Clock: registryTime.Clock()}, MemberCountFunc: oneMember, RetryRatio: 0.2, RetryBurst: 50, Counters: spokecore.NewCounters(metrics.NewSet()), Log: zerolog.Nop(),
		FilterVersionsFunc: func(service string, _ float64, failedVersion string) spokerollout.Filter {
			return rollouts.Filter(service, 0, failedVersion)
		},
	}
	core.Registry.UpdateInstances(c.instances(nil))
	first := c.send(t, core, nil)
	if !c.AreDraining && !c.AreFailing {
		return first
	}
	failing := first
	if c.AreDraining {
		core.Registry.UpdateInstances(c.instances(first))
		failing = nil
	}
	used := c.send(t, core, failing)
	for name := range first {
		require.NotContains(t, used, name, "a server that drains or is suspended")
	}
	return used
}

func (c subsetCase) instances(draining map[string]bool) []spokecloud.Instance {
	var instances []spokecloud.Instance
	for version, servers := range map[string]struct{ count, slots int }{"v1": {c.Old, c.OldSlots}, "v2": {c.New, c.NewSlots}} {
		for i := range servers.count {
			instance := spokecloud.Instance{
				Name: version + "-" + strconv.Itoa(i), Role: spokecloud.RoleBackend, Service: "s", DataCentre: "a", State: spokecloud.StateRunning, Slots: max(4, servers.slots), SoftwareVersion: version,
			}
			if draining[instance.Name] {
				instance.State = spokecloud.StateTerminating
			}
			instances = append(instances, instance)
		}
	}
	return instances
}

// send sends requests whose draw is in the share and returns the servers of the new version
// that answered them. Failing servers fail their first one.
func (subsetCase) send(t *testing.T, core *spokecore.Core, failing map[string]bool) map[string]bool {
	const requests = 200
	used, failed := make(map[string]bool), make(map[string]bool)
	for i := range requests {
		request := &spokecore.Request{
			ID: strconv.Itoa(i), Route: &spokeconfig.CallerRoute{Name: "r", Kind: "idempotent", MaxAttempts: 2}, Service: &spokeconfig.Service{Name: "s", Kind: spokeconfig.ServicePlain},
			Deadline: core.Clock.Now() + 500,
		}
		err := core.Serve(context.Background(), request, spokecore.Callbacks{
			SendAttemptFunc: func(ctx context.Context, attempt spokecore.Attempt) (*spokecore.Response, error) {
				if failing[attempt.Server.Name] && !failed[attempt.Server.Name] {
					failed[attempt.Server.Name] = true
					return serverBehaviour{Error: "not_sent"}.respond(ctx, t, attempt)
				}
				if attempt.Server.SoftwareVersion == "v2" {
					used[attempt.Server.Name] = true
				}
				return serverBehaviour{Body: "whole"}.respond(ctx, t, attempt)
			},
			WriteHeadFunc: func(*spokecore.Response, int64) {},
			WriteBodyFunc: func([]byte) error { return nil },
		})
		require.NoError(t, err)
	}
	return used
}
