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
	// KindOutcomeUnknown says that the request may have run.
	KindOutcomeUnknown Kind = "unknown"
	// KindWrongAttempt says that the answer belongs to another attempt.
	KindWrongAttempt Kind = "crossed"
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
	// AttemptID is the identity that the answer must carry back.
	AttemptID string
}

// Response is a whole answer.
type Response struct {
	// Status is the HTTP status.
	Status int `json:"status"`
	// ContentType is the body's type.
	ContentType string `json:"content_type"`
	// Body is the whole body.
	Body []byte `json:"body"`
}

// SealRequest asks what became of an attempt and forbids it from then on.
type SealRequest struct {
	// AttemptID is the attempt.
	AttemptID string `json:"attempt"`
}

// AttemptReport tells what became of an attempt.
type AttemptReport struct {
	// Started says that the attempt was begun.
	Started bool `json:"ran"`
	// Finished says that it has ended.
	Finished bool `json:"finished"`
	// Response is its answer once it has ended.
	Response Response `json:"answer"`
}

// Client is a client of one backend server of a plain service. Set its fields
// before the first call. It is safe for concurrent use.
type Client struct {
	// URL is the server's address.
	URL string
	// HTTPClient makes the calls. For requests that are not idempotent it must not
	// reuse connections, since the HTTP library may send again on those.
	HTTPClient *http.Client
}

// Send runs a request once. It returns an error of kind KindNotSent,
// KindUnknown, KindCrossed or KindSealed.
func (s *Client) Send(ctx context.Context, request Request) (Response, error) {
	outgoing, err := http.NewRequestWithContext(ctx, request.Method, s.URL+request.Path, bytes.NewReader(request.Body))
	if err != nil {
		return Response{}, spokeerror.New("send", KindNotSent, err)
	}
	if request.ContentType != "" {
		outgoing.Header.Set("Content-Type", request.ContentType)
	}
	outgoing.Header.Set(AttemptHeader, request.AttemptID)
	spoketrace.Inject(ctx, outgoing.Header)
	response, err := s.HTTPClient.Do(outgoing)
	if err != nil {
		return Response{}, spokeerror.New("send", kindOfFailure(err), err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return Response{}, spokeerror.New("send", KindOutcomeUnknown, err)
	}
	return check(request, response, body)
}

func check(request Request, response *http.Response, body []byte) (Response, error) {
	if carried := response.Header.Get(AttemptHeader); carried != request.AttemptID {
		return Response{}, spokeerror.Newf("send", KindWrongAttempt, "the answer is to %q", carried)
	}
	if response.Header.Get(SealedHeader) != "" {
		return Response{}, spokeerror.Newf("send", KindSealed, "attempt %s", request.AttemptID)
	}
	answer := Response{
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
	return KindOutcomeUnknown
}

// SealAttempt asks what became of an attempt. Once it answers that the attempt did
// not run, the server never runs it. It returns an error of kind KindUnknown.
func (s *Client) SealAttempt(ctx context.Context, attempt string) (AttemptReport, error) {
	report, err := spokehttp.PostJSON[AttemptReport](ctx, s.HTTPClient, s.URL+"/v1/attempts/seal", SealRequest{AttemptID: attempt})
	if err != nil {
		return AttemptReport{}, spokeerror.New("seal attempt", KindOutcomeUnknown, err)
	}
	return report, nil
}
