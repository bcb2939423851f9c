package spokecore_test

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

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
	"mulberryspoke.example/mulberryspoke/spokelimit"
)

// serverBehaviour is what a server does with one attempt.
type serverBehaviour struct {
	// Error is the kind of error with which the attempt fails.
	Error spokecore.Kind `yaml:"error"`
	// Unknown means that the attempt fails with an error that has no kind.
	Unknown bool `yaml:"unknown_error"`
	// Hangs means that the server does not answer until the attempt is cancelled.
	Hangs bool `yaml:"hangs"`
	// Failed means that the server reports a failure of its own.
	Failed bool `yaml:"failed"`
	// Body is the body of the answer. Cut means that the connection then breaks.
	Body string `yaml:"body"`
	Cut  bool   `yaml:"cut"`
	// Padding is the number of bytes that precede the body.
	Padding int `yaml:"padding"`
	// Stall is the time after which Rest follows the body.
	Stall spokeclock.Millis `yaml:"stall_millis"`
	Rest  string            `yaml:"rest"`
	// HangsAfter means that nothing follows the body, not even its end, until the
	// attempt is cancelled.
	HangsAfter bool `yaml:"hangs_after"`
	// Delay is the time before the answer, which comes although the attempt is cancelled
	// meanwhile.
	Delay spokeclock.Millis `yaml:"delay_millis"`
	// Recorded means that the front replays a recorded answer.
	Recorded bool `yaml:"recorded"`
	// From is the ID of the event after which the attempt must resume.
	From string `yaml:"from"`
}

type serveCase struct {
	Name      string                `yaml:"name"`
	Kind      spokeconfig.RouteKind `yaml:"kind"`
	Resumable bool                  `yaml:"resumable"`
	Attempts  int                   `yaml:"attempts"`
	Deadline  spokeclock.Millis     `yaml:"deadline_millis"`
	Target    spokeclock.Millis     `yaml:"target_millis"`
	Servers   int                   `yaml:"servers"`
	Answers   []serverBehaviour     `yaml:"answers"`
	// RetryBurst is the burst of the retry budget. Zero means 50. The budget
	// starts half full, so that a burst of one allows no retry.
	RetryBurst float64 `yaml:"reserve"`
	// WaitTimeout is how long a request waits for a server, and AppearAfter the
	// time after which the servers appear.
	WaitTimeout spokeclock.Millis `yaml:"patience_millis"`
	AppearAfter spokeclock.Millis `yaml:"come_after_millis"`
	// Got is what the caller receives, after Padding bytes.
	Got     string `yaml:"got"`
	Padding int    `yaml:"padding"`
	// Refused is the kind of the refusal, empty if the answer is complete.
	Refused spokecore.Kind `yaml:"refused"`
	NotRun  bool           `yaml:"not_run"`
	// HasRetryAfter means that the refusal tells the caller when to retry.
	HasRetryAfter bool `yaml:"returns"`
	// Started is the number of requests that count as started.
	Started int `yaml:"begun"`
}

// TestServe runs one request against scripted backend servers. It checks the
// number of attempts, the answer or refusal that the caller receives, and whether
// the request counts as started.
func TestServe(t *testing.T) {
	for _, c := range spokecase.Read[[]serveCase](t, "testdata/serves.yaml") {
		t.Run(c.Name, func(t *testing.T) { c.run(t) })
	}
}

func (c serveCase) run(t *testing.T) {
	started, sent := 0, 0
	core := &spokecore.Core{
		Registry: c.registry(), ServerWaitTimeout: c.WaitTimeout, Pool: &spokelimit.AllotmentLimiter{MemberCountsFunc: func() (int, int) { return 1, 0 }}, MemberCountFunc: oneMember,
		RequestStartedFunc: func(string) { started++ }, AddEngineTimeFunc: func(string, spokeclock.Millis) {}, ReachableFunc: func(string) bool { return true },
		RetryRatio: 0.2, RetryBurst: c.retryBurst(), Counters: spokecore.NewCounters(metrics.NewSet()), Log: zerolog.Nop(),
	}
	var got strings.Builder
	request := &spokecore.Request{
		ID:        "r",
		Route:     &spokeconfig.CallerRoute{Name: "r", Kind: c.Kind, Resumable: c.Resumable, MaxAttempts: c.Attempts, LatencyTarget: c.Target},
		Service:   &spokeconfig.Service{Name: "s", Kind: spokeconfig.ServicePlain},
		Workspace: &spokeconfig.Workspace{Name: "w"},
		Deadline:  core.Clock.Now() + max(c.Deadline, 50),
	}
	err := core.Serve(context.Background(), request, spokecore.Callbacks{
		SendAttemptFunc: func(ctx context.Context, attempt spokecore.Attempt) (*spokecore.Response, error) {
			sent++
			require.LessOrEqual(t, sent, len(c.Answers), "more attempts than the script has")
			return c.Answers[sent-1].respond(ctx, t, attempt)
		},
		WriteHeadFunc: func(*spokecore.Response, int64) {},
		WriteBodyFunc: func(part []byte) error {
			got.Write(part)
			return nil
		},
	})
	require.Equal(t, len(c.Answers), sent, "attempts")
	text := strings.TrimLeft(got.String(), "x")
	require.Equal(t, c.Got, text)
	require.Equal(t, c.Padding, got.Len()-len(text), "padding")
	require.Equal(t, c.Started, started, "begun")
	c.checkError(t, err)
}

