package spokecore

import (
	"context"
	"errors"
	"sync/atomic"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokecloud"
	"mulberryspoke.example/mulberryspoke/spokeerror"
	"mulberryspoke.example/mulberryspoke/spokeroute"
)

const (
	// leastSends is the number of servers tried for any request, those included
	// that could not be reached or had no room.
	leastSends = 4
	// leastLeft is the time below which an attempt could not be answered.
	leastLeft = 5 * spokeclock.Millis(1)
	// pickPause is the pause between two looks for a live server. It is short
	// beside any latency target.
	pickPause = 20 * spokeclock.Millis(1)
)

// run is one request on its way. Other goroutines read what is atomic.
type run struct {
	core     *Core
	request  *Request
	exchange Callbacks
	service  *service
	started  spokeclock.Millis
	// shared and affinity are the length and the key of the beginning that the
	// prompt shares with others.
	shared   int
	affinity uint64

	tried     []string
	ran       atomic.Int64
	begun     bool
	handed    bool
	lastEvent string
	firstAt   atomic.Int64
	unread    int
	events    atomic.Int64
	// from still holds the KV cache of an answer that is being moved.
	from spokecloud.Instance
}

// serve limits and admits the request and tries servers until one has answered
// it.
func (r *run) serve(ctx context.Context) *Refusal {
	refusal := r.limit()
	if refusal != nil {
		return refusal
	}
	admission, refusal := r.admit(ctx)
	if refusal == nil {
		r.service.budget.RecordRequest()
		r.lastEvent = r.request.LastEventID
		deadline, cancel := context.WithTimeout(ctx, r.left().Duration())
		defer cancel()
		refusal = r.tryAll(ctx, deadline)
	}
	admission.Release()
	r.endLimits(refusal)
	return refusal
}

// left is the time until the deadline.
func (r *run) left() spokeclock.Millis { return r.request.Deadline - r.core.Clock.Now() }

func (r *run) tryAll(ctx, deadline context.Context) *Refusal {
	var last error
	for len(r.tried) < max(leastSends, r.request.maxAttempts()) {
		decision := r.pick(deadline)
		if r.left() < leastLeft {
			return r.giveUp(ctx, KindTimeout, last)
		}
		if decision.Server() == "" {
			return r.giveUp(ctx, KindNoServer, errors.Join(errors.New(string(decision.Reason())), last))
		}
		r.tried = append(r.tried, decision.Server())
		r.unread = decision.PrefillTokens()
		r.countWork()
		err := r.attempt(deadline, decision.Server())
		if err == nil {
			return nil
		}
		last = err
		if ctx.Err() != nil || deadline.Err() != nil || !r.mayTryAgain(err) {
			break
		}
		r.core.Counters.again(r.request.resumable() && r.handed)
		r.core.Log.Info().Str("id", r.request.ID).Str("server", decision.Server()).Int64("ran", r.ran.Load()).Err(err).Msg("Request goes to another server.")
	}
	return r.giveUp(ctx, KindServersFailed, last)
}

// pick chooses a server. While there is none it waits as long as it may.
func (r *run) pick(deadline context.Context) spokeroute.Decision {
	patience := r.core.ServerWaitTimeout
	if r.handed {
		patience = r.core.ResumeWaitTimeout
	}
	until := r.core.Clock.Now() + patience
	for {
		// An answer that moves is not held back by the share of long ones: its KV
		// cache is gone by the time that there is room.
		held := r.request.ExpectsLongAnswer() && r.from.Name == ""
		decision := r.choose(held)
		if decision.Server() != "" || r.core.Clock.Now() >= until || spokeclock.Sleep(deadline, pickPause) != nil {
			return decision
		}
	}
}

