package spokeserve

import (
	"mulberryspoke.example/mulberryspoke/gen/types"
	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokecore"
)

// Kind tells why a request was refused.
type Kind string

const (
	// KindMalformedRequest is a body or header that cannot be read.
	KindMalformedRequest Kind = "malformed_request"
	// KindInvalidKey is a missing or malformed idempotency key.
	KindInvalidKey Kind = "invalid_idempotency_key"
	// KindExpiredKey is an idempotency key that is too old.
	KindExpiredKey Kind = "expired_idempotency_key"
	// KindKeyReused is an idempotency key used with another request.
	KindKeyReused Kind = "idempotency_key_reused"
	// KindInProgress is a request whose first attempt is still under way.
	KindInProgress Kind = "in_progress"
	// KindUnauthorized is a missing or wrong key.
	KindUnauthorized Kind = "unauthorized"
	// KindUnknownService is a service that is not declared.
	KindUnknownService Kind = "unknown_service"
	// KindBodyTooLarge is a body over the limit.
	KindBodyTooLarge Kind = "body_too_large"
	// KindWorkspaceLimit is a workspace over its declared limits.
	KindWorkspaceLimit Kind = "workspace_limit"
	// KindOverloaded is a service without room within the wait allowed.
	KindOverloaded Kind = "overloaded"
	// KindNoConfiguration is an instance that knows no configuration yet.
	KindNoConfiguration Kind = "no_configuration"
	// KindNoServer is a service without a live backend server.
	KindNoServer Kind = "no_backend_server"
	// KindShuttingDown is an instance that takes no more requests.
	KindShuttingDown Kind = "shutting_down"
	// KindClaimsUnavailable is a table service that takes no claims.
	KindClaimsUnavailable Kind = "claims_unavailable"
	// KindServerFailed is an answer that broke off for good.
	KindServerFailed Kind = "backend_server_failed"
	// KindTimeout is a request whose time has run out.
	KindTimeout Kind = "timeout"
	// KindOutcomeUnknown is a request that may have run.
	KindOutcomeUnknown Kind = "outcome_unknown"
)

// Outcome tells whether a refused request ran.
type Outcome string

const (
	// OutcomeNotRun is certain not to have run, now or later.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown may have run, or may still.
	OutcomeUnknown Outcome = "outcome_unknown"
	// OutcomeIncomplete ran in part; what was delivered is not the whole.
	OutcomeIncomplete Outcome = "incomplete"
)

const (
	scopeRequest = "request"
	scopeAttempt = "attempt"

	retrySoon = spokeclock.Second
	retrySlow = 5 * spokeclock.Second
)

// nameUnavailable is the goa error of what may soon be served.
const nameUnavailable = "unavailable"

// errorNames are the goa errors, and so the HTTP statuses, of the kinds.
var errorNames = map[Kind]string{
	KindMalformedRequest:  "invalid",
	KindInvalidKey:        "invalid",
	KindExpiredKey:        "invalid",
	KindKeyReused:         "mismatch",
	KindInProgress:        "conflict",
	KindOutcomeUnknown:    "conflict",
	KindUnauthorized:      "unauthorized",
	KindUnknownService:    "unknown",
	KindBodyTooLarge:      "too_large",
	KindWorkspaceLimit:    "limited",
	KindOverloaded:        nameUnavailable,
	KindNoConfiguration:   nameUnavailable,
	KindNoServer:          nameUnavailable,
	KindShuttingDown:      nameUnavailable,
	KindClaimsUnavailable: nameUnavailable,
	KindServerFailed:      "failed",
	KindTimeout:           "expired",
}

// refuse returns the answer to a request that did not run.
func refuse(kind Kind, after spokeclock.Millis, message string) *types.Refusal {
	return refusal(kind, OutcomeNotRun, scopeRequest, after, message)
}

// refuseAttempt returns the answer to an attempt that did not run, when
// earlier ones under its idempotency key may have.
func refuseAttempt(kind Kind, after spokeclock.Millis, message string) *types.Refusal {
	return refusal(kind, OutcomeNotRun, scopeAttempt, after, message)
}

// unsure returns the answer to a request that may have run.
func unsure(kind Kind, after spokeclock.Millis, message string) *types.Refusal {
	return refusal(kind, OutcomeUnknown, scopeRequest, after, message)
}

// incomplete returns the answer to a request of which a part was delivered.
func incomplete(kind Kind, message string) *types.Refusal {
	return refusal(kind, OutcomeIncomplete, scopeRequest, retrySoon, message)
}

// describe returns the kind and the message for callers of what the core
// refuses.
func describe(refused *spokecore.Refusal) (Kind, string) {
	switch refused.Kind() {
	case spokecore.KindWorkspaceLimit:
		return KindWorkspaceLimit, refused.Unwrap().Error()
	case spokecore.KindOverloaded:
		return KindOverloaded, "the service is full"
	case spokecore.KindNoServer:
		return KindNoServer, "no backend server is live"
	case spokecore.KindTimeout:
		return KindTimeout, "the service's timeout has run out"
	case spokecore.KindCallerGone:
		return KindTimeout, "the caller went away"
	default:
		return KindServerFailed, "a backend server failed"
	}
}

func refusal(kind Kind, outcome Outcome, scope string, after spokeclock.Millis, message string) *types.Refusal {
	detail := &types.RefusalDetail{
		Message: message,
		Type:    string(kind),
		Code:    string(kind),
		Outcome: string(outcome),
		Scope:   scope,
	}
	return &types.Refusal{Name: errorNames[kind], Detail: detail, RetryAfter: after.RetryAfterSeconds()}
}
