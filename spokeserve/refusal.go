package spokeserve

import (
	"mulberryspoke.example/mulberryspoke/gen/types"
	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokecore"
)

// Kind is the reason for the refusal of a request.
type Kind string

const (
	// KindMalformedRequest means that a part of the request is malformed.
	KindMalformedRequest Kind = "malformed_request"
	// KindInvalidKey means that the idempotency key is missing or malformed.
	KindInvalidKey Kind = "invalid_idempotency_key"
	// KindExpiredKey means that the idempotency key is too old.
	KindExpiredKey Kind = "expired_idempotency_key"
	// KindKeyReused means that the idempotency key was used with another request.
	KindKeyReused Kind = "idempotency_key_reused"
	// KindInProgress means that another attempt of the request is in progress.
	KindInProgress Kind = "in_progress"
	// KindUnauthorized means that the workspace key is missing or wrong.
	KindUnauthorized Kind = "unauthorized"
	// KindUnknownService means that the service is not declared.
	KindUnknownService Kind = "unknown_service"
	// KindBodyTooLarge means that the body exceeds the limit.
	KindBodyTooLarge Kind = "body_too_large"
	// KindWorkspaceLimit means that the workspace exceeds its declared limits.
	KindWorkspaceLimit Kind = "workspace_limit"
	// KindOverloaded means that the service has no capacity within the allowed wait.
	KindOverloaded Kind = "overloaded"
	// KindNoConfiguration means that the instance has no up-to-date configuration
	// yet.
	KindNoConfiguration Kind = "no_configuration"
	// KindNoServer means that the service has no live backend server.
	KindNoServer Kind = "no_backend_server"
	// KindShuttingDown means that the instance accepts no more requests.
	KindShuttingDown Kind = "shutting_down"
	// KindClaimsUnavailable means that claims cannot be written or read.
	KindClaimsUnavailable Kind = "claims_unavailable"
	// KindServerFailed means that backend servers failed and the request could not be
	// completed.
	KindServerFailed Kind = "backend_server_failed"
	// KindTimeout means that the request timed out or that the caller closed the
	// connection.
	KindTimeout Kind = "timeout"
	// KindOutcomeUnknown means that the request may have run.
	KindOutcomeUnknown Kind = "outcome_unknown"
)

// Outcome states whether a refused request ran.
type Outcome string

const (
	// OutcomeNotRun means that the request did not run and will not run.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown means that the request may have run or may still run.
	OutcomeUnknown Outcome = "outcome_unknown"
	// OutcomeIncomplete means that only a part of the answer was delivered.
	OutcomeIncomplete Outcome = "incomplete"
)

const (
	scopeRequest = "request"
	scopeAttempt = "attempt"

	shortRetryAfter = spokeclock.Second
	longRetryAfter  = 5 * spokeclock.Second
)

// errorUnavailable is the goa error for requests that may succeed soon.
const errorUnavailable = "unavailable"

// errorNames maps each kind to its goa error, which determines the HTTP status.
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
	KindOverloaded:        errorUnavailable,
	KindNoConfiguration:   errorUnavailable,
	KindNoServer:          errorUnavailable,
	KindShuttingDown:      errorUnavailable,
	KindClaimsUnavailable: errorUnavailable,
	KindServerFailed:      "failed",
	KindTimeout:           "expired",
}

// refuse returns the refusal of a request that did not run.
func refuse(kind Kind, retryAfter spokeclock.Millis, message string) *types.Refusal {
	return newRefusal(kind, OutcomeNotRun, scopeRequest, retryAfter, message)
}

// refuseAttempt returns the refusal of an attempt that did not run, while earlier
// attempts with its idempotency key may have run.
func refuseAttempt(kind Kind, retryAfter spokeclock.Millis, message string) *types.Refusal {
	return newRefusal(kind, OutcomeNotRun, scopeAttempt, retryAfter, message)
}

// refuseOutcomeUnknown returns the refusal of a request that may have run.
func refuseOutcomeUnknown(kind Kind, retryAfter spokeclock.Millis, message string) *types.Refusal {
	return newRefusal(kind, OutcomeUnknown, scopeRequest, retryAfter, message)
}

// refuseIncomplete returns the refusal of a request whose answer was delivered in
// part.
func refuseIncomplete(kind Kind, message string) *types.Refusal {
	return newRefusal(kind, OutcomeIncomplete, scopeRequest, shortRetryAfter, message)
}

// describeRefusal returns the kind and the message for callers of a refusal by the
// core.
func describeRefusal(refusal *spokecore.Refusal) (Kind, string) {
	switch refusal.Kind() {
	case spokecore.KindWorkspaceLimit:
		return KindWorkspaceLimit, refusal.Unwrap().Error()
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

func newRefusal(kind Kind, outcome Outcome, scope string, retryAfter spokeclock.Millis, message string) *types.Refusal {
	detail := &types.RefusalDetail{
		Message: message,
		Type:    string(kind),
		Code:    string(kind),
		Outcome: string(outcome),
		Scope:   scope,
	}
	return &types.Refusal{Name: errorNames[kind], Detail: detail, RetryAfter: retryAfter.RetryAfterSeconds()}
}