func (c serveCase) checkError(t *testing.T, err error) {
	if c.Refused == "" {
		require.NoError(t, err)
		return
	}
	var refusal *spokecore.Refusal
	require.ErrorAs(t, err, &refusal)
	require.Equal(t, c.Refused, refusal.Kind())
	require.Equal(t, c.NotRun, refusal.NotRun(), "not run")
	require.Equal(t, c.HasRetryAfter, refusal.RetryAfter() > 0, "retry after")
}

func (b serverBehaviour) respond(ctx context.Context, t *testing.T, attempt spokecore.Attempt) (*spokecore.Response, error) {
	require.Equal(t, b.From, attempt.LastEventID)
	if b.Hangs {
		<-ctx.Done()
		return nil, spokeerror.New("send", spokecore.KindNoAnswer, ctx.Err())
	}
	if b.Unknown {
		return nil, io.ErrUnexpectedEOF
	}
	if b.Error != "" {
		return nil, spokeerror.New("send", b.Error, nil)
	}
	time.Sleep(b.Delay.Duration())
	body := io.Reader(strings.NewReader(strings.Repeat("x", b.Padding) + b.Body))
	if b.Stall > 0 {
		body = io.MultiReader(body, stallingReader{ctx: ctx, stall: b.Stall}, strings.NewReader(b.Rest))
	}
	if b.HangsAfter {
		body = io.MultiReader(body, stallingReader{ctx: ctx, stall: maxStall})
	}
	if b.Cut {
		body = io.MultiReader(body, brokenReader{})
	}
	response := &spokecore.Response{ServerFailed: b.Failed, Replayed: b.Recorded, Body: io.NopCloser(body)}
	if strings.Contains(b.Body, "id:") {
		response.EventsFunc = spokecore.ReadEvents(body, nil)
	}
	return response, nil
}

// maxStall is longer than any test.
const maxStall = 3600 * spokeclock.Second

// stallingReader is a part of a body that takes its time and has no bytes.
type stallingReader struct {
	ctx   context.Context //nolint:containedctx // The context of the attempt ends the stall.
	stall spokeclock.Millis
}

// Read implements io.Reader.
func (s stallingReader) Read([]byte) (int, error) {
	if err := spokeclock.Sleep(s.ctx, s.stall); err != nil {
		return 0, err
	}
	return 0, io.EOF
}

// brokenReader is the rest of a body whose connection breaks.
type brokenReader struct{}

var errConnectionBroken = errors.New("cut")

// Read implements io.Reader. It always fails.
func (brokenReader) Read([]byte) (int, error) { return 0, errConnectionBroken }

func oneMember() int { return 1 }

func (c serveCase) retryBurst() float64 {
	if c.RetryBurst == 0 {
		return 50
	}
	return c.RetryBurst
}

// registry returns a registry that learns of the servers after AppearAfter.
func (c serveCase) registry() *spokebackend.Registry {
	registry := &spokebackend.Registry{DataCentre: "a", ListIsAuthoritative: true}
	addServers := func() { registry.UpdateInstances(newInstances(c.Servers)) }
	if c.AppearAfter > 0 {
		time.AfterFunc(c.AppearAfter.Duration(), addServers)
		return registry
	}
	addServers()
	return registry
}

func newInstances(servers int) []spokecloud.Instance {
	var instances []spokecloud.Instance
	for i := range servers {
		instances = append(instances, spokecloud.Instance{
			Name: string(rune('a' + i)), Role: spokecloud.RoleBackend, Service: "s", DataCentre: "a", State: spokecloud.StateRunning, Slots: 4,
		})
	}
	return instances
}
