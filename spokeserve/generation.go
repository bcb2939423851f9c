package spokeserve

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"

	"mulberryspoke.example/mulberryspoke/gen/types"
	"mulberryspoke.example/mulberryspoke/spokebackend"
	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeengine"
	"mulberryspoke.example/mulberryspoke/spokeroute"
	"mulberryspoke.example/mulberryspoke/spoketrace"
)

const (
	tokenRing      = 64
	pickPause      = 20 * spokeclock.Millis(1)
	pickPatience   = 3 * spokeclock.Second
	resumePatience = 15 * spokeclock.Second
	importTimeout  = 700 * spokeclock.Millis(1)
	finishMargin   = 300 * spokeclock.Millis(1)
	defaultGap     = 61 * spokeclock.Millis(1)
	maxAttempts    = 12
)

var (
	errLeaving = errors.New("the backend server is leaving")
	errStalled = errors.New("the backend server has stalled")
	errSlow    = errors.New("the backend server has slowed down")
)

// generation is one answer under way. A goroutine of its own drives it over as
// many attempts as it takes and puts its tokens into a bounded ring.
type generation struct {
	server   *Server
	visitor  visitor
	long     bool
	started  spokeclock.Millis
	prefix   uint64
	request  spokeengine.GenerateRequest
	tokens   chan string
	ended    chan struct{}
	end      func(error)
	giveUp   context.CancelFunc
	identity string
	finish   string

	delivered []string
	count     atomic.Int64
	firstAt   atomic.Int64
	avoid     []string
	source    *cacheSource

	mutex   sync.Mutex
	refusal *types.Refusal
}

// cacheSource is where the KV cache of an interrupted attempt is.
type cacheSource struct {
	attempt string
	address string
}

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

// start begins the answer. It goes on until it ends or ctx does.
func (g *generation) start(ctx context.Context) {
	g.identity = newAttempt()
	ctx, g.giveUp = context.WithTimeout(ctx, g.visitor.service.Timeout.Duration())
	go g.run(ctx)
}

func (g *generation) run(ctx context.Context) {
	defer g.giveUp()
	refused := g.attempts(ctx)
	g.mutex.Lock()
	g.refusal = refused
	g.mutex.Unlock()
	close(g.tokens)
	if refused == nil {
		g.server.Counters.answered(g.visitor.service.Name)
		g.end(nil)
	} else {
		g.end(refused)
	}
	close(g.ended)
}

// refused returns why the answer broke off, or nil.
func (g *generation) refused() *types.Refusal {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.refusal
}

// first waits for the first token.
func (g *generation) first() (string, *types.Refusal) {
	token, ok := <-g.tokens
	if ok {
		return token, nil
	}
	return "", g.refused()
}

// whole waits for all tokens.
func (g *generation) whole() ([]string, *types.Refusal) {
	var content []string
	for token := range g.tokens {
		content = append(content, token)
	}
	return content, g.refused()
}

// attempts tries backend servers until the answer is whole. What has been
// delivered is never delivered again.
func (g *generation) attempts(ctx context.Context) *types.Refusal {
	budget := &g.server.desk(g.visitor.service).budget
	budget.Request()
	for range maxAttempts {
		target, refused := g.pick(ctx)
		if refused != nil {
			return refused
		}
		switch g.attempt(ctx, target) {
		case verdictWhole:
			return nil
		case verdictGone:
			return g.outOfTime(ctx)
		case verdictLeft, verdictNotBegun:
		case verdictStalled, verdictSlow:
			g.avoid = append(g.avoid, target)
		case verdictFailed:
			g.avoid = append(g.avoid, target)
			if !budget.Allow() {
				return g.broken(KindServerFailed, "a backend server failed and the retry budget is spent")
			}
		}
		if g.server.Switches.NoResume && len(g.delivered) > 0 {
			return g.broken(KindServerFailed, "a backend server failed")
		}
	}
	return g.broken(KindServerFailed, fmt.Sprintf("%d attempts failed", maxAttempts))
}

// broken returns the answer to a request that cannot be completed. An answer
// of a model has no effect but its tokens, so that without any it did not run.
func (g *generation) broken(kind Kind, message string) *types.Refusal {
	if len(g.delivered) == 0 {
		return refuse(kind, retrySoon, message)
	}
	return refusal(kind, OutcomeIncomplete, scopeRequest, retrySoon, message)
}

func (g *generation) outOfTime(ctx context.Context) *types.Refusal {
	if errors.Is(ctx.Err(), context.Canceled) {
		return g.broken(KindTimeout, "the caller went away")
	}
	return g.broken(KindTimeout, fmt.Sprintf("the service's timeout of %d ms has run out", g.visitor.service.Timeout))
}

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

const (
	// slowEnough is the slowness from which an answer leaves its server.
	slowEnough = 4.0
	// worthMoving is the number of tokens left for which it does.
	worthMoving = 6
	// slowCheckEvery is the number of tokens for each look at the slowness.
	slowCheckEvery = 2
)

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
