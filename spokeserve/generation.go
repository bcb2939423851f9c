package spokeserve

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"sync"

	"mulberryspoke.example/mulberryspoke/gen/types"
	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokecore"
	"mulberryspoke.example/mulberryspoke/spokeengine"
	"mulberryspoke.example/mulberryspoke/spokeerror"
	"mulberryspoke.example/mulberryspoke/spokehttp"
)

const (
	// tokenBufferSize is the number of tokens that are buffered for a caller that
	// reads slower than the backend server generates.
	tokenBufferSize = 64
	// cacheImportTimeout limits the import of a KV cache. When an import takes
	// longer, recomputing a usual prompt is faster.
	cacheImportTimeout = 700 * spokeclock.Millis(1)
)

// generation is an answer of a model in progress. A goroutine of its own runs the
// core, which sends the tokens to a buffered channel.
type generation struct {
	server        *Server
	id            string
	coreRequest   *spokecore.Request
	engineRequest spokeengine.GenerateRequest
	tokens        chan string
	cancel        context.CancelFunc
	finishReason  string
	// holdFunc charges the answer to the caller's request.
	holdFunc spokehttp.HoldFunc

	delivered   []string
	lastAttempt sentAttempt

	mutex   sync.Mutex
	refusal *types.Refusal
}

// sentAttempt describes the last attempt that was sent, to locate its KV cache.
type sentAttempt struct {
	id string
	// server is the address of its server.
	server string
	// importedFrom is the attempt whose KV cache was imported, or empty.
	importedFrom string
	// notImported is the cache whose import was interrupted, or empty.
	notImported cacheLocation
	// delivered is the number of tokens delivered before this attempt.
	delivered int
}

// cacheLocation is the address of the server that holds a KV cache, and the attempt
// under whose ID it does.
type cacheLocation struct {
	server    string
	attemptID string
}

// cache returns where the KV cache of the answer is, given the number of tokens
// delivered by now. An attempt that delivered no token has computed nothing, but its
// server may hold the cache that was imported for it. If it was moved before the end of
// the import, the cache is still where it was.
func (a sentAttempt) cache(delivered int) cacheLocation {
	switch {
	case delivered > a.delivered:
		return cacheLocation{server: a.server, attemptID: a.id}
	case a.importedFrom != "":
		return cacheLocation{server: a.server, attemptID: a.importedFrom}
	case a.notImported != cacheLocation{}:
		return a.notImported
	default:
		return cacheLocation{server: a.server, attemptID: a.id}
	}
}

// start starts the answer in the background. It calls done when the answer or ctx
// ends.
func (g *generation) start(ctx context.Context, done func()) {
	ctx, g.cancel = context.WithCancel(ctx)
	go func() {
		defer done()
		defer g.cancel()
		g.run(ctx)
	}()
}

func (g *generation) run(ctx context.Context) {
	err := g.server.Core.Serve(ctx, g.coreRequest, spokecore.Callbacks{
		SendAttemptFunc: g.sendAttempt,
		WriteHeadFunc:   func(*spokecore.Response, int64) {},
		WriteBodyFunc:   func(token []byte) error { return g.deliverToken(ctx, string(token)) },
	})
	g.mutex.Lock()
	g.refusal = g.refusalFor(err)
	g.mutex.Unlock()
	close(g.tokens)
}

// deliverToken sends a token to the caller's channel. It blocks while the channel is
// full.
func (g *generation) deliverToken(ctx context.Context, token string) error {
	select {
	case g.tokens <- token:
	case <-ctx.Done():
		return ctx.Err()
	}
	g.delivered = append(g.delivered, token)
	g.server.Counters.tokens.Inc()
	return nil
}

// finalRefusal returns the reason for which the answer failed, or nil.
func (g *generation) finalRefusal() *types.Refusal {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.refusal
}

// waitFirstToken waits for the first token. If the answer ends without one, it
// returns the refusal, if any.
func (g *generation) waitFirstToken() (string, *types.Refusal) {
	token, ok := <-g.tokens
	if ok {
		return token, nil
	}
	return "", g.finalRefusal()
}

// waitAllTokens waits for the end of the answer and returns its tokens.
func (g *generation) waitAllTokens() ([]string, *types.Refusal) {
	var content []string
	for token := range g.tokens {
		content = append(content, token)
	}
	return content, g.finalRefusal()
}

