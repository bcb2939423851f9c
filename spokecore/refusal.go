package spokecore

import (
	"fmt"

	"mulberryspoke.example/mulberryspoke/spokeclock"
)

// Kind is the kind of an error of this package.
type Kind string

const (
	// KindNotSent is an attempt of which nothing left this process.
	KindNotSent Kind = "not_sent"
	// KindNotRun is an attempt that the backend server says it did not run.
	KindNotRun Kind = "not_run"
	// KindNoAnswer is an attempt without an answer, which may have run.
	KindNoAnswer Kind = "no_answer"
	// KindInvalidAnswer is an answer that cannot be the backend server's whole answer
	// to this attempt, which may have run.
	KindInvalidAnswer Kind = "spoiled"
	// KindServerFailureRetried is a backend server's own failure in place of which another
	// server's answer is sought.
	KindServerFailureRetried Kind = "replaced"
	// KindMoved is an attempt that was ended in favour of another server.
	KindMoved Kind = "moved"

	// KindWorkspaceLimit is a workspace over its allotment.
	KindWorkspaceLimit Kind = "workspace_limit"
	// KindNoServer is a service without a live backend server.
	KindNoServer Kind = "no_backend_server"
	// KindOverloaded is a service that cannot serve the request in time.
	KindOverloaded Kind = "overloaded"
	// KindTimeout is a request whose time has run out.
	KindTimeout Kind = "timeout"
	// KindServersFailed is a request whose backend servers failed.
	KindServersFailed Kind = "backend_server_failed"
	// KindAnswerBroken is an answer that broke off after its beginning was handed on.
	KindAnswerBroken Kind = "answer_broken"
	// KindCallerGone is a caller that has left.
	KindCallerGone Kind = "caller_gone"
)

// ofAttempt reports whether a kind tells how an attempt at a server ended.
func (k Kind) ofAttempt() bool {
	switch k {
	case KindNotSent, KindNotRun, KindNoAnswer, KindInvalidAnswer, KindServerFailureRetried, KindMoved:
		return true
	default:
		return false
	}
}

// Refusal is the final answer to a request that gets none from a backend
// server.
type Refusal struct {
	kind   Kind
	notRun bool
	after  spokeclock.Millis
	cause  error
}

// Kind returns why the request is refused.
func (r *Refusal) Kind() Kind { return r.kind }

// NotRun reports whether the request certainly has not run and never will.
func (r *Refusal) NotRun() bool { return r.notRun }

// RetryAfter returns when the caller may come back. Zero means that it should not.
func (r *Refusal) RetryAfter() spokeclock.Millis { return r.after }

// Unwrap returns the cause, which may be nil.
func (r *Refusal) Unwrap() error { return r.cause }

// Error returns the refusal in one line.
func (r *Refusal) Error() string {
	return fmt.Sprintf("serve request: %s: not run %t: %v", r.kind, r.notRun, r.cause)
}

const (
	// returnSoon is about the time in which a failed server is replaced by
	// another in the registry, or a moment's burst has passed.
	returnSoon = 400 * spokeclock.Millis(1)
	// returnLater is about the time in which a service gets servers again.
	returnLater = spokeclock.Second
)
