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

// servedAnswer is what the next server asked does.
type servedAnswer struct {
	// Error is the kind of an attempt without an answer.
	Error spokecore.Kind `yaml:"error"`
	// Hangs says that it does not answer until the attempt is given up.
	Hangs bool `yaml:"hangs"`
	// Failed says that it reports a failure of its own.
	Failed bool `yaml:"failed"`
	// Body is what it sends, and Cut that its body then breaks off.
	Body string `yaml:"body"`
	Cut  bool   `yaml:"cut"`
	// Recorded says that the front knows the answer already.
	Recorded bool `yaml:"recorded"`
	// From is the event behind which the attempt must ask it to go on.
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
	Answers   []servedAnswer        `yaml:"answers"`
	// Reserve is the number of repeats that may be saved up. Zero means 50; of
	// one, half is there, which allows none.
	Reserve float64 `yaml:"reserve"`
	// Patience is how long a request waits for a server, and Come when they come.
	Patience spokeclock.Millis `yaml:"patience_millis"`
	Come     spokeclock.Millis `yaml:"come_after_millis"`
	// Got is what reaches the caller.
	Got string `yaml:"got"`
	// Refused is the kind of the refusal, empty when the answer is whole.
	Refused spokecore.Kind `yaml:"refused"`
	NotRun  bool           `yaml:"not_run"`
	Returns bool           `yaml:"returns"`
	// Begun is how many requests count as begun.
	Begun int `yaml:"begun"`
}

// TestServe plays what backend servers do with one request.
func TestServe(t *testing.T) {
	for _, c := range spokecase.Read[[]serveCase](t, "testdata/serves.yaml") {
		t.Run(c.Name, func(t *testing.T) { c.play(t) })
	}
}

func (c serveCase) play(t *testing.T) {
	begun, sent := 0, 0
	core := &spokecore.Core{
		Registry: c.registry(), ServerWaitTimeout: c.Patience, Pool: &spokelimit.AllotmentLimiter{MemberCountFunc: one}, MemberCountFunc: one,
		RequestStartedFunc: func(string) { begun++ }, AddEngineTimeFunc: func(string, spokeclock.Millis) {}, ReachableFunc: func(string) bool { return true },
		RetryRatio: 0.2, RetryBurst: c.reserve(), Counters: spokecore.NewCounters(metrics.NewSet()), Log: zerolog.Nop(),
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
			return c.Answers[sent-1].reply(ctx, t, attempt)
		},
		WriteHeadFunc: func(*spokecore.Response, int64) {},
		WriteBodyFunc: func(part []byte) error {
			got.Write(part)
			return nil
		},
	})
	require.Equal(t, len(c.Answers), sent, "attempts")
	require.Equal(t, c.Got, got.String())
	require.Equal(t, c.Begun, begun, "begun")
	c.compare(t, err)
}

func (c serveCase) compare(t *testing.T, err error) {
	if c.Refused == "" {
		require.NoError(t, err)
		return
	}
	var refusal *spokecore.Refusal
	require.ErrorAs(t, err, &refusal)
	require.Equal(t, c.Refused, refusal.Kind())
	require.Equal(t, c.NotRun, refusal.NotRun(), "not run")
	require.Equal(t, c.Returns, refusal.RetryAfter() > 0, "when to come back")
}

func (a servedAnswer) reply(ctx context.Context, t *testing.T, attempt spokecore.Attempt) (*spokecore.Response, error) {
	require.Equal(t, a.From, attempt.LastEventID)
	if a.Hangs {
		<-ctx.Done()
		return nil, spokeerror.New("send", spokecore.KindNoAnswer, ctx.Err())
	}
	if a.Error != "" {
		return nil, spokeerror.New("send", a.Error, nil)
	}
	body := io.Reader(strings.NewReader(a.Body))
	if a.Cut {
		body = io.MultiReader(body, cutReader{})
	}
	reply := &spokecore.Response{ServerFailed: a.Failed, Replayed: a.Recorded, Body: io.NopCloser(body)}
	if strings.Contains(a.Body, "id:") {
		reply.EventsFunc = spokecore.ReadEvents(body)
	}
	return reply, nil
}

// cutReader is a connection that breaks.
type cutReader struct{}

var errCut = errors.New("cut")

// Read fails.
func (cutReader) Read([]byte) (int, error) { return 0, errCut }

func one() int { return 1 }

func (c serveCase) reserve() float64 {
	if c.Reserve == 0 {
		return 50
	}
	return c.Reserve
}

// registry returns a registry that knows the servers once they have come.
func (c serveCase) registry() *spokebackend.Registry {
	registry := &spokebackend.Registry{DataCentre: "a", ListIsAuthoritative: true}
	learn := func() { registry.UpdateInstances(instancesOf(c.Servers)) }
	if c.Come > 0 {
		time.AfterFunc(c.Come.Duration(), learn)
		return registry
	}
	learn()
	return registry
}

func instancesOf(servers int) []spokecloud.Instance {
	var instances []spokecloud.Instance
	for i := range servers {
		instances = append(instances, spokecloud.Instance{
			Name: string(rune('a' + i)), Role: spokecloud.RoleBackend, Service: "s", DataCentre: "a", State: spokecloud.StateRunning, Slots: 4,
		})
	}
	return instances
}
