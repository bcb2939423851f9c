package spokecore

import (
	"context"
	"errors"

	"mulberryspoke.example/mulberryspoke/spokebackend"
	"mulberryspoke.example/mulberryspoke/spokecloud"
	"mulberryspoke.example/mulberryspoke/spokeerror"
	"mulberryspoke.example/mulberryspoke/spoketrace"
)

// What ends an attempt before its server does.
var (
	errSilent  = errors.New("the backend server is silent")
	errLeaving = errors.New("the backend server is leaving")
	errSlow    = errors.New("the backend server has slowed down")
)

// attempt tries one server.
func (r *run) attempt(deadline context.Context, server string) error {
	ctx, cancel := context.WithCancelCause(deadline)
	defer cancel(nil)
	work, begun := r.core.Registry.BeginAttempt(server, r.request.long(), func(departure spokebackend.Removal) {
		if r.mustMove(departure) {
			cancel(errLeaving)
		}
	})
	if !begun {
		return spokeerror.Newf("send attempt", KindNotSent, "%s takes no new work", server)
	}
	work.AddPrefill(r.unread)
	ctx, span := spoketrace.Begin(ctx, "attempt at backend server")
	span.Note("server", server)
	w := r.watch(work, cancel)
	defer w.stop()
	err := r.exchangeWith(ctx, work, w, cancel)
	if err != nil && isMove(context.Cause(ctx)) {
		err = spokeerror.New("run attempt", KindMoved, context.Cause(ctx))
	}
	r.judge(ctx, work, err)
	span.End(err)
	return err
}

// isMove reports whether an attempt was ended in favour of another server.
func isMove(cause error) bool {
	return errors.Is(cause, errSilent) || errors.Is(cause, errLeaving) || errors.Is(cause, errSlow)
}

// exchangeWith sends the attempt and hands its answer on.
func (r *run) exchangeWith(ctx context.Context, work *spokebackend.Attempt, w *watch, cancel context.CancelCauseFunc) error {
	from := r.from
	r.from = spokecloud.Instance{}
	// An attempt under way counts as run until it is known not to have.
	r.ran.Add(1)
	reply, err := r.exchange.SendAttemptFunc(ctx, Attempt{
		Server: work.Instance(), MovedFrom: from, TimeLeft: r.left(), Urgency: r.request.urgency(), LastEventID: r.lastEvent,
	})
	if err != nil {
		if kind := spokeerror.KindOf[Kind](err); kind != KindNoAnswer && kind != KindInvalidAnswer {
			r.ran.Add(-1)
		}
		return err
	}
	if reply.Body != nil {
		defer func() { _ = reply.Body.Close() }()
	}
	if reply.Replayed {
		r.ran.Add(-1)
		work.Abandon()
		return r.handWhole(reply, work)
	}
	if reply.Load != nil {
		r.core.Registry.RecordLoad(work.Instance().Name, *reply.Load)
	}
	if reply.EventsFunc != nil && !reply.ServerFailed {
		return r.handEvents(reply, work, w, cancel)
	}
	r.running()
	return r.handWhole(reply, work)
}

// judge ends the work with a verdict on the server.
func (r *run) judge(ctx context.Context, work *spokebackend.Attempt, err error) {
	cause, kind := context.Cause(ctx), spokeerror.KindOf[Kind](err)
	if kind == KindMoved {
		r.from = work.Instance()
	}
	switch {
	case err == nil:
		work.Succeed()
		r.learnAnswer()
		if r.affinity != 0 {
			r.service.prefixes.SetServer(r.affinity, work.Instance().Name)
		}
	case errors.Is(cause, errSilent):
		work.Fail()
	case ctx.Err() != nil:
		work.Abandon()
	case kind == KindNotRun:
		work.EndRefused()
	case !kind.ofAttempt():
		work.Abandon()
	default:
		work.Fail()
	}
}
