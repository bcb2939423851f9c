package spokecore_test

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"mulberryspoke.example/mulberryspoke/spokecase"
	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeconfig"
	"mulberryspoke.example/mulberryspoke/spokecore"
	"mulberryspoke.example/mulberryspoke/spokeerror"
	"mulberryspoke.example/mulberryspoke/spokelimit"
	"mulberryspoke.example/mulberryspoke/spokescarcity"
)

type admissionCase struct {
	Name string `yaml:"name"`
	// Guards names the failure that the case guards against.
	Guards string `yaml:"guards"`
	// IsShort is whether first events were late before, and Random the random number.
	IsShort bool    `yaml:"is_short"`
	Random  float64 `yaml:"random"`
	// IsOff is whether the core has no admission.
	IsOff    bool   `yaml:"is_off"`
	Priority int    `yaml:"priority"`
	Rank     int    `yaml:"rank"`
	After    string `yaml:"after_event"`
	// Tokens is the length of the prompt. Without one, no forecast is made.
	Tokens int `yaml:"prompt_tokens"`
	// Full is the number of servers that refuse the request as they are full.
	Full int `yaml:"full"`
	// Asked is the expected number of decisions, Sent of attempts, and Urgency that of each.
	Asked   int  `yaml:"asked"`
	Sent    int  `yaml:"sent"`
	Urgency int  `yaml:"urgency"`
	Refused bool `yaml:"refused"`
	// Events are what is recorded of the admitted request.
	Events []spokescarcity.Event `yaml:"events"`
}

// TestAdmission guards against the failures that the cases name.
func TestAdmission(t *testing.T) {
	for _, c := range spokecase.Read[[]admissionCase](t, "testdata/admission.yaml") {
		t.Run(c.Name, func(t *testing.T) { c.run(t) })
	}
}

// admission returns an admission, after first events that were late if servers are short.
func (c admissionCase) admission(clock *spokeclock.Manual) *spokescarcity.Admission {
	admission := &spokescarcity.Admission{Clock: clock.Clock(), RandomFunc: func() float64 { return c.Random }}
	if !c.IsShort {
		return admission
	}
	var admitted []*spokescarcity.AdmittedRequest
	for i := range 40 {
		verdict := admission.Decide(spokescarcity.Request{Service: "s", Route: "r", Rank: c.Rank, Target: 100, Forecast: 10, EngineTime: 10, TimeLeft: 5000, CallerTimeLeft: 5000})
		admitted = append(admitted, verdict.AdmittedRequest())
		clock.Advance(50)
		if i >= 6 && admitted[i-6] != nil {
			admission.Record("s", admitted[i-6], spokescarcity.EventFirst)
		}
	}
	return admission
}

func (c admissionCase) run(t *testing.T) {
	require.NotEmpty(t, c.Guards)
	var clock spokeclock.Manual
	clock.Advance(spokeclock.Second)
	workspace := &spokeconfig.Workspace{Name: "w", EngineRank: c.Rank, Allotment: &spokeconfig.Allotment{Rate: 1, Burst: 100, CountsTokens: true, DefaultTokens: 60}}
	pool := &spokelimit.AllotmentLimiter{Clock: clock.Clock(), MemberCountsFunc: func() (int, int) { return 1, 0 }}
	pool.Spend(workspace, spokelimit.Route{Name: "r"}, 1)
	clock.Advance(100 * spokeclock.Second)
	admission := c.admission(&clock)
	asked, sent := 0, 0
	var events []spokescarcity.Event
	set := metrics.NewSet()
	core := &spokecore.Core{
		Registry: serveCase{Servers: 4}.registry(), Clock: clock.Clock(), MemberCountFunc: oneMember, RetryRatio: 0.2, RetryBurst: 1000, Counters: spokecore.NewCounters(set), Log: zerolog.Nop(),
		Pool: pool,
	}
	if !c.IsOff {
		core.AdmissionFunc = func(request spokescarcity.Request) spokescarcity.Verdict {
			asked++
			return admission.Decide(request)
		}
		core.RecordAdmittedFunc = func(service string, admitted *spokescarcity.AdmittedRequest, event spokescarcity.Event) {
			events = append(events, event)
			admission.Record(service, admitted, event)
		}
	}
	err := core.Serve(context.Background(), &spokecore.Request{
		ID: "r", Route: &spokeconfig.CallerRoute{Name: "r", Kind: spokeconfig.RouteStream, Resumable: true, LatencyTarget: 100, MaxAttempts: 3, Priority: c.Priority},
		Service: &spokeconfig.Service{Name: "s", Kind: spokeconfig.ServiceModel}, Workspace: workspace, Deadline: clock.Clock().Now() + 6000,
		PromptTokens: c.Tokens, LastEventID: c.After,
	}, spokecore.Callbacks{
		SendAttemptFunc: func(_ context.Context, attempt spokecore.Attempt) (*spokecore.Response, error) {
			sent++
			require.Equal(t, c.Urgency, attempt.Urgency)
			if sent <= c.Full {
				return nil, spokeerror.New("send", spokecore.KindNotRun, nil)
			}
			body := strings.NewReader("id: 7\ndata: x\n\n")
			return &spokecore.Response{Body: io.NopCloser(body), EventsFunc: spokecore.ReadEvents(body, nil)}, nil
		},
		WriteHeadFunc: func(*spokecore.Response, int64) {},
		WriteBodyFunc: func([]byte) error { return nil },
	})
	require.Equal(t, c.Asked, asked, "decisions")
	require.Equal(t, c.Sent, sent, "attempts")
	require.Equal(t, c.Events, events)
	if !c.Refused {
		require.NoError(t, err)
		return
	}
	var text strings.Builder
	set.WritePrometheus(&text)
	require.Contains(t, text.String(), `spoke_unadmitted_requests_total{route="r",reason="precedence"} 1`)
	c.checkRefusal(t, core, workspace, err)
}

// checkRefusal checks that the refusal is true and costs nothing of the allotment.
func (c admissionCase) checkRefusal(t *testing.T, core *spokecore.Core, workspace *spokeconfig.Workspace, err error) {
	var refusal *spokecore.Refusal
	require.ErrorAs(t, err, &refusal)
	require.Equal(t, spokecore.KindOverloaded, refusal.Kind())
	require.True(t, refusal.NotRun())
	require.Positive(t, refusal.RetryAfter())
	require.LessOrEqual(t, refusal.RetryAfter(), 2*spokeclock.Second)
	for i := range 5 {
		err = core.Serve(context.Background(), &spokecore.Request{
			ID: fmt.Sprint(i), Route: &spokeconfig.CallerRoute{Name: "r", LatencyTarget: 100}, Service: &spokeconfig.Service{Name: "s", Kind: spokeconfig.ServiceModel}, Workspace: workspace,
			Deadline: core.Clock.Now() + 6000, PromptTokens: c.Tokens,
		}, spokecore.Callbacks{})
		require.ErrorAs(t, err, &refusal)
		require.Equal(t, spokecore.KindOverloaded, refusal.Kind(), "the allotment was given back")
	}
}
