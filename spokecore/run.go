package spokecore

import (
	"context"
	"errors"
	"sync/atomic"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokecloud"
	"mulberryspoke.example/mulberryspoke/spokeerror"
	"mulberryspoke.example/mulberryspoke/spokelocality"
	"mulberryspoke.example/mulberryspoke/spokequarantine"
	"mulberryspoke.example/mulberryspoke/spokeroute"
	"mulberryspoke.example/mulberryspoke/spokescarcity"
)

const (
	// minSends is the number of servers that may be tried for any request,
	// including those that could not be reached or had no capacity.
	minSends = 4
	// minTimeLeft is the time below which an attempt could not be answered.
	minTimeLeft = 5 * spokeclock.Millis(1)
	// chooseInterval is the pause between two searches for a live server. It is
	// short compared to any latency target.
	chooseInterval = 20 * spokeclock.Millis(1)
)

// requestRun is the state of one request while it is served. The atomic fields
// are read by other goroutines.
type requestRun struct {
	core      *Core
	request   *Request
	callbacks Callbacks
	service   *serviceState
	startedAt spokeclock.Millis
	// sharedPrefixTokens and prefixKey are the length and the key of the prefix
	// that the prompt shares with others.
	sharedPrefixTokens int
	prefixKey          uint64
	// sharedPartKeys are the keys of the prompt's parts that others may share.
	sharedPartKeys []string
	// subjects are what servers may crash on.
	subjects []spokequarantine.Subject
	// isTrial is whether the request shows if servers still crash on one of its subjects.
	isTrial atomic.Bool
	// crashCheck is closed at the end of the check of the last server, or nil.
	crashCheck <-chan struct{}

	triedServers []string
	// triedAddresses are those to which attempts were sent. Several servers may be listed
	// under one address.
	triedAddresses []string
	// executions is the number of attempts that ran or may have run.
	executions       atomic.Int64
	executionStarted bool
	headWritten      bool
	// answerStartedAt is when the first event of the present attempt arrived, or zero.
	answerStartedAt spokeclock.Millis
	// attemptSentAt is when the present attempt was sent, and answerBytes the size of its
	// answer so far.
	attemptSentAt spokeclock.Millis
	answerBytes   int
	// localityPermit is where the request may be served, if hasPermit is set.
	localityPermit spokelocality.Permit
	hasPermit      bool
	// isDelimited is whether the end of the present attempt's answer can't be mistaken
	// for a lost connection.
	isDelimited bool
	// isAnswerRecorded is whether the quarantine knows of the answer.
	isAnswerRecorded bool
	lastEventID      string
	// cannotResume is whether the caller has something after which no other server can
	// go on.
	cannotResume  atomic.Bool
	firstEventAt  atomic.Int64
	prefillTokens int
	// chosenAt is when the last server was chosen, and forecast the time from then to the
	// first event as expected by the forecast policy, in milliseconds, or zero.
	chosenAt   spokeclock.Millis
	forecast   float64
	eventCount atomic.Int64
	// softwareVersion is the version of the servers' software at which the stream began,
	// or nil before.
	softwareVersion atomic.Pointer[string]
	// versionDraw is the random number by which the request's version is chosen during a
	// rollout, and failedVersion the version of the server at which an attempt has failed.
	versionDraw   float64
	failedVersion string
	// admitted is what the decision of AdmissionFunc is told about the request, or nil.
	admitted *spokescarcity.AdmittedRequest
	// urgencyStep is added to the request's urgency at engines.
	urgencyStep int
	// isUnrecorded is whether the stream could not be recorded at that version.
	isUnrecorded bool
	// observer reports how the answer to the present attempt goes.
	observer *answerObserver
	// movedFrom is the server that still holds the KV cache of an answer that is
	// being moved.
	movedFrom spokecloud.Instance
}

// serve applies limits and admission control to the request and tries servers
// until one has answered it.
func (r *requestRun) serve(ctx context.Context) *Refusal {
	if cause := r.checkQuarantine(); cause != nil {
		return r.finalRefusal(ctx, KindQuarantined, cause)
	}
	refusal := r.applyLimits()
	if refusal != nil {
		return refusal
	}
	if refusal = r.findOrigin(ctx); refusal != nil {
		r.releaseLimits(refusal)
		return refusal
	}
	admission, refusal := r.admit(ctx)
	if refusal == nil {
		r.service.retryBudget.RecordRequest()
		r.lastEventID = r.request.LastEventID
		deadlineCtx, cancel := context.WithTimeout(ctx, r.timeLeft().Duration())
		defer cancel()
		if r.request.OnEndFunc != nil {
			defer r.request.OnEndFunc(cancel)()
		}
		refusal = r.tryServers(ctx, deadlineCtx)
		r.recordAdmitted(spokescarcity.EventEnd)
		r.endTrial()
	}
	admission.Release()
	r.releaseLimits(refusal)
	return refusal
}

