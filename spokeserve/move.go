package spokeserve

import (
	"context"

	"mulberryspoke.example/mulberryspoke/spokebackend"
	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeengine"
)

// cacheSource is where the KV cache of an interrupted attempt is.
type cacheSource struct {
	attempt string
	address string
}

// sourceAfter returns where the KV cache is after an interrupted attempt. One
// that brought no token has computed nothing, but the server may hold the cache
// that was imported for it.
func (g *generation) sourceAfter(work *spokebackend.Work, request spokeengine.GenerateRequest) *cacheSource {
	source := &cacheSource{attempt: request.Attempt, address: work.Instance().Address}
	if len(g.delivered) == len(request.Resume) && request.MovedFrom != "" {
		source.attempt = request.MovedFrom
	}
	return source
}

// hasBetterPlace reports whether another server could run the answer at once.
func (g *generation) hasBetterPlace(current string) bool {
	for _, c := range g.server.Registry.Candidates(g.visitor.service.Name, "") {
		usable := !c.Leaving && !c.Suspended && c.Name != current
		if usable && c.InFlight < c.Slots && c.Slowness < slowPlace {
			return true
		}
	}
	return false
}

// slowPlace is the slowness from which a server is no better place.
const slowPlace = 2.5

// shouldLeave reports whether the server has slowed down so much that the rest
// of the answer, which is worth the move, comes sooner from another.
func (g *generation) shouldLeave(work *spokebackend.Work, event spokeengine.Event) bool {
	rest := g.request.MaxTokens - event.Index
	if g.server.Switches.NoSlowMove || rest < worthMoving || event.Index%slowCheckEvery != 0 {
		return false
	}
	if work.Slowness() < slowEnough || !g.hasBetterPlace(work.Instance().Name) {
		return false
	}
	return g.server.desk(g.visitor.service).budget.Allow()
}

// mustMove decides whether an answer is to leave a departing server, or is
// expected to end there in time.
func (g *generation) mustMove(departure spokebackend.Departure) bool {
	if departure.Source == spokebackend.SourceDrain || departure.Source == spokebackend.SourcePlan || g.server.Switches.NoMove {
		return false
	}
	if departure.Source == spokebackend.SourceStop || departure.Left == 0 {
		return true
	}
	rest := spokeclock.Millis(int64(g.request.MaxTokens) - g.count.Load())
	return rest*g.tokenGap()+finishMargin > departure.Left
}

// tokenGap is the observed time for a token, or the target before there is
// one.
func (g *generation) tokenGap() spokeclock.Millis {
	count := spokeclock.Millis(g.count.Load())
	firstAt := spokeclock.Millis(g.firstAt.Load())
	if count > 1 && firstAt > 0 {
		return (g.server.Clock.Now()-firstAt)/count + 1
	}
	if target := g.visitor.service.TokenGapTarget; target > 0 {
		return target
	}
	return defaultGap
}

// moveCache brings the KV cache of the interrupted attempt over. It returns
// that attempt, or "" when the rest has to be computed again.
func (g *generation) moveCache(ctx context.Context, work *spokebackend.Work) string {
	source := g.source
	g.source = nil
	if source == nil || g.server.Switches.NoCacheMove || source.address == work.Instance().Address {
		return ""
	}
	ctx, cancel := context.WithTimeout(ctx, importTimeout.Duration())
	defer cancel()
	engine := spokeengine.Engine{URL: "http://" + work.Instance().Address, Client: g.server.Client}
	move := spokeengine.MoveRequest{Attempt: source.attempt, Source: "http://" + source.address}
	if err := engine.Import(ctx, move); err != nil {
		g.server.Log.Info().Err(err).Msg("KV cache could not be moved.")
		return ""
	}
	g.server.Counters.moved.Inc()
	return source.attempt
}

const (
	// slowEnough is the slowness from which an answer leaves its server.
	slowEnough = 4.0
	// worthMoving is the number of tokens left for which it does.
	worthMoving = 6
	// slowCheckEvery is the number of tokens for each look at the slowness.
	slowCheckEvery = 2
)