// sendAttempt asks a server to generate the answer, or the remainder of it.
func (g *generation) sendAttempt(ctx context.Context, attempt spokecore.Attempt) (*spokecore.Response, error) {
	request := g.engineRequest
	request.AttemptID = newID()
	request.DeliveredTokens = slices.Clone(g.delivered)
	sent := sentAttempt{id: request.AttemptID, server: attempt.Server.Address, delivered: len(g.delivered)}
	sent.importedFrom, sent.notImported = g.importCache(ctx, attempt)
	request.CacheAttemptID = sent.importedFrom
	g.lastAttempt = sent
	engine := spokeengine.Client{URL: "http://" + attempt.Server.Address, HTTPClient: g.server.Client, HoldFunc: g.holdFunc}
	stream, err := engine.Generate(ctx, request)
	if err != nil {
		return nil, spokeerror.New("generate", spokecore.KindNoAnswer, err)
	}
	return &spokecore.Response{EventsFunc: func(forward func(spokecore.Event) error) error {
		defer func() { g.server.Counters.foreignEvents.Add(stream.DroppedEvents()) }()
		return stream.ReadEvents(func(event spokeengine.Event) error { return g.handleEvent(event, request, forward) })
	}}, nil
}

// handleEvent counts recomputed tokens, notes the finish reason and forwards the
// token of an event.
func (g *generation) handleEvent(event spokeengine.Event, request spokeengine.GenerateRequest, forward func(spokecore.Event) error) error {
	if event.ComputedTokens > 0 && len(request.DeliveredTokens) > 0 {
		g.server.Counters.recomputedTokens.Add(event.ComputedTokens)
		g.server.Log.Info().Str("id", g.id).Int("tokens", event.ComputedTokens).Str("moved_from", request.CacheAttemptID).Msg("Engine recomputed tokens of a resumed answer.")
	}
	if event.FinishReason != "" {
		g.finishReason = event.FinishReason
		return nil
	}
	return forward(spokecore.Event{ID: strconv.Itoa(event.Index), Raw: []byte(event.Token)})
}

// importCache makes the new server import the KV cache of the interrupted attempt.
// It returns the ID of the attempt that the cache belongs to, or "" if no cache was
// imported and the server has to recompute it. If the attempt was cancelled before the
// end of the import, it returns where the cache still is.
func (g *generation) importCache(ctx context.Context, attempt spokecore.Attempt) (string, cacheLocation) {
	if attempt.MovedFrom.Name == "" || g.server.Switches.DisableCacheMove {
		return "", cacheLocation{}
	}
	cache := g.lastAttempt.cache(len(g.delivered))
	if cache.server == attempt.Server.Address {
		return "", cacheLocation{}
	}
	importCtx, cancel := context.WithTimeout(ctx, cacheImportTimeout.Duration())
	defer cancel()
	engine := spokeengine.Client{URL: "http://" + attempt.Server.Address, HTTPClient: g.server.Client}
	if err := engine.ImportCache(importCtx, spokeengine.CacheMoveRequest{AttemptID: cache.attemptID, Source: "http://" + cache.server}); err != nil {
		interrupted := ctx.Err() != nil
		g.server.Log.Info().Err(err).Str("id", g.id).Str("server", attempt.Server.Name).Str("from", cache.server).Str("attempt", cache.attemptID).Bool("interrupted", interrupted).Msg("KV cache could not be imported.")
		if interrupted {
			return "", cache
		}
		return "", cacheLocation{}
	}
	g.server.Counters.cacheMoves.Inc()
	return cache.attemptID, cacheLocation{}
}

// refusalFor returns the refusal of a request that the core could not complete.
func (g *generation) refusalFor(err error) *types.Refusal {
	var refusal *spokecore.Refusal
	if !errors.As(err, &refusal) {
		return nil
	}
	kind, message := g.describe(refusal)
	retryAfter := max(shortRetryAfter, refusal.RetryAfter())
	switch {
	case len(g.delivered) > 0:
		return refuseIncomplete(kind, message)
	case !refusal.NotRun():
		return refuseOutcomeUnknown(kind, retryAfter, message)
	default:
		return refuse(kind, retryAfter, message)
	}
}

// describe returns the refusal kind and the message for callers.
func (g *generation) describe(refusal *spokecore.Refusal) (Kind, string) {
	if g.server.Clock.Now() >= g.coreRequest.Deadline {
		return KindTimeout, "the service's timeout has run out"
	}
	return describeRefusal(refusal)
}
