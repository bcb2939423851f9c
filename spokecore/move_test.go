package spokecore_test

import (
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"mulberryspoke.example/mulberryspoke/spokebackend"
	"mulberryspoke.example/mulberryspoke/spokecase"
	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeconfig"
	"mulberryspoke.example/mulberryspoke/spokecore"
	"mulberryspoke.example/mulberryspoke/spokelimit"
)

type removedCase struct {
	Name string `yaml:"name"`
	// Tokens is the number of tokens of the answer, Before those that the server delivers
	// before its removal is announced, and After those that it delivers afterwards.
	Tokens int `yaml:"tokens"`
	Before int `yaml:"before"`
	After  int `yaml:"after"`
	// Source and Remaining announce the removal.
	Source    spokebackend.RemovalSource `yaml:"source"`
	Remaining spokeclock.Millis          `yaml:"remaining_millis"`
	// Moved is whether the answer moves before the server is gone.
	Moved bool `yaml:"moved"`
}

// TestAnswerAtRemovedServer guards against an answer that is lost with its server, with
// its KV cache, as the server became slower after its removal was announced.
func TestAnswerAtRemovedServer(t *testing.T) {
	for _, c := range spokecase.Read[[]removedCase](t, "testdata/removed.yaml") {
		t.Run(c.Name, func(t *testing.T) { c.run(t) })
	}
}

func (c removedCase) run(t *testing.T) {
	registry := &spokebackend.Registry{DataCentre: "a"}
	registry.UpdateInstances(newInstances(2))
	core := &spokecore.Core{
		Registry: registry, MoveOnRemoval: true, Pool: &spokelimit.AllotmentLimiter{MemberCountsFunc: func() (int, int) { return 1, 0 }}, MemberCountFunc: oneMember,
		RequestStartedFunc: func(string) {}, AddEngineTimeFunc: func(string, spokeclock.Millis) {}, ReachableFunc: func(string) bool { return true },
		RetryRatio: 0.2, RetryBurst: 50, Counters: spokecore.NewCounters(metrics.NewSet()), Log: zerolog.Nop(),
	}
	var attempts []spokecore.Attempt
	delivered, goneAt := 0, time.Time{}
	respond := func(ctx context.Context, forward func(spokecore.Event) error) error {
		deliver := func(tokens int) error {
			for range tokens {
				delivered++
				if err := forward(spokecore.Event{ID: strconv.Itoa(delivered), Raw: []byte("t")}); err != nil {
					return err
				}
				time.Sleep(time.Millisecond)
			}
			return nil
		}
		if len(attempts) > 1 {
			return deliver(c.Tokens - delivered)
		}
		if err := deliver(c.Before); err != nil {
			return err
		}
		goneAt = time.Now().Add(c.Remaining.Duration())
		registry.MarkForRemoval(attempts[0].Server.Name, spokebackend.Removal{Source: c.Source, Remaining: c.Remaining})
		if err := deliver(c.After); err != nil || delivered == c.Tokens {
			return err
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(goneAt)):
		}
		return errConnectionBroken
	}
	request := &spokecore.Request{
		ID:           "r",
		Route:        &spokeconfig.CallerRoute{Name: "r", Kind: spokeconfig.RouteStream, Resumable: true, MaxAttempts: 4, EventGapTarget: 5 * spokeclock.Second},
		Service:      &spokeconfig.Service{Name: "s", Kind: spokeconfig.ServicePlain},
		Workspace:    &spokeconfig.Workspace{Name: "w"},
		AnswerTokens: c.Tokens,
		Deadline:     core.Clock.Now() + 10*spokeclock.Second,
	}
	err := core.Serve(t.Context(), request, spokecore.Callbacks{
		SendAttemptFunc: func(ctx context.Context, attempt spokecore.Attempt) (*spokecore.Response, error) {
			attempts = append(attempts, attempt)
			return &spokecore.Response{EventsFunc: func(forward func(spokecore.Event) error) error { return respond(ctx, forward) }}, nil
		},
		WriteHeadFunc: func(*spokecore.Response, int64) {},
		WriteBodyFunc: func([]byte) error { return nil },
	})
	require.NoError(t, err)
	require.Equal(t, c.Tokens, delivered)
	if !c.Moved {
		require.Len(t, attempts, 1)
		return
	}
	require.Len(t, attempts, 2)
	require.Equal(t, attempts[0].Server.Name, attempts[1].MovedFrom.Name, "the KV cache is lost")
}
