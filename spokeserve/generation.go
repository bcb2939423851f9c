package spokeserve

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"

	"mulberryspoke.example/mulberryspoke/gen/types"
	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeengine"
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
