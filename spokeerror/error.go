package spokeerror

import (
	"errors"
	"fmt"

	"github.com/ansel1/merry/v2"
)

// Error is a failed operation. K is the package's own type of kinds.
type Error[K ~string] struct {
	operation string
	kind      K
	cause     error
}

// New returns an error of a kind. The cause may be nil.
func New[K ~string](operation string, kind K, cause error) error {
	if cause != nil {
		cause = merry.Wrap(cause, merry.NoCaptureStack())
	}
	return &Error[K]{operation: operation, kind: kind, cause: cause}
}

// Newf returns an error of a kind with a formatted cause.
func Newf[K ~string](operation string, kind K, format string, args ...any) error {
	return New(operation, kind, fmt.Errorf(format, args...))
}

// Operation returns what was tried.
func (e *Error[K]) Operation() string { return e.operation }

// Kind returns what sort of failure it was.
func (e *Error[K]) Kind() K { return e.kind }

// Unwrap returns the cause, which may be nil.
func (e *Error[K]) Unwrap() error { return e.cause }

// Error returns the operation, the kind and the cause in one line.
func (e *Error[K]) Error() string {
	if e.cause == nil {
		return e.operation + ": " + string(e.kind)
	}
	return e.operation + ": " + string(e.kind) + ": " + e.cause.Error()
}

// KindOf returns the kind of the first error in the chain whose kinds are of
// type K, or the empty kind.
func KindOf[K ~string](err error) K {
	var e *Error[K]
	if errors.As(err, &e) {
		return e.kind
	}
	return ""
}
