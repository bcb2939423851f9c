package spokecore_test

import (
	"context"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"mulberryspoke.example/mulberryspoke/spokebackoff"
	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeconfig"
	"mulberryspoke.example/mulberryspoke/spokecore"
	"mulberryspoke.example/mulberryspoke/spokelimit"
)

// refuse serves a request that the core must refuse, and returns the refusal.
func refuse(t *testing.T, core *spokecore.Core, workspace *spokeconfig.Workspace) *spokecore.Refusal {
	t.Helper()
	now := core.Clock.Now()
	err := core.Serve(context.Background(), &spokecore.Request{
		ID: "r", Route: &spokeconfig.CallerRoute{Name: "r"}, Service: &spokeconfig.Service{Name: "s", Kind: spokeconfig.ServicePlain}, Workspace: workspace,
		Deadline: now + 6*spokeclock.Second, CallerDeadline: now + 12*spokeclock.Second,
	}, spokecore.Callbacks{})
	var refusal *spokecore.Refusal
	require.ErrorAs(t, err, &refusal)
	require.True(t, refusal.NotRun())
	return refusal
}

// TestReturnTimes guards against refused callers that are told one time for all: those over
// an allotment get the times of the schedule, one after the other, and those without a server
// are spread from a second on, within a third of the caller's time.
func TestReturnTimes(t *testing.T) {
	var clock spokeclock.Manual
	clock.Advance(spokeclock.Second)
	core := &spokecore.Core{
		Registry: serveCase{}.registry(), Clock: clock.Clock(), Counters: spokecore.NewCounters(metrics.NewSet()), Log: zerolog.Nop(),
		Backoff: &spokebackoff.Schedule{Clock: clock.Clock(), RandomFunc: func() float64 { return 0.5 }},
		Pool:    &spokelimit.AllotmentLimiter{Clock: clock.Clock(), MemberCountsFunc: func() (int, int) { return 1, 0 }, RandomFunc: func() float64 { return 0.999 }},
	}
	require.Equal(t, 2500*spokeclock.Millis(1), refuse(t, core, nil).RetryAfter(), "no server: half way from 1 s to 4 s")
	workspace := &spokeconfig.Workspace{Name: "w", Allotment: &spokeconfig.Allotment{Rate: 10, CountsTokens: true, DefaultTokens: 10}}
	last := spokeclock.Millis(0)
	for range 2 {
		refusal := refuse(t, core, workspace)
		require.Equal(t, spokecore.KindWorkspaceLimit, refusal.Kind())
		require.Greater(t, refusal.RetryAfter(), last)
		last = refusal.RetryAfter()
	}
	for range 10 {
		require.LessOrEqual(t, refuse(t, core, workspace).RetryAfter(), 5*spokeclock.Second)
	}
}
