package spokeplain

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"mulberryspoke.example/mulberryspoke/spokeerror"
	"mulberryspoke.example/mulberryspoke/spokehttp"
	"mulberryspoke.example/mulberryspoke/spoketrace"
)

// Kind is the kind of an error of this package.
type Kind string

const (
	// KindNotSent says that the request certainly did not run.
	KindNotSent Kind = "not_sent"
	// KindUnknown says that the request may have run.
	KindUnknown Kind = "unknown"
	// KindCrossed says that the answer belongs to another attempt.
	KindCrossed Kind = "crossed"
	// KindSealed says that the service refuses the attempt, which has not run.
	KindSealed Kind = "sealed"
)

const (
	// AttemptHeader carries the attempt's identity there and back.
	AttemptHeader = "Spoke-Attempt"
	// SealedHeader marks the refusal of a sealed attempt.
	SealedHeader = "Spoke-Sealed"

	maxAnswerBytes = 64 << 20
)

// Request is one request to a plain service.
type Request struct {
	// Method is the HTTP method.
	Method string
	// Path is the path within the service, with its query.
	Path string
	// ContentType is the body's type.
	ContentType string
	// Body is the whole body.
	Body []byte
	// Attempt is the identity that the answer must carry back.
	Attempt string
}

// Answer is a whole answer.
type Answer struct {
	// Status is the HTTP status.
	Status int `json:"status"`
	// ContentType is the body's type.
	ContentType string `json:"content_type"`
	// Body is the whole body.
	Body []byte `json:"body"`
}

// SealRequest asks what became of an attempt and forbids it from then on.
type SealRequest struct {
	// Attempt is the attempt.
	Attempt string `json:"attempt"`
}

// Report tells what became of an attempt.
type Report struct {
	// Ran says that the attempt was begun.
	Ran bool `json:"ran"`
	// Finished says that it has ended.
	Finished bool `json:"finished"`
	// Answer is its answer once it has ended.
	Answer Answer `json:"answer"`
}

// Server is a client of one backend server of a plain service. Set its fields
// before the first call. It is safe for concurrent use.
type Server struct {
	// URL is the server's address.
	URL string
	// Client makes the calls. For requests that are not idempotent it must not
	// reuse connections, since the HTTP library may send again on those.
	Client *http.Client
}

// Send runs a request once. It returns an error of kind KindNotSent,
// KindUnknown, KindCrossed or KindSealed.
func (s *Server) Send(ctx context.Context, request Request) (Answer, error) {
	outgoing, err := http.NewRequestWithContext(ctx, request.Method, s.URL+request.Path, bytes.NewReader(request.Body))
	if err != nil {
		return Answer{}, spokeerror.New("send", KindNotSent, err)
	}
	if request.ContentType != "" {
		outgoing.Header.Set("Content-Type", request.ContentType)
	}
	outgoing.Header.Set(AttemptHeader, request.Attempt)
	spoketrace.Inject(ctx, outgoing.Header)
	response, err := s.Client.Do(outgoing)
	if err != nil {
		return Answer{}, spokeerror.New("send", kindOfFailure(err), err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return Answer{}, spokeerror.New("send", KindUnknown, err)
	}
	return check(request, response, body)
}

func check(request Request, response *http.Response, body []byte) (Answer, error) {
	if carried := response.Header.Get(AttemptHeader); carried != request.Attempt {
		return Answer{}, spokeerror.Newf("send", KindCrossed, "the answer is to %q", carried)
	}
	if response.Header.Get(SealedHeader) != "" {
		return Answer{}, spokeerror.Newf("send", KindSealed, "attempt %s", request.Attempt)
	}
	answer := Answer{
		Status:      response.StatusCode,
		ContentType: response.Header.Get("Content-Type"),
		Body:        body,
	}
	return answer, nil
}

func kindOfFailure(err error) Kind {
	if spokehttp.KindOfFailure(err) == spokehttp.KindNotSent {
		return KindNotSent
	}
	return KindUnknown
}

// Seal asks what became of an attempt. Once it answers that the attempt did
// not run, the server never runs it. It returns an error of kind KindUnknown.
func (s *Server) Seal(ctx context.Context, attempt string) (Report, error) {
	report, err := spokehttp.Call[Report](ctx, s.Client, s.URL+"/v1/attempts/seal", SealRequest{Attempt: attempt})
	if err != nil {
		return Report{}, spokeerror.New("seal attempt", KindUnknown, err)
	}
	return report, nil
}
