package spokecore

import (
	"context"
	"errors"
	"slices"

	"mulberryspoke.example/mulberryspoke/spokebackend"
	"mulberryspoke.example/mulberryspoke/spokecloud"
	"mulberryspoke.example/mulberryspoke/spokeerror"
	"mulberryspoke.example/mulberryspoke/spokescarcity"
	"mulberryspoke.example/mulberryspoke/spoketrace"
)

// Reasons for cancelling an attempt before its backend server has answered.
var (
	errServerSilent   = errors.New("backend server sent nothing within the silence limit")
	errServerDraining = errors.New("backend server is about to be removed")
	errServerSlow     = errors.New("backend server has slowed down")
)

// tryServer sends the request to one backend server and forwards its answer.
func (r *requestRun) tryServer(deadlineCtx context.Context, server string) error {
	ctx, cancel := context.WithCancelCause(deadlineCtx)
	defer cancel(nil)
	attempt, accepted := r.core.Registry.BeginAttempt(server, r.request.isLong(), func(removal spokebackend.Removal) {
		if r.mustMoveBefore(removal) {
			cancel(errServerDraining)
			return
		}
		r.moveIfLate(ctx, removal, cancel)
	})
	if !accepted {
		return spokeerror.Newf("send attempt", KindNotSent, "%s accepts no new requests", server)
	}
	attempt.AddPrefill(r.prefillTokens)
	ctx, span := spoketrace.StartSpan(ctx, "attempt at backend server")
	span.SetAttribute("server", server)
	w := r.startWatchdog(attempt, cancel)
	defer w.stop()
	r.observer = r.newAnswerObserver(attempt)
	err := r.sendAndForward(ctx, attempt, w, cancel)
	r.observer.end(ctx, err)
	if err != nil {
		r.failedVersion = attempt.Instance().SoftwareVersion
		r.isUnrecorded = spokeerror.KindOf[Kind](err) == KindNotRecorded
	}
	if err != nil && isMoveCause(context.Cause(ctx)) {
		err = spokeerror.New("run attempt", KindMoved, context.Cause(ctx))
	}
	r.recordOutcome(ctx, attempt, err)
	span.End(err)
	return err
}

// isMoveCause reports whether an attempt was cancelled to move the request to
// another server.
func isMoveCause(cause error) bool {
	return errors.Is(cause, errServerSilent) || errors.Is(cause, errServerDraining) || errors.Is(cause, errServerSlow)
}

// sendAndForward sends the attempt and forwards its answer to the caller.
func (r *requestRun) sendAndForward(ctx context.Context, attempt *spokebackend.Attempt, w *watchdog, cancel context.CancelCauseFunc) error {
	movedFrom := r.movedFrom
	r.movedFrom = spokecloud.Instance{}
	// An attempt in flight counts as executed until the server is known not to
	// have run it.
	r.executions.Add(1)
	r.triedAddresses = append(r.triedAddresses, attempt.Instance().Address)
	r.answerStartedAt, r.isDelimited = 0, false
	r.attemptSentAt, r.answerBytes = r.core.Clock.Now(), 0
	response, err := r.callbacks.SendAttemptFunc(ctx, Attempt{
		Server: attempt.Instance(), MovedFrom: movedFrom, TimeLeft: r.timeLeft(), Urgency: min(r.request.urgency()+r.urgencyStep, leastUrgent), LastEventID: r.lastEventID,
		IsResent: slices.Contains(r.triedAddresses[:len(r.triedAddresses)-1], attempt.Instance().Address),
	})
	if err != nil {
		if !spokeerror.KindOf[Kind](err).mayHaveRun() {
			r.executions.Add(-1)
		}
		return err
	}
	r.isDelimited = !response.EndsWithConnection
	if response.Body != nil {
		defer func() { _ = response.Body.Close() }()
	}
	if response.ServerFailed && !response.Replayed {
		r.observer.begin(true)
	}
	if r.headWritten && (response.EventsFunc == nil || response.ServerFailed) {
		return spokeerror.Newf("read answer", KindInvalidAnswer, "the resumed answer is not an event stream")
	}
	if response.Replayed {
		r.executions.Add(-1)
		attempt.Abandon()
		return r.forwardAnswer(ctx, response, attempt, w)
	}
	if response.Load != nil {
		r.core.Registry.RecordLoad(attempt.Instance().Name, attempt.Instance().Generation, *response.Load)
	}
	if response.EventsFunc != nil && !response.ServerFailed {
		return r.forwardEvents(ctx, response, attempt, w, cancel)
	}
	r.recordExecutionStart()
	return r.forwardAnswer(ctx, response, attempt, w)
}

// recordOutcome ends the attempt in the registry, as a success or a failure of
// the server or as neither.
func (r *requestRun) recordOutcome(ctx context.Context, attempt *spokebackend.Attempt, err error) {
	cause, kind := context.Cause(ctx), spokeerror.KindOf[Kind](err)
	if kind == KindMoved {
		r.movedFrom = attempt.Instance()
	}
	r.recordTransfer(ctx, attempt, err)
	switch {
	case err == nil:
		attempt.Succeed()
		r.recordAnswerLength()
		r.recordCompleteAnswer(attempt.Instance())
		if r.prefixKey != 0 {
			r.service.prefixLocations.SetServer(r.prefixKey, attempt.Instance().Name)
		}
	case errors.Is(cause, errServerSilent):
		attempt.Fail()
	case ctx.Err() != nil:
		attempt.Abandon()
	case kind == KindNotRun:
		attempt.EndRefused()
		r.recordAdmitted(spokescarcity.EventFull)
	case !kind.isAttemptOutcome():
		attempt.Abandon()
	default:
		attempt.Fail()
		if kind == KindNoAnswer {
			r.recordBrokenAnswer(attempt.Instance())
		}
	}
}
