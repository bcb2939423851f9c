package spokeerror

import (
	"errors"
	"fmt"
	"strings"

	"github.com/ansel1/merry/v2"
)

// Error describes a failed operation. K is the type of the kinds of errors of
// one package.
type Error[K ~string] struct {
	operation string
	kind      K
	cause     error
}

// New returns an *Error with an operation, a kind and a cause, which may be nil.
func New[K ~string](operation string, kind K, cause error) error {
	if cause != nil {
		cause = merry.Wrap(cause, merry.NoCaptureStack())
	}
	return &Error[K]{operation: operation, kind: kind, cause: cause}
}

// Newf is like New with a cause that is formatted as by fmt.Errorf.
func Newf[K ~string](operation string, kind K, format string, args ...any) error {
	return New(operation, kind, fmt.Errorf(format, args...))
}

// Operation returns the name of the operation that failed.
func (e *Error[K]) Operation() string { return e.operation }

// Kind returns the kind of the failure.
func (e *Error[K]) Kind() K { return e.kind }

// Unwrap returns the cause, which may be nil.
func (e *Error[K]) Unwrap() error { return e.cause }

// maxCauseBytes bounds the text of a cause. Some decoders repeat the data that they
// reject, whose length anyone may choose.
const maxCauseBytes = 1000

// Error returns the operation, the kind and the cause, separated by colons. A long
// cause is cut off.
func (e *Error[K]) Error() string {
	if e.cause == nil {
		return e.operation + ": " + string(e.kind)
	}
	cause := e.cause.Error()
	if len(cause) > maxCauseBytes {
		cause = strings.ToValidUTF8(cause[:maxCauseBytes], "") + "..."
	}
	return e.operation + ": " + string(e.kind) + ": " + cause
}

// KindOf returns the kind of the first *Error[K] in the chain of err, or the
// empty kind if there is none.
func KindOf[K ~string](err error) K {
	var e *Error[K]
	if errors.As(err, &e) {
		return e.kind
	}
	return ""
}
