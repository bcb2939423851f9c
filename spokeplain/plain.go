package spokeplain

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"

	"mulberryspoke.example/mulberryspoke/spokeerror"
	"mulberryspoke.example/mulberryspoke/spokehttp"
	"mulberryspoke.example/mulberryspoke/spoketrace"
)

// Kind is the kind of an error of this package.
type Kind string

const (
	// KindNotSent means that the request is certain not to have been sent.
	KindNotSent Kind = "not_sent"
	// KindOutcomeUnknown means that the request may have run.
	KindOutcomeUnknown Kind = "unknown"
	// KindWrongAttempt means that the response carries the ID of another attempt.
	KindWrongAttempt Kind = "crossed"
	// KindSealed means that the server rejected the attempt because it was sealed
	// before it ran.
	KindSealed Kind = "sealed"
	// KindNotHeld means that the response may not be held in memory. The request has run.
	KindNotHeld Kind = "not_held"
)

const (
	// AttemptHeader carries the attempt ID in requests and responses.
	AttemptHeader = "Spoke-Attempt"
	// SealedHeader marks the rejection of a sealed attempt.
	SealedHeader = "Spoke-Sealed"

	maxResponseBytes = 64 << 20
	// sealedFactor is what a byte of an attempt's report takes in memory: its text, and the
	// decoded response.
	sealedFactor = 2
)

// Request is a request to a plain service.
type Request struct {
	// Method is the HTTP method.
	Method string
	// Path is the path within the service, with the query.
	Path string
	// ContentType is the media type of the body.
	ContentType string
	// Body is the complete body.
	Body []byte
	// AttemptID identifies the attempt. The response must carry the same ID.
	AttemptID string
}

// Response is a complete response.
type Response struct {
	// Status is the HTTP status code.
	Status int `json:"status"`
	// ContentType is the media type of the body.
	ContentType string `json:"content_type"`
	// Body is the complete body.
	Body []byte `json:"body"`
}

// OpenResponse is a response of which not all need have been read. Close must be called.
type OpenResponse struct {
	// Response is the head, and the body as far as it is held.
	Response
	// IsWhole is true if the body is held whole.
	IsWhole bool
	// Length is the length of the whole body, or negative if it is not known.
	Length int64

	source io.ReadCloser
}

// Reader returns a reader of the whole body, which reads what is not held from the server.
func (r OpenResponse) Reader() io.Reader {
	return io.MultiReader(bytes.NewReader(r.Body), r.source)
}

// Whole closes the response and returns it. It returns an error of kind KindNotHeld if the
// body is not held whole.
func (r OpenResponse) Whole() (Response, error) {
	defer func() { _ = r.Close() }()
	if !r.IsWhole {
		return Response{}, spokeerror.New("read response", KindNotHeld, spokehttp.ErrNotHeld)
	}
	return r.Response, nil
}

// Close closes the connection to the server unless the body has been read whole.
func (r OpenResponse) Close() error { return r.source.Close() }

// SealRequest asks for the outcome of an attempt and prevents the attempt from
// running later if it has not run yet.
type SealRequest struct {
	// AttemptID identifies the attempt.
	AttemptID string `json:"attempt"`
}

// AttemptReport is the outcome of an attempt.
type AttemptReport struct {
	// AttemptID identifies the attempt.
	AttemptID string `json:"attempt"`
	// Server is the name of the server that reports.
	Server string `json:"server"`
	// Generation is the run of the server, as in the list of instances.
	Generation int64 `json:"generation"`
	// Started is true if the attempt has started.
	Started bool `json:"ran"`
	// Finished is true if the attempt has ended.
	Finished bool `json:"finished"`
	// Response is the response to an attempt that has ended.
	Response Response `json:"answer"`
}

// Client is a client of one backend server of a plain service. Set its fields
// before the first call. It is safe for concurrent use.
type Client struct {
	// URL is the base URL of the server.
	URL string
	// HTTPClient sends the requests through a spokehttp.Transport. For requests that are
	// not idempotent, and to seal attempts, it must not reuse connections: net/http may
	// send a request again when a reused connection turns out to be closed, and a reused
	// connection may hold a late copy of an earlier response.
	HTTPClient *http.Client
	// HoldFunc asks whether a response may be held. Nil means that it may.
	HoldFunc spokehttp.HoldFunc
}

// Send sends a request once and reads the whole response. It returns an error of kind
// KindNotSent, KindOutcomeUnknown, KindWrongAttempt, KindSealed or KindNotHeld.
func (c *Client) Send(ctx context.Context, request Request) (Response, error) {
	response, err := c.Open(ctx, request)
	if err != nil {
		return Response{}, err
	}
	return response.Whole()
}