// timeLeft returns the time until the deadline.
func (r *requestRun) timeLeft() spokeclock.Millis { return r.request.Deadline - r.core.Clock.Now() }

// tryServers tries servers one after another. The context ctx is cancelled when
// the caller is gone, deadlineCtx also when the request times out.
func (r *requestRun) tryServers(ctx, deadlineCtx context.Context) *Refusal {
	var lastErr error
	for len(r.triedServers) < max(minSends, r.request.maxAttempts()) {
		decision := r.waitForServer(deadlineCtx)
		if r.timeLeft() < minTimeLeft {
			return r.finalRefusal(ctx, KindTimeout, lastErr)
		}
		if decision.Server() == "" {
			return r.finalRefusal(ctx, KindNoServer, errors.Join(errors.New(string(decision.Reason())), lastErr))
		}
		if refusal := r.applyAdmission(ctx, decision); refusal != nil {
			return refusal
		}
		if cause := r.admitAttempt(); cause != nil {
			return r.finalRefusal(ctx, KindQuarantined, cause)
		}
		r.triedServers = append(r.triedServers, decision.Server())
		r.recordForecast(decision)
		r.recordEngineTime()
		err := r.tryServer(deadlineCtx, decision.Server())
		if err == nil {
			return nil
		}
		lastErr = err
		if ctx.Err() != nil || deadlineCtx.Err() != nil || !r.allowNextServer(err) {
			break
		}
		r.awaitCrashCheck(ctx)
		if cause := r.checkQuarantine(); cause != nil {
			return r.finalRefusal(ctx, KindQuarantined, cause)
		}
		r.core.Counters.countRetry(r.request.isResumable() && r.headWritten)
		r.core.Log.Info().Str("id", r.request.ID).Str("server", decision.Server()).Int64("ran", r.executions.Load()).Str("content", r.request.ContentKey).Strs("prompt_parts", r.sharedPartKeys).Err(err).Msg("Attempt failed; trying another backend server.")
	}
	return r.finalRefusal(ctx, KindServersFailed, lastErr)
}

// waitForServer chooses a server. If no server is available it tries again until
// the wait timeout.
func (r *requestRun) waitForServer(deadlineCtx context.Context) spokeroute.Decision {
	waitTimeout := r.core.ServerWaitTimeout
	if r.headWritten {
		waitTimeout = r.core.ResumeWaitTimeout
	}
	waitUntil := r.core.Clock.Now() + waitTimeout
	for {
		// The share for long answers does not apply to an answer that is being
		// moved: its KV cache would be gone by the time there is capacity.
		applyLongShare := r.request.ExpectsLongAnswer() && r.movedFrom.Name == ""
		decision := r.chooseServer(applyLongShare)
		if decision.Server() != "" || r.core.Clock.Now() >= waitUntil || spokeclock.Sleep(deadlineCtx, chooseInterval) != nil {
			return decision
		}
	}
}

// allowNextServer reports whether the request may be sent to another server
// after a failed attempt, and if so takes a retry from the budget unless the
// kind of the error needs none.
func (r *requestRun) allowNextServer(err error) bool {
	if r.headWritten && (!r.request.isResumable() || r.cannotResume.Load()) {
		return false
	}
	switch spokeerror.KindOf[Kind](err) {
	case KindNotSent, KindServerFailureRetried, KindMoved:
		return true
	case KindNotRun:
		return r.service.retryBudget.AllowRetry()
	case KindNoAnswer, KindInvalidAnswer, KindNotRecorded:
		return r.canRunAgain() && r.service.retryBudget.AllowRetry()
	default:
		return false
	}
}

// canRunAgain reports whether one more server may run the request. A trial is run by one.
func (r *requestRun) canRunAgain() bool {
	return !r.isTrial.Load() && r.request.isRepeatable() && !r.cannotResume.Load() && int(r.executions.Load()) < r.request.maxAttempts()
}

// finalRefusal returns the refusal of a request that is not tried again.
func (r *requestRun) finalRefusal(ctx context.Context, kind Kind, cause error) *Refusal {
	refusal := &Refusal{kind: kind, notRun: r.executions.Load() == 0 && !r.headWritten, cause: cause}
	lastKind := spokeerror.KindOf[Kind](cause)
	switch {
	case ctx.Err() != nil:
		refusal.kind = KindCallerGone
	case r.headWritten:
		refusal.kind = KindAnswerBroken
	case r.timeLeft() < minTimeLeft:
		refusal.kind = KindTimeout
		if refusal.notRun {
			refusal.retryAfter = retrySoon
		}
	case kind == KindQuarantined:
		refusal.retryAfter = r.core.Quarantine.Find(r.subjects).Remaining
	case kind == KindNoServer:
		refusal.retryAfter = r.serviceRetryAfter(max(retryLater, r.core.Registry.NextResume(r.request.Service.Name)))
	case refusal.notRun && lastKind == KindNotRun:
		refusal.kind = KindOverloaded
		refusal.retryAfter = r.serviceRetryAfter(retrySoon)
	case lastKind != "" && !lastKind.isAttemptOutcome():
		refusal.kind = lastKind
	default:
		refusal.retryAfter = retrySoon
	}
	return refusal
}

