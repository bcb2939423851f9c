package spokecore_test

import (
	"context"
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
	"mulberryspoke.example/mulberryspoke/spokequarantine"
)

// runCase is a request at the first run of a server.
type runCase struct {
	Name string `yaml:"name"`
	// Removed means that the run is marked for removal while it has the request, and
	// Restarted that its next run is listed then.
	Removed   bool `yaml:"removed"`
	Restarted bool `yaml:"restarted"`
	// Whole means that the answer ends with its connection and seems complete. Otherwise it
	// is broken off.
	Whole bool `yaml:"whole"`
	// Refuses means that the server's address refuses connections afterwards.
	Refuses bool `yaml:"refuses"`
	// Crashes is the number of crashes that the request then has, and Answered whether an
	// answer to it is known.
	Crashes  int  `yaml:"crashes"`
	Answered bool `yaml:"answered"`
}

// TestRunOfAnswer guards against the end of one run of a server being judged by what is known
// of the next run of its name.
func TestRunOfAnswer(t *testing.T) {
	for _, c := range spokecase.Read[[]runCase](t, "testdata/runs.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			core := newQuarantineCore(func(spokecloud.Instance) bool { return c.Refuses })
			core.Quarantine.RecordCrash(spokequarantine.Crash{Server: "other", Request: "r", Subjects: contentOf("r")})
			serveContent(core, "r", func() *spokecore.Response {
				if c.Removed {
					core.Registry.MarkForRemoval("a", spokebackend.Removal{Source: spokebackend.SourceAnswer, Generation: 1})
				}
				if c.Restarted {
					listRun(core, 2)
				}
				if !c.Whole {
					return nil
				}
				return &spokecore.Response{EndsWithConnection: true, Body: io.NopCloser(strings.NewReader("answer"))}
			})
			check := func() bool {
				suspect := suspectOf(core, "r")
				return len(suspect.Crashes) == c.Crashes && (suspect.AnsweredAge > 0) == c.Answered
			}
			require.Eventually(t, check, time.Second, time.Millisecond)
			time.Sleep(checkedAfter)
			require.True(t, check(), "%+v", suspectOf(core, "r"))
		})
	}
}

// checkedAfter is when the check of a server is over that does not wait.
const checkedAfter = 20 * time.Millisecond

// TestCrashCheckOfRun guards against an answer of the next run of a server being judged by
// the check of the run before, which is still under way.
func TestCrashCheckOfRun(t *testing.T) {
	isFirstChecked := make(chan struct{})
	core := newQuarantineCore(func(server spokecloud.Instance) bool {
		if server.Generation == 1 {
			<-isFirstChecked
		}
		return server.Generation == 1
	})
	serveContent(core, "first", func() *spokecore.Response { return nil })
	listRun(core, 2)
	serveContent(core, "second", func() *spokecore.Response { return nil })
	close(isFirstChecked)
	require.Eventually(t, func() bool { return len(suspectOf(core, "first").Crashes) == 1 }, time.Second, time.Millisecond)
	require.Equal(t, int64(1), suspectOf(core, "first").Crashes[0].Generation)
	require.Empty(t, suspectOf(core, "second").Crashes)
}

// TestAnsweredTrial guards against a request that is refused although the trial before it was
// answered, as its caller had the whole answer before it was recorded.
func TestAnsweredTrial(t *testing.T) {
	var shift spokeclock.Millis
	core := newQuarantineCore(func(spokecloud.Instance) bool { return false })
	core.Quarantine.Clock = &spokeclock.Clock{NowFunc: func() spokeclock.Millis { return core.Clock.Now() + shift }}
	for _, server := range []string{"x", "y"} {
		shift += 100
		core.Quarantine.RecordCrash(spokequarantine.Crash{Server: server, Request: "r", Subjects: contentOf("r")})
	}
	bar := core.Quarantine.Find(contentOf("r"))
	require.NotEmpty(t, bar.Subject)
	shift += bar.Remaining
	answer := func() *spokecore.Response {
		return &spokecore.Response{Body: io.NopCloser(strings.NewReader("answer"))}
	}
	answers := 0
	serveCaller(core, "r", answer, func() {
		answers++
		serveCaller(core, "r", answer, func() { answers++ })
	})
	require.Equal(t, 2, answers)
}

// newQuarantineCore returns a core before the first run of the server a.
func newQuarantineCore(refusesFunc func(server spokecloud.Instance) bool) *spokecore.Core {
	core := &spokecore.Core{
		Registry: &spokebackend.Registry{DataCentre: "a", ListIsAuthoritative: true}, Pool: &spokelimit.AllotmentLimiter{MemberCountsFunc: func() (int, int) { return 1, 0 }}, MemberCountFunc: oneMember,
		RequestStartedFunc: func(string) {}, AddEngineTimeFunc: func(string, spokeclock.Millis) {}, ReachableFunc: func(string) bool { return true },
		RetryRatio: 0.2, RetryBurst: 50, Counters: spokecore.NewCounters(metrics.NewSet()), Log: zerolog.Nop(),
		Quarantine:             &spokequarantine.Quarantine{},
		RefusesConnectionsFunc: func(_ context.Context, server spokecloud.Instance) bool { return refusesFunc(server) },
	}
	listRun(core, 1)
	return core
}

func listRun(core *spokecore.Core, generation int64) {
	instances := newInstances(1)
	instances[0].Generation = generation
	core.Registry.UpdateInstances(instances)
}

// serveContent serves a request with a content. The answer is broken off if respondFunc
// returns nil.
func serveContent(core *spokecore.Core, content string, respondFunc func() *spokecore.Response) {
	serveCaller(core, content, respondFunc, func() {})
}

// serveCaller is serveContent with what happens as soon as the caller has a part of the
// answer.
func serveCaller(core *spokecore.Core, content string, respondFunc func() *spokecore.Response, writtenFunc func()) {
	request := &spokecore.Request{
		ID: content, ContentKey: content,
		Route:     &spokeconfig.CallerRoute{Name: "r", Kind: spokeconfig.RouteAtMostOnce, MaxAttempts: 1},
		Service:   &spokeconfig.Service{Name: "s", Kind: spokeconfig.ServicePlain},
		Workspace: &spokeconfig.Workspace{Name: "w"},
		Deadline:  core.Clock.Now() + spokeclock.Second,
	}
	_ = core.Serve(context.Background(), request, spokecore.Callbacks{
		SendAttemptFunc: func(context.Context, spokecore.Attempt) (*spokecore.Response, error) {
			if response := respondFunc(); response != nil {
				return response, nil
			}
			return nil, spokeerror.New("send", spokecore.KindNoAnswer, nil)
		},
		WriteHeadFunc: func(*spokecore.Response, int64) {},
		WriteBodyFunc: func([]byte) error {
			writtenFunc()
			return nil
		},
	})
}

func contentOf(key string) []spokequarantine.Subject {
	return []spokequarantine.Subject{spokequarantine.Content(key)}
}

// suspectOf returns what is known of a content.
func suspectOf(core *spokecore.Core, key string) spokequarantine.SuspectNews {
	news, _, _ := core.Quarantine.NewsSince(0, false)
	for _, suspect := range news.Suspects {
		if suspect.Subject == spokequarantine.Content(key) {
			return suspect
		}
	}
	return spokequarantine.SuspectNews{}
}
