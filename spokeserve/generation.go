package spokeserve

import (
	"context"
	"errors"
	"slices"
	"sync"

	"mulberryspoke.example/mulberryspoke/gen/types"
	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokecore"
	"mulberryspoke.example/mulberryspoke/spokeengine"
	"mulberryspoke.example/mulberryspoke/spokeerror"
)

const (
	// tokenRing is how many tokens a caller may be behind its backend server.
	tokenRing = 64
	// importTimeout bounds the move of a KV cache. Above it, computing a usual
	// prompt again is faster.
	importTimeout = 700 * spokeclock.Millis(1)
)

// generation is one answer of a model under way. The core drives it from a
// goroutine of its own, which puts the tokens into a bounded ring.
type generation struct {
	server   *Server
	identity string
	asked    *spokecore.Request
	request  spokeengine.GenerateRequest
	tokens   chan string
	giveUp   context.CancelFunc
	finish   string

	delivered []string
	last      sentAttempt

	mutex   sync.Mutex
	refusal *types.Refusal
}

// sentAttempt is what is kept of an attempt, to find its KV cache.
type sentAttempt struct {
	id        string
	movedFrom string
	delivered int
}

// cache returns the attempt under which a server holds the KV cache after this
// one, when so many tokens have been delivered. An attempt that brought none has
// computed nothing, but the server may hold the cache that was imported for it.
func (a sentAttempt) cache(delivered int) string {
	if delivered == a.delivered && a.movedFrom != "" {
		return a.movedFrom
	}
	return a.id
}

// start begins the answer. It goes on until it ends or ctx does, and then calls
// done.
func (g *generation) start(ctx context.Context, done func()) {
	ctx, g.giveUp = context.WithCancel(ctx)
	go func() {
		defer done()
		defer g.giveUp()
		g.run(ctx)
	}()
}

func (g *generation) run(ctx context.Context) {
	err := g.server.Core.Serve(ctx, g.asked, spokecore.Callbacks{
		SendAttemptFunc: g.send,
		WriteHeadFunc:   func(*spokecore.Response, int64) {},
		WriteBodyFunc:   func(token []byte) error { return g.take(ctx, string(token)) },
	})
	g.mutex.Lock()
	g.refusal = g.refusalOf(err)
	g.mutex.Unlock()
	close(g.tokens)
}

// take passes a token on.
func (g *generation) take(ctx context.Context, token string) error {
	select {
	case g.tokens <- token:
	case <-ctx.Done():
		return ctx.Err()
	}
	g.delivered = append(g.delivered, token)
	g.server.Counters.tokens.Inc()
	return nil
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

// send asks a server for the rest of the answer.
func (g *generation) send(ctx context.Context, attempt spokecore.Attempt) (*spokecore.Response, error) {
	request := g.request
	request.AttemptID = newAttempt()
	request.DeliveredTokens = slices.Clone(g.delivered)
	request.CacheAttemptID = g.moveCache(ctx, attempt)
	g.last = sentAttempt{id: request.AttemptID, movedFrom: request.CacheAttemptID, delivered: len(g.delivered)}
	engine := spokeengine.Client{URL: "http://" + attempt.Server.Address, HTTPClient: g.server.Client}
	stream, err := engine.Generate(ctx, request)
	if err != nil {
		return nil, spokeerror.New("generate", spokecore.KindNoAnswer, err)
	}
	return &spokecore.Response{EventsFunc: func(take func(spokecore.Event) error) error {
		defer func() { g.server.Counters.foreign.Add(stream.DroppedEvents()) }()
		return stream.ReadEvents(func(event spokeengine.Event) error { return g.read(event, request, take) })
	}}, nil
}

// read passes on what an event brings.
func (g *generation) read(event spokeengine.Event, request spokeengine.GenerateRequest, take func(spokecore.Event) error) error {
	if event.ComputedTokens > 0 && len(request.DeliveredTokens) > 0 {
		g.server.Counters.recomputed.Add(event.ComputedTokens)
		g.server.Log.Info().Str("id", g.identity).Int("tokens", event.ComputedTokens).Str("moved_from", request.CacheAttemptID).Msg("Tokens were computed again.")
	}
	if event.FinishReason != "" {
		g.finish = event.FinishReason
		return nil
	}
	return take(spokecore.Event{Raw: []byte(event.Token)})
}

// moveCache brings the KV cache of the interrupted attempt over. It returns
// that attempt, or "" when the rest has to be computed again.
func (g *generation) moveCache(ctx context.Context, attempt spokecore.Attempt) string {
	from := attempt.MovedFrom
	if from.Name == "" || from.Address == attempt.Server.Address || g.server.Switches.DisableCacheMove {
		return ""
	}
	ctx, cancel := context.WithTimeout(ctx, importTimeout.Duration())
	defer cancel()
	source := g.last.cache(len(g.delivered))
	engine := spokeengine.Client{URL: "http://" + attempt.Server.Address, HTTPClient: g.server.Client}
	if err := engine.ImportCache(ctx, spokeengine.CacheMoveRequest{AttemptID: source, Source: "http://" + from.Address}); err != nil {
		g.server.Log.Info().Err(err).Str("id", g.identity).Msg("KV cache could not be moved.")
		return ""
	}
	g.server.Counters.moved.Inc()
	return source
}

// refusalOf returns the answer to a request that the core could not complete. A
// model's answer has no effect but its tokens, so that without any it has not
// run.
func (g *generation) refusalOf(err error) *types.Refusal {
	var refusal *spokecore.Refusal
	if !errors.As(err, &refusal) {
		return nil
	}
	kind, message := g.kindOf(refusal)
	if len(g.delivered) > 0 {
		return incomplete(kind, message)
	}
	return refuse(kind, max(retrySoon, refusal.RetryAfter()), message)
}

func (g *generation) kindOf(refusal *spokecore.Refusal) (Kind, string) {
	if g.server.Clock.Now() >= g.asked.Deadline {
		return KindTimeout, "the service's timeout has run out"
	}
	return describe(refusal)
}