// recordForecast keeps what the choice of a server rests on. Only the forecast policy says how
// many tokens of a prompt the server has to process.
func (r *requestRun) recordForecast(decision spokeroute.Decision) {
	r.prefillTokens = decision.PrefillTokens()
	r.chosenAt, r.forecast = r.core.Clock.Now(), 0
	if r.prefillTokens > 0 {
		r.forecast = decision.Cost()
	}
}

// recordEngineTime reports the time for which the request is expected to keep an
// engine busy. It does so when the request is sent, as an overloaded service
// answers fewer requests than it receives.
func (r *requestRun) recordEngineTime() {
	if r.request.Service.Engine == nil || r.core.AddEngineTimeFunc == nil || len(r.triedServers) > 1 {
		return
	}
	r.core.AddEngineTimeFunc(r.request.Service.Name, r.engineTime(r.prefillTokens))
}

// engineTime returns the time for which the request is expected to keep an engine busy that
// has to process prefillTokens of its prompt. It is zero if the service has no engines.
func (r *requestRun) engineTime(prefillTokens int) spokeclock.Millis {
	engine := r.request.Service.Engine
	if engine == nil {
		return 0
	}
	answerTokens := r.service.answerLengths.expectedTokens(r.request.Route.Name, r.request.AnswerTokens)
	return r.core.Registry.EngineTime(r.request.Service.Name, prefillTokens, answerTokens, engine.Slots)
}

// recordAnswerLength updates the estimate of the route's answer lengths.
func (r *requestRun) recordAnswerLength() {
	if r.request.Service.Engine == nil {
		return
	}
	r.service.answerLengths.recordAnswer(r.request.Route.Name, r.request.AnswerTokens, r.answeredTokens())
}

// answeredTokens returns the number of tokens of the answer received so far.
func (r *requestRun) answeredTokens() int {
	tokensPerEvent := 1
	if engine := r.request.Service.Engine; engine != nil {
		tokensPerEvent = max(1, engine.TokensPerEvent)
	}
	return int(r.eventCount.Load()) * tokensPerEvent
}

// recordExecutionStart records, once for each request, that a server has started
// to run it.
func (r *requestRun) recordExecutionStart() {
	if r.executionStarted {
		return
	}
	r.executionStarted = true
	r.firstEventAt.Store(int64(r.core.Clock.Now()))
	r.recordAdmitted(spokescarcity.EventFirst)
	if r.forecast > 0 {
		r.core.Counters.forecastRatio.Update(float64(r.core.Clock.Now()-r.chosenAt) / r.forecast)
	}
	if r.request.Workspace != nil && r.core.RequestStartedFunc != nil {
		r.core.RequestStartedFunc(r.request.Workspace.Name)
	}
}

// recordResult logs and counts how the request ended.
func (r *requestRun) recordResult(refusal *Refusal) {
	now := r.core.Clock.Now()
	line := r.core.Log.Info().Str("id", r.request.ID).Str("route", r.request.Route.Name).Str("workspace", r.request.workspaceName()).
		Float64("cost", r.request.allotmentCost()).Strs("servers", r.triedServers).Int64("ran", r.executions.Load()).Int64("millis", int64(now-r.startedAt))
	if version := r.softwareVersion.Load(); version != nil {
		line = line.Str("software_version", *version)
	}
	if r.request.LastEventID != "" {
		line = line.Str("resumes", r.request.ResumedID).Str("after_event", r.request.LastEventID)
	}
	if r.executionStarted {
		firstEventDelay := spokeclock.Millis(r.firstEventAt.Load()) - r.startedAt
		line = line.Int64("first_millis", int64(firstEventDelay))
		if r.forecast > 0 {
			line = line.Int64("forecast_millis", int64(r.forecast))
		}
		r.core.Counters.firstByte.Update(firstEventDelay.Duration().Seconds())
	}
	if refusal == nil {
		r.service.answered.record(r.request.Route.Name, now)
		r.core.Counters.CountResult(r.request.Service.Name, resultAnswered)
		line.Msg("Request answered.")
		return
	}
	r.core.Counters.CountResult(r.request.Service.Name, string(refusal.kind))
	line.Str("kind", string(refusal.kind)).Bool("not_run", refusal.notRun).Int64("after_millis", int64(refusal.retryAfter)).Str("content", r.request.ContentKey).Strs("prompt_parts", r.sharedPartKeys).Err(refusal.cause).Msg("Request refused.")
}