// Open sends a request once and reads the response as far as it may be held. Its errors
// are those of Send but for KindNotHeld. The connection ends with ctx.
func (c *Client) Open(ctx context.Context, request Request) (OpenResponse, error) {
	exchange := &spokehttp.Exchange{HoldFunc: c.HoldFunc}
	ctx = spokehttp.WithExchange(ctx, exchange)
	outgoing, err := http.NewRequestWithContext(ctx, request.Method, c.URL+request.Path, bytes.NewReader(request.Body))
	if err != nil {
		return OpenResponse{}, spokeerror.New("send", KindNotSent, err)
	}
	if request.ContentType != "" {
		outgoing.Header.Set("Content-Type", request.ContentType)
	}
	outgoing.Header.Set(AttemptHeader, request.AttemptID)
	spoketrace.Inject(ctx, outgoing.Header)
	response, err := c.HTTPClient.Do(outgoing)
	if err != nil {
		return OpenResponse{}, spokeerror.New("send", failureKind(err, exchange.HasConn()), err)
	}
	opened, err := c.readStart(request, response)
	if err != nil {
		_ = response.Body.Close()
	}
	return opened, err
}

// readStart reads a response as far as it may be held.
func (c *Client) readStart(request Request, response *http.Response) (OpenResponse, error) {
	body, isWhole, err := spokehttp.ReadHeld(response.Body, response.ContentLength, maxResponseBytes, c.HoldFunc)
	if err != nil {
		return OpenResponse{}, spokeerror.New("send", KindOutcomeUnknown, err)
	}
	if len(body) > maxResponseBytes {
		return OpenResponse{}, spokeerror.Newf("send", KindOutcomeUnknown, "the response is longer than %d bytes", maxResponseBytes)
	}
	checked, err := checkResponse(request, response, body)
	if err != nil {
		return OpenResponse{}, err
	}
	return OpenResponse{Response: checked, IsWhole: isWhole, Length: response.ContentLength, source: response.Body}, nil
}

// checkResponse returns the response if it belongs to the request's attempt and
// the attempt was not sealed.
func checkResponse(request Request, response *http.Response, body []byte) (Response, error) {
	if attemptID := response.Header.Get(AttemptHeader); attemptID != request.AttemptID {
		return Response{}, spokeerror.Newf("send", KindWrongAttempt, "the response carries attempt ID %q", attemptID)
	}
	if response.Header.Get(SealedHeader) != "" {
		return Response{}, spokeerror.Newf("send", KindSealed, "attempt %s is sealed", request.AttemptID)
	}
	checked := Response{
		Status:      response.StatusCode,
		ContentType: response.Header.Get("Content-Type"),
		Body:        body,
	}
	return checked, nil
}

// failureKind returns the kind of a failed round trip. After a failure on a reused
// connection, net/http may fail to connect again, so that a request that was ever given
// a connection may have been sent.
func failureKind(err error, connected bool) Kind {
	if !connected && spokehttp.KindOfFailure(err) == spokehttp.KindNotSent {
		return KindNotSent
	}
	return KindOutcomeUnknown
}

// SealAttempt asks for the outcome of an attempt. If the server reports that the
// attempt has not started, this run of it never ran it and never will. It returns an error of kind
// KindOutcomeUnknown, KindNotHeld or, if the report does not name the attempt, KindWrongAttempt.
func (c *Client) SealAttempt(ctx context.Context, attemptID string) (AttemptReport, error) {
	client := spokehttp.HoldResponses(c.HTTPClient, c.HoldFunc, sealedFactor)
	report, err := spokehttp.PostJSON[AttemptReport](ctx, client, c.URL+"/v1/attempts/seal", SealRequest{AttemptID: attemptID})
	if errors.Is(err, spokehttp.ErrNotHeld) {
		return AttemptReport{}, spokeerror.New("seal attempt", KindNotHeld, err)
	}
	if err != nil {
		return AttemptReport{}, spokeerror.New("seal attempt", KindOutcomeUnknown, err)
	}
	if report.AttemptID != attemptID {
		return AttemptReport{}, spokeerror.Newf("seal attempt", KindWrongAttempt, "the report is of attempt %q", report.AttemptID)
	}
	if report.Finished && !spokehttp.IsStatus(report.Response.Status) {
		return AttemptReport{}, spokeerror.Newf("seal attempt", KindOutcomeUnknown, "the report has the status %d", report.Response.Status)
	}
	return report, nil
}
