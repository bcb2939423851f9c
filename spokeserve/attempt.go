package spokeserve

import (
	"context"
	"errors"
	"slices"

	"mulberryspoke.example/mulberryspoke/gen/types"
	"mulberryspoke.example/mulberryspoke/spokebackend"
	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeengine"
	"mulberryspoke.example/mulberryspoke/spokeroute"
	"mulberryspoke.example/mulberryspoke/spoketrace"
)

// verdict tells how an attempt ended.
type verdict int

const (
	verdictWhole verdict = iota
	verdictLeft
	verdictFailed
	verdictStalled
	verdictSlow
	verdictNotBegun
	verdictGone
)

// pick chooses a backend server, waiting a while for one to be there.
func (g *generation) pick(ctx context.Context) (string, *types.Refusal) {
	patience := pickPatience
	if len(g.delivered) > 0 {
		patience = resumePatience
	}
	until := g.server.Clock.Now() + patience
	// An answer that moves is not held back by the share of long ones: its KV
	// cache is gone by the time that there is room.
	held := g.long && g.source == nil
	for {
		decision := g.server.choose(g.visitor, spokeroute.Request{Long: held, Avoid: g.avoid}, g.server.prefixes.Get(g.prefix))
		if decision.Server() != "" {
			return decision.Server(), nil
		}
		if spokeclock.Sleep(ctx, pickPause) != nil {
			return "", g.outOfTime(ctx)
		}
		if g.server.Clock.Now() > until {
			return "", g.broken(KindNoServer, "no backend server is live: "+string(decision.Reason()))
		}
	}
}

// attempt runs the rest of the answer on one server.
func (g *generation) attempt(ctx context.Context, target string) verdict {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	work, begun := g.server.Registry.Begin(target, g.long, func(d spokebackend.Departure) {
		if g.mustMove(d) {
			cancel(errLeaving)
		}
	})
	if !begun {
		return verdictNotBegun
	}
	ctx, span := spoketrace.Begin(ctx, "backend server generate")
	span.Note("server", target)
	request := g.request
	request.Attempt = newAttempt()
	request.Resume = slices.Clone(g.delivered)
	request.MovedFrom = g.moveCache(ctx, work)
	err := g.read(ctx, work, request, cancel)
	span.End(err)
	return g.judge(ctx, work, request, err)
}

// judge ends the work with a verdict on the server.
func (g *generation) judge(ctx context.Context, work *spokebackend.Work, request spokeengine.GenerateRequest, err error) verdict {
	if err == nil {
		work.Succeed()
		g.server.prefixes.Put(g.prefix, work.Instance().Name)
		return verdictWhole
	}
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, errLeaving):
		work.Leave()
		g.source = g.sourceAfter(work, request)
		g.server.Counters.resumed.Inc()
		return verdictLeft
	case errors.Is(cause, errSlow):
		work.Leave()
		g.source = g.sourceAfter(work, request)
		g.server.Counters.resumed.Inc()
		return verdictSlow
	case errors.Is(cause, errStalled):
		work.Fail()
		g.source = g.sourceAfter(work, request)
		g.server.Counters.resumed.Inc()
		return verdictStalled
	case ctx.Err() != nil:
		work.Leave()
		return verdictGone
	default:
		work.Fail()
		g.server.Counters.resumed.Inc()
		g.server.Log.Info().Err(err).Str("server", work.Instance().Name).Msg("Attempt failed.")
		return verdictFailed
	}
}

// read streams one attempt's tokens to the caller's side.
func (g *generation) read(ctx context.Context, work *spokebackend.Work, request spokeengine.GenerateRequest, cancel context.CancelCauseFunc) error {
	engine := spokeengine.Engine{URL: "http://" + work.Instance().Address, Client: g.server.Client}
	dog := g.watch(work, cancel)
	defer dog.stop()
	stream, err := engine.Generate(ctx, request)
	if err != nil {
		return err
	}
	err = stream.Read(func(event spokeengine.Event) error {
		if event.Computed > 0 && len(request.Resume) > 0 {
			g.server.Counters.recomputed.Add(event.Computed)
			g.server.Log.Info().Int("tokens", event.Computed).Str("server", work.Instance().Name).Str("moved_from", request.MovedFrom).Msg("Tokens were computed again.")
		}
		if event.Finish != "" {
			g.finish = event.Finish
			return nil
		}
		if g.shouldLeave(work, event) {
			cancel(errSlow)
		}
		return g.take(ctx, dog, event.Token)
	})
	g.server.Counters.foreign.Add(stream.Foreign())
	return err
}

// take passes a token on.
func (g *generation) take(ctx context.Context, dog *watchdog, token string) error {
	dog.fed()
	if len(g.delivered) == 0 {
		now := g.server.Clock.Now()
		g.firstAt.Store(int64(now))
		g.server.Counters.firstToken.Update(float64(now-g.started) / float64(spokeclock.Second))
	}
	dog.pause()
	select {
	case g.tokens <- token:
	case <-ctx.Done():
		return ctx.Err()
	}
	dog.resume()
	g.delivered = append(g.delivered, token)
	g.count.Add(1)
	g.server.Counters.tokens.Inc()
	return nil
}
