package spokecore

import (
	"fmt"

	"mulberryspoke.example/mulberryspoke/spokeclock"
)

// Kind is the kind of an error of this package.
type Kind string

const (
	// KindNotSent means that no part of the attempt left this process.
	KindNotSent Kind = "not_sent"
	// KindNotRun means that the backend server reported that it did not run the
	// attempt.
	KindNotRun Kind = "not_run"
	// KindNoAnswer means that the attempt got no answer or an incomplete one. It
	// may have run.
	KindNoAnswer Kind = "no_answer"
	// KindInvalidAnswer means that what was received cannot be the backend
	// server's complete answer to this attempt. The attempt may have run.
	KindInvalidAnswer Kind = "spoiled"
	// KindServerFailureRetried means that the backend server reported a failure of
	// its own, which is not forwarded, as another server is tried.
	KindServerFailureRetried Kind = "replaced"
	// KindMoved means that the attempt was cancelled to move the request to another
	// server.
	KindMoved Kind = "moved"

	// KindNotRecorded means that the caller gets nothing of a stream that has begun, as
	// its origin could not be recorded.
	KindNotRecorded Kind = "not_recorded"
	// KindOriginUnknown means that it can't be told which servers can go on with a stream.
	KindOriginUnknown Kind = "origin_unknown"
	// KindWorkspaceLimit means that the workspace is over its allotment or a rate limit.
	KindWorkspaceLimit Kind = "workspace_limit"
	// KindQuarantined means that the request or a part of its prompt has crashed backend
	// servers.
	KindQuarantined Kind = "quarantined_prompt"
	// KindNoServer means that the service has no live backend server.
	KindNoServer Kind = "no_backend_server"
	// KindOverloaded means that the service cannot serve the request in time.
	KindOverloaded Kind = "overloaded"
	// KindTimeout means that the deadline of the request has passed or is too
	// close.
	KindTimeout Kind = "timeout"
	// KindServersFailed means that the attempts at backend servers failed.
	KindServersFailed Kind = "backend_server_failed"
	// KindAnswerBroken means that the answer broke off after part of it was
	// forwarded.
	KindAnswerBroken Kind = "answer_broken"
	// KindCallerGone means that the caller closed the connection.
	KindCallerGone Kind = "caller_gone"
)

// isAttemptOutcome reports whether a kind describes how an attempt at a server
// ended, as opposed to the whole request.
func (k Kind) isAttemptOutcome() bool {
	switch k {
	case KindNotSent, KindNotRun, KindNoAnswer, KindInvalidAnswer, KindServerFailureRetried, KindMoved:
		return true
	default:
		return false
	}
}

// mayHaveRun reports whether an attempt that ended with an error of the kind may have
// run. An error without a kind promises nothing.
func (k Kind) mayHaveRun() bool {
	return k == KindNoAnswer || k == KindInvalidAnswer || k == ""
}

// Refusal is the final error of a request that no backend server has answered
// completely.
type Refusal struct {
	kind       Kind
	notRun     bool
	retryAfter spokeclock.Millis
	cause      error
}

// Kind returns the reason for the refusal.
func (r *Refusal) Kind() Kind { return r.kind }

// NotRun reports whether the request has certainly not run and never will.
func (r *Refusal) NotRun() bool { return r.notRun }

// RetryAfter returns the time after which the caller may retry. Zero means that
// it should not.
func (r *Refusal) RetryAfter() spokeclock.Millis { return r.retryAfter }

// Unwrap returns the cause, which may be nil.
func (r *Refusal) Unwrap() error { return r.cause }

// Error implements the error interface.
func (r *Refusal) Error() string {
	return fmt.Sprintf("serve request: %s: not run %t: %v", r.kind, r.notRun, r.cause)
}

const (
	// retrySoon is about the time in which the registry replaces a failed server
	// or a short burst passes.
	retrySoon = 400 * spokeclock.Millis(1)
	// retryLater is about the time in which a service without live servers gets
	// new ones.
	retryLater = spokeclock.Second
)
