package spokecore

import (
	"context"
	"errors"

	"mulberryspoke.example/mulberryspoke/spokebackend"
	"mulberryspoke.example/mulberryspoke/spokeerror"
	"mulberryspoke.example/mulberryspoke/spokelocality"
	"mulberryspoke.example/mulberryspoke/spokeroute"
)

// applyLocality sets what the servers of other data centres cost the request and which data
// centres it should not be served in. Without a decision, other data centres cost the usual
// and none is avoided. A request doesn't leave to a data centre that can't be reached.
func (r *requestRun) applyLocality(candidates []spokeroute.Candidate, routeRequest *spokeroute.Request) {
	permit := r.decidePermit(candidates)
	if !permit.IsActive() || isUnreachable(candidates, permit.Target()) {
		return
	}
	routeRequest.HasLocalPrefixes = permit.HasLocalPrefixes()
	for i := range candidates {
		c := &candidates[i]
		if !c.Local {
			c.RemoteDelay = permit.LeaveCost(c.DataCentre)
		}
		c.IsAvoided = !permit.Allows(c.DataCentre)
		c.AllowsPrefix = permit.AllowsPrefix(c.DataCentre)
	}
}

func isUnreachable(candidates []spokeroute.Candidate, dataCentre string) bool {
	for _, c := range candidates {
		if c.DataCentre == dataCentre {
			return c.DataCentreUnreachable
		}
	}
	return false
}

// decidePermit decides where the request should be served. It does so once for a request, so
// that one that waits for a server isn't drawn again until it leaves.
func (r *requestRun) decidePermit(candidates []spokeroute.Candidate) spokelocality.Permit {
	router := r.core.Locality
	if router == nil || r.hasPermit {
		return r.localityPermit
	}
	service := r.request.Service.Name
	if router.IsDue(service) {
		router.Observe(service, r.observeDataCentres(candidates))
	}
	r.localityPermit, r.hasPermit = router.Permit(service, r.localityKind()), true
	return r.localityPermit
}

func (r *requestRun) localityKind() spokelocality.Kind {
	kind := spokelocality.Kind{
		Route: r.request.Route.Name, RequestBytes: r.request.BodyBytes, FirstEventTarget: r.request.Route.LatencyTarget,
		PromptTokens: r.request.PromptTokens, SharedPrefixTokens: r.sharedPrefixTokens, PrefixKey: r.prefixKey,
	}
	if engine := r.request.Service.Engine; engine != nil {
		prefillTokens := r.request.PromptTokens - r.sharedPrefixTokens
		kind.PrefillWork = float64(r.core.Registry.EngineTime(r.request.Service.Name, prefillTokens, 0, engine.Slots))
		kind.Work = float64(r.engineTime(prefillTokens))
	}
	return kind
}

// observeDataCentres returns what is known of the data centres of the request's service.
func (r *requestRun) observeDataCentres(candidates []spokeroute.Candidate) spokelocality.Observation {
	service := r.request.Service
	byName := r.core.Registry.DataCentres(service.Name)
	for name, demand := range r.core.DataCentreDemandFunc(service.Name) {
		d := byName[name]
		d.Name, d.Busy, d.Instances, d.Age = name, demand.BusyServers(), demand.Instances(), demand.Age()
		byName[name] = d
	}
	var observation spokelocality.Observation
	if service.Engine != nil {
		observation.CacheTokens = service.Engine.CacheTokens
	}
	for name, d := range byName {
		d.IsUnreachable = isUnreachable(candidates, name)
		observation.DataCentres = append(observation.DataCentres, d)
	}
	return observation
}

// RecordShareChange logs and counts a change of the share of requests that leave the data
// centre.
func (c *Core) RecordShareChange(change spokelocality.Change) {
	c.Counters.setLocalityShare(change.Service, c.Registry.DataCentre, change.DataCentre, change.After)
	c.Log.Info().Str("service", change.Service).Str("to", change.DataCentre).Float64("before", change.Before).Float64("share", change.After).Float64("target", change.Target).
		Float64("own_wait_millis", change.OwnWait).Float64("other_wait_millis", change.OtherWait).Float64("leave_cost_millis", change.LeaveCost).
		Float64("own_busy", change.OwnBusy).Float64("own_servers", change.OwnServers).Float64("other_busy", change.OtherBusy).Float64("other_servers", change.OtherServers).
		Int64("own_age_millis", int64(change.OwnAge)).Int64("other_age_millis", int64(change.OtherAge)).Float64("bad_part", change.BadPart).Float64("answers", change.Answers).
		Msg("Share of requests that leave the data centre has changed.")
}

// recordFirstEvent tells the locality decision whether a server's answer has begun in time.
func (r *requestRun) recordFirstEvent(attempt *spokebackend.Attempt) {
	target := r.request.Route.LatencyTarget
	r.recordPunctuality(attempt, target == 0 || r.core.Clock.Now()-r.attemptSentAt <= target)
}

func (r *requestRun) recordPunctuality(attempt *spokebackend.Attempt, isGood bool) {
	if r.hasPermit {
		r.core.Locality.RecordAnswer(r.request.Service.Name, attempt.Instance().DataCentre, isGood)
	}
}

// recordTransfer counts the bytes of an attempt that left the data centre, and records the
// size of a complete answer and a server's failure to begin one. A caller that leaves, or
// the move of an answer, says nothing about the server.
func (r *requestRun) recordTransfer(ctx context.Context, attempt *spokebackend.Attempt, err error) {
	own, other := r.core.Registry.DataCentre, attempt.Instance().DataCentre
	if own != "" && other != "" && own != other {
		r.core.Counters.countRemoteBytes(own, other, r.request.BodyBytes, r.answerBytes)
	}
	cause := context.Cause(ctx)
	isServersFault := cause == nil || errors.Is(cause, errServerSilent) || errors.Is(cause, context.DeadlineExceeded)
	switch {
	case !r.hasPermit:
	case err == nil:
		r.core.Locality.RecordAnswerBytes(r.request.Service.Name, r.request.Route.Name, r.answerBytes)
	case r.answerStartedAt == 0 && isServersFault && spokeerror.KindOf[Kind](err).isAttemptOutcome():
		r.recordPunctuality(attempt, false)
	}
}
