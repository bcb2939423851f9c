package spokecore

import (
	"context"
	"errors"

	"mulberryspoke.example/mulberryspoke/spokeadmit"
	"mulberryspoke.example/mulberryspoke/spokelimit"
)

// limit counts the request against its workspace's limits.
func (r *run) limit() *Refusal {
	w := r.request.Workspace
	if w == nil {
		return nil
	}
	if r.core.Limiter != nil {
		verdict := r.core.Limiter.BeginRequest(w, r.request.Revision, r.core.members(), r.request.AnswerTokens)
		if !verdict.Allowed() {
			return r.limited(verdict)
		}
	}
	if r.core.Pool == nil {
		return nil
	}
	verdict := r.core.Pool.Spend(w, r.request.cost())
	if verdict.Allowed() {
		return nil
	}
	if r.core.Limiter != nil {
		r.core.Limiter.EndRequest(w.Name)
	}
	return r.limited(verdict)
}

func (r *run) limited(verdict spokelimit.Decision) *Refusal {
	r.core.Log.Info().Str("id", r.request.ID).Str("workspace", r.request.workspaceName()).Str("limit", verdict.ExceededLimit()).
		Float64("cost", r.request.cost()).Float64("per_second", verdict.Rate()).
		Float64("level", verdict.GlobalLevel()).Float64("credit", verdict.LocalLevel()).Msg("Workspace is over its limit.")
	return &Refusal{kind: KindWorkspaceLimit, notRun: true, after: verdict.RetryAfter(), cause: errors.New("the workspace is over its " + verdict.ExceededLimit())}
}

// endLimits gives back what the request no longer takes.
func (r *run) endLimits(refusal *Refusal) {
	w := r.request.Workspace
	if w == nil {
		return
	}
	if r.core.Limiter != nil {
		r.core.Limiter.EndRequest(w.Name)
	}
	if r.core.Pool != nil && refusal != nil && refusal.notRun {
		r.core.Pool.Refund(w, r.request.cost())
	}
}

// admit waits for room at the service's servers. The admission is nil while the
// core admits all requests.
func (r *run) admit(ctx context.Context) (*spokeadmit.Admission, *Refusal) {
	if r.core.MaxWaitFunc == nil {
		return nil, nil
	}
	request := spokeadmit.Request{
		Workspace: r.request.workspaceName(), Weight: 1, LongAnswer: r.request.ExpectsLongAnswer() && !r.core.DisableShortPriority, MaxWait: r.core.MaxWaitFunc(r.request),
	}
	if w := r.request.Workspace; w != nil {
		request.Weight = w.Share * w.Priority
	}
	admission, err := r.service.queue.Admit(ctx, request)
	if err != nil {
		return nil, &Refusal{kind: KindOverloaded, notRun: true, after: r.service.queue.RetryAfter(request), cause: err}
	}
	return admission, nil
}