// mayTryAgain reports whether another server may have the request.
func (r *run) mayTryAgain(err error) bool {
	if r.handed && !r.request.resumable() {
		return false
	}
	switch spokeerror.KindOf[Kind](err) {
	case KindNotSent, KindServerFailureRetried, KindMoved:
		return true
	case KindNotRun:
		return r.service.budget.AllowRetry()
	case KindNoAnswer, KindInvalidAnswer:
		return r.mayRunAgain() && r.service.budget.AllowRetry()
	default:
		return false
	}
}

// mayRunAgain reports whether one more server may run the request.
func (r *run) mayRunAgain() bool {
	return r.request.repeatable() && int(r.ran.Load()) < r.request.maxAttempts()
}

// giveUp returns the final answer to a request that has none.
func (r *run) giveUp(ctx context.Context, kind Kind, cause error) *Refusal {
	refusal := &Refusal{kind: kind, notRun: r.ran.Load() == 0 && !r.handed, cause: cause}
	last := spokeerror.KindOf[Kind](cause)
	switch {
	case ctx.Err() != nil:
		refusal.kind = KindCallerGone
	case r.handed:
		refusal.kind = KindAnswerBroken
	case r.left() < leastLeft:
		refusal.kind = KindTimeout
		if refusal.notRun {
			refusal.after = returnSoon
		}
	case kind == KindNoServer:
		refusal.after = returnLater
	case refusal.notRun && last == KindNotRun:
		refusal.kind = KindOverloaded
		refusal.after = returnSoon
	case last != "" && !last.ofAttempt():
		refusal.kind = last
	default:
		refusal.after = returnSoon
	}
	return refusal
}

// countWork counts what the request will keep an engine busy with. It is
// counted when the request is sent, as a full service answers less than is
// asked of it.
func (r *run) countWork() {
	engine := r.request.Service.Engine
	if engine == nil || r.core.AddEngineTimeFunc == nil || len(r.tried) > 1 {
		return
	}
	expected := r.service.answers.expect(r.request.Route.Name, r.request.AnswerTokens)
	r.core.AddEngineTimeFunc(r.request.Service.Name, spokeroute.EngineTime(r.unread, expected, engine.Slots))
}

// learnAnswer notes how long the answer was against what was declared.
func (r *run) learnAnswer() {
	if r.request.Service.Engine == nil {
		return
	}
	r.service.answers.learn(r.request.Route.Name, r.request.AnswerTokens, r.answered())
}

// answered returns how many tokens of the answer have come.
func (r *run) answered() int {
	each := 1
	if engine := r.request.Service.Engine; engine != nil {
		each = max(1, engine.TokensPerEvent)
	}
	return int(r.events.Load()) * each
}

// running notes that a server has begun to run the request.
func (r *run) running() {
	if r.begun {
		return
	}
	r.begun = true
	r.firstAt.Store(int64(r.core.Clock.Now()))
	if r.request.Workspace != nil && r.core.RequestStartedFunc != nil {
		r.core.RequestStartedFunc(r.request.Workspace.Name)
	}
}

// report logs and counts how the request ended.
func (r *run) report(refusal *Refusal) {
	now := r.core.Clock.Now()
	line := r.core.Log.Info().Str("id", r.request.ID).Str("route", r.request.Route.Name).Str("workspace", r.request.workspaceName()).
		Float64("cost", r.request.cost()).Strs("servers", r.tried).Int64("ran", r.ran.Load()).Int64("millis", int64(now-r.started))
	if r.begun {
		first := spokeclock.Millis(r.firstAt.Load()) - r.started
		line = line.Int64("first_millis", int64(first))
		r.core.Counters.first.Update(first.Duration().Seconds())
	}
	if refusal == nil {
		r.core.Counters.CountResult(r.request.Service.Name, resultAnswered)
		line.Msg("Request answered.")
		return
	}
	r.core.Counters.CountResult(r.request.Service.Name, string(refusal.kind))
	line.Str("kind", string(refusal.kind)).Bool("not_run", refusal.notRun).Int64("after_millis", int64(refusal.after)).Err(refusal.cause).Msg("Request refused.")
}
