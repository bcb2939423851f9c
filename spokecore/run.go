package spokecore

import (
	"context"
	"errors"

	"mulberryspoke.example/mulberryspoke/spokebackend"
	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeerror"
	"mulberryspoke.example/mulberryspoke/spokeroute"
	"mulberryspoke.example/mulberryspoke/spoketrace"
)

const (
	// maxSends bounds the servers tried for one request, those included that
	// could not be reached or had no room.
	maxSends = 4
	// leastLeft is the time below which an attempt could not be answered.
	leastLeft = 5 * spokeclock.Millis(1)
)

// errSilent ends an attempt whose server has been silent for too long.
var errSilent = errors.New("the backend server is silent")

// run is one request on its way.
type run struct {
	core     *Core
	request  *Request
	exchange Exchange
	service  *service
	started  spokeclock.Millis

	tried     []string
	ran       int
	begun     bool
	handed    bool
	lastEvent string
	firstAt   spokeclock.Millis
	unread    int
	events    int
}

// serve limits the request and tries servers until one has answered it.
func (r *run) serve(ctx context.Context) *Refusal {
	if r.request.Workspace != nil {
		verdict := r.core.Pool.Take(r.request.Workspace, r.request.cost())
		if !verdict.Allowed() {
			r.core.Log.Info().Str("id", r.request.ID).Str("workspace", r.request.workspaceName()).Float64("cost", r.request.cost()).
				Float64("per_second", verdict.PerSecond()).Float64("level", verdict.Level()).Float64("credit", verdict.Credit()).Msg("Allotment spent.")
			return &Refusal{kind: KindLimited, notRun: true, after: verdict.After()}
		}
	}
	r.service.budget.Request()
	r.lastEvent = r.request.LastEvent
	deadline, cancel := context.WithTimeout(ctx, (r.request.Deadline - r.core.Clock.Now()).Duration())
	defer cancel()
	refusal := r.tryAll(ctx, deadline)
	if refusal != nil && refusal.notRun && r.request.Workspace != nil {
		r.core.Pool.Give(r.request.Workspace, r.request.cost())
	}
	return refusal
}

func (r *run) tryAll(ctx, deadline context.Context) *Refusal {
	var last error
	for len(r.tried) < maxSends {
		decision := r.core.choose(r.service, r.request, r.tried)
		if decision.Server() == "" {
			return r.giveUp(ctx, KindNoServer, errors.Join(errors.New(string(decision.Reason())), last))
		}
		if r.request.Deadline-r.core.Clock.Now() < leastLeft {
			return r.giveUp(ctx, KindTimeout, last)
		}
		r.tried = append(r.tried, decision.Server())
		r.unread = decision.Unread()
		r.countWork()
		err := r.attempt(deadline, decision.Server())
		if err == nil {
			return nil
		}
		last = err
		if ctx.Err() != nil || deadline.Err() != nil || !r.mayTryAgain(err) {
			break
		}
		r.core.Counters.retried.Inc()
		r.core.Log.Info().Str("id", r.request.ID).Str("server", decision.Server()).Int("ran", r.ran).Err(err).Msg("Request goes to another server.")
	}
	return r.giveUp(ctx, KindFailed, last)
}

// mayTryAgain reports whether another server may have the request.
func (r *run) mayTryAgain(err error) bool {
	if r.handed && !r.request.resumable() {
		return false
	}
	switch spokeerror.KindOf[Kind](err) {
	case KindNotSent:
		return true
	case KindReplaced:
		return true
	case KindNotRun:
		return r.service.budget.Allow()
	default:
		return r.request.repeatable() && r.ran < r.request.maxAttempts() && r.service.budget.Allow()
	}
}

// giveUp returns the final answer to a request that has none.
func (r *run) giveUp(ctx context.Context, kind Kind, cause error) *Refusal {
	refusal := &Refusal{kind: kind, notRun: r.ran == 0 && !r.handed, cause: cause}
	switch {
	case ctx.Err() != nil:
		refusal.kind = KindGone
	case r.handed:
		refusal.kind = KindBroken
	case r.request.Deadline-r.core.Clock.Now() < leastLeft:
		refusal.kind = KindTimeout
		if refusal.notRun {
			refusal.after = returnSoon
		}
	case kind == KindNoServer:
		refusal.after = returnLater
	case refusal.notRun && spokeerror.KindOf[Kind](cause) == KindNotRun:
		refusal.kind = KindOverloaded
		refusal.after = returnSoon
	default:
		refusal.after = returnSoon
	}
	return refusal
}

