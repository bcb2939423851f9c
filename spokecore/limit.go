package spokecore

import (
	"context"
	"errors"

	"mulberryspoke.example/mulberryspoke/spokeadmit"
	"mulberryspoke.example/mulberryspoke/spokelimit"
)

// applyLimits counts the request against the limits of its workspace. It
// returns nil if the request is within them.
func (r *requestRun) applyLimits() *Refusal {
	w := r.request.Workspace
	if w == nil {
		return nil
	}
	if r.core.Limiter != nil {
		decision := r.core.Limiter.BeginRequest(w, r.request.Revision, r.core.memberCount(), r.request.AnswerTokens)
		if !decision.Allowed() {
			return r.workspaceLimitRefusal(decision)
		}
	}
	if r.core.Pool == nil {
		return nil
	}
	decision := r.core.Pool.Spend(w, spokelimit.Route{Name: r.request.Route.Name, Priority: r.request.Route.Priority}, r.request.allotmentCost())
	if decision.Allowed() {
		return nil
	}
	if r.core.Limiter != nil {
		r.core.Limiter.EndRequest(w.Name)
	}
	return r.workspaceLimitRefusal(decision)
}

// workspaceLimitRefusal logs and returns the refusal of a request whose
// workspace is over a limit.
func (r *requestRun) workspaceLimitRefusal(decision spokelimit.Decision) *Refusal {
	retryAfter, hasRoom := decision.RetryAfter(), true
	if r.core.Backoff != nil && decision.RoomPerSecond() > 0 {
		slot := r.allotmentSlot(decision)
		retryAfter, hasRoom = slot.RetryAfter(), slot.HasRoom()
		r.core.Counters.countSlot("allotment", hasRoom)
	}
	r.core.Log.Info().Str("id", r.request.ID).Str("workspace", r.request.workspaceName()).Str("route", r.request.Route.Name).Str("limit", decision.ExceededLimit()).
		Float64("cost", r.request.allotmentCost()).Float64("per_second", decision.Rate()).
		Float64("allowed_part", decision.AllowedPart()).Float64("route_part", decision.RoutePart()).
		Float64("level", decision.GlobalLevel()).Float64("credit", decision.LocalLevel()).
		Float64("room_per_second", decision.RoomPerSecond()).Bool("has_room", hasRoom).Int64("counts_age_millis", int64(decision.CountsAge())).Msg("Workspace is over its limit.")
	r.core.Counters.countLimited(r.request.Route.Name)
	return &Refusal{kind: KindWorkspaceLimit, notRun: true, retryAfter: retryAfter, cause: errors.New("the workspace is over its " + decision.ExceededLimit())}
}

// releaseLimits ends the request in the limiter and refunds the cost of a
// request that has not run.
func (r *requestRun) releaseLimits(refusal *Refusal) {
	w := r.request.Workspace
	if w == nil {
		return
	}
	if r.core.Limiter != nil {
		r.core.Limiter.EndRequest(w.Name)
	}
	if r.core.Pool != nil && refusal != nil && refusal.notRun {
		r.core.Pool.Refund(w, r.request.allotmentCost())
	}
}

// admit waits until the backend servers of the service have capacity for the
// request. It returns a refusal of kind KindOverloaded if the queue doesn't admit
// the request. Both results are nil if the core has no admission control.
func (r *requestRun) admit(ctx context.Context) (*spokeadmit.Admission, *Refusal) {
	if r.core.MaxWaitFunc == nil {
		return nil, nil
	}
	request := spokeadmit.Request{
		Workspace: r.request.workspaceName(), Weight: 1, LongAnswer: r.request.ExpectsLongAnswer() && !r.core.DisableShortPriority, MaxWait: r.core.MaxWaitFunc(r.request),
	}
	if w := r.request.Workspace; w != nil {
		request.Weight = w.Share * w.Priority
	}
	admission, err := r.service.admissionQueue.Admit(ctx, request)
	if err != nil {
		return nil, &Refusal{kind: KindOverloaded, notRun: true, retryAfter: r.service.admissionQueue.RetryAfter(request), cause: err}
	}
	return admission, nil
}
