package spokecore

import (
	"context"
	"fmt"

	"mulberryspoke.example/mulberryspoke/spokeroute"
	"mulberryspoke.example/mulberryspoke/spokescarcity"
)

// applyAdmission returns a refusal if the request should not be sent to the chosen server, as
// servers are short. Retries and the rest of a stream are always sent, and so is a request
// whose server was not chosen by the forecast.
func (r *requestRun) applyAdmission(ctx context.Context, decision spokeroute.Decision) *Refusal {
	if r.core.AdmissionFunc == nil || len(r.triedServers) > 0 || decision.PrefillTokens() <= 0 {
		return nil
	}
	if r.headWritten || r.request.LastEventID != "" || r.softwareVersion.Load() != nil {
		return nil
	}
	request := r.admissionRequest(decision)
	verdict := r.core.AdmissionFunc(request)
	r.admitted = verdict.AdmittedRequest()
	if verdict.IsLate() {
		r.urgencyStep = lateUrgencyStep
	}
	if !verdict.IsRefused() {
		return nil
	}
	r.core.Counters.countUnadmitted(request.Route, string(verdict.Reason()))
	r.core.Log.Info().Str("id", r.request.ID).Str("service", request.Service).Str("route", request.Route).Str("workspace", request.Workspace).Str("reason", string(verdict.Reason())).
		Float64("forecast_millis", decision.Cost()).Float64("corrected_millis", verdict.Forecast()).Int64("target_millis", int64(request.Target)).Int64("left_millis", int64(request.TimeLeft)).
		Float64("refused_part", verdict.RefusedPart()).Int64("evidence_age_millis", int64(verdict.EvidenceAge())).Msg("Request is not sent, as servers are short.")
	refusal := r.finalRefusal(ctx, KindOverloaded, fmt.Errorf("%s: the first event is expected in %.0f ms and due in %d ms", verdict.Reason(), verdict.Forecast(), request.Target))
	if refusal.kind == KindOverloaded {
		refusal.retryAfter = verdict.RetryAfter()
	}
	return refusal
}

// lateUrgencyStep is what the urgency of a request that is expected late differs by from that
// of its route. A greater step would lower it below less urgent routes.
const lateUrgencyStep = 1

func (r *requestRun) admissionRequest(decision spokeroute.Decision) spokescarcity.Request {
	request := spokescarcity.Request{
		Service: r.request.Service.Name, Route: r.request.Route.Name, Workspace: r.request.workspaceName(), Priority: r.request.Route.Priority,
		Target: r.request.Route.LatencyTarget, Forecast: decision.Cost(), TimeLeft: r.timeLeft(), CallerTimeLeft: r.callerTimeLeft(),
		EngineTime: r.engineTime(decision.PrefillTokens()),
	}
	if r.request.Workspace != nil {
		request.Rank = r.request.Workspace.EngineRank
	}
	return request
}

// recordAdmitted tells the decision how an admitted request goes.
func (r *requestRun) recordAdmitted(event spokescarcity.Event) {
	if r.admitted != nil {
		r.core.RecordAdmittedFunc(r.request.Service.Name, r.admitted, event)
	}
}

// RecordShortage logs and counts that the servers of a service are short, or no longer are.
func (c *Core) RecordShortage(change spokescarcity.Change) {
	c.Counters.setShortage(change.Service, change.IsShort)
	c.Log.Info().Str("service", change.Service).Bool("is_short", change.IsShort).Float64("late_share", change.LateShare).Int("first_events", change.FirstEvents).
		Float64("over_share", change.OverShare).Int("choices", change.Choices).Int64("evidence_age_millis", int64(change.EvidenceAge)).Msg("Shortage of servers has changed.")
}