// attempt tries one server.
func (r *run) attempt(deadline context.Context, server string) error {
	ctx, cancel := context.WithCancelCause(deadline)
	defer cancel(nil)
	long := r.request.PromptTokens >= longPrompt
	work, begun := r.core.Registry.Begin(server, long, func(spokebackend.Departure) {})
	if !begun {
		return spokeerror.Newf("send attempt", KindNotSent, "%s takes no new work", server)
	}
	work.Reads(r.unread)
	ctx, span := spoketrace.Begin(ctx, "attempt at backend server")
	span.Note("server", server)
	w := r.watch(work, cancel)
	defer w.stop()
	err := r.exchangeWith(ctx, work, w)
	r.judge(ctx, work, err)
	span.End(err)
	return err
}

// exchangeWith sends the attempt and hands its answer on.
func (r *run) exchangeWith(ctx context.Context, work *spokebackend.Work, w *watch) error {
	reply, err := r.core.SendFunc(ctx, r.request, Attempt{
		Server:    work.Instance(),
		Left:      r.request.Deadline - r.core.Clock.Now(),
		Urgency:   r.request.urgency(),
		LastEvent: r.lastEvent,
	})
	if kind := spokeerror.KindOf[Kind](err); kind == KindNotSent || kind == KindNotRun {
		return err
	}
	r.ran++
	if err != nil {
		return err
	}
	defer func() { _ = reply.Body.Close() }()
	if reply.Load != nil {
		r.core.Registry.TakeReport(work.Instance().Name, *reply.Load)
	}
	if reply.Events && !reply.Failed {
		return r.handEvents(reply, work, w)
	}
	return r.handWhole(reply, work)
}

// judge ends the work with a verdict on the server.
func (r *run) judge(ctx context.Context, work *spokebackend.Work, err error) {
	kind := spokeerror.KindOf[Kind](err)
	switch {
	case err == nil:
		work.Succeed()
		r.learnAnswer()
		if _, affinity := r.request.shared(); affinity != 0 {
			r.service.prefixes.Put(affinity, work.Instance().Name)
		}
	case errors.Is(context.Cause(ctx), errSilent):
		work.Fail()
	case ctx.Err() != nil:
		work.Leave()
	case kind == KindNotRun:
		work.Refused()
	default:
		work.Fail()
	}
}

// countWork counts what the request will keep an engine busy with. It is
// counted when the request is sent, as a full service answers less than is
// asked of it.
func (r *run) countWork() {
	engine := r.request.Service.Engine
	if engine == nil || len(r.tried) > 1 {
		return
	}
	expected := r.service.answers.expect(r.request.Route.Name, r.request.AnswerTokens)
	r.core.WorkFunc(r.request.Service.Name, spokeroute.Work(r.unread, expected, engine.Slots))
}

// learnAnswer notes how long the answer was against what was declared.
func (r *run) learnAnswer() {
	engine := r.request.Service.Engine
	if engine == nil {
		return
	}
	r.service.answers.learn(r.request.Route.Name, r.request.AnswerTokens, r.events*max(1, engine.TokensPerEvent))
}

// running notes that a server has begun to run the request.
func (r *run) running() {
	if r.begun {
		return
	}
	r.begun = true
	r.firstAt = r.core.Clock.Now()
	if r.request.Workspace != nil {
		r.core.BegunFunc(r.request.Workspace.Name)
	}
}

// report logs and counts how the request ended.
func (r *run) report(refusal *Refusal) {
	now := r.core.Clock.Now()
	line := r.core.Log.Info().Str("id", r.request.ID).Str("route", r.request.Route.Name).Str("workspace", r.request.workspaceName()).
		Float64("cost", r.request.cost()).Strs("servers", r.tried).Int("ran", r.ran).Int64("millis", int64(now-r.started))
	if r.begun {
		line = line.Int64("first_millis", int64(r.firstAt-r.started))
		r.core.Counters.first.Update((r.firstAt - r.started).Duration().Seconds())
	}
	r.core.Counters.ended(r.request.Service.Name, refusal)
	if refusal == nil {
		line.Msg("Request answered.")
		return
	}
	line.Str("kind", string(refusal.kind)).Bool("not_run", refusal.notRun).Int64("after_millis", int64(refusal.after)).Err(refusal.cause).Msg("Request refused.")
}
