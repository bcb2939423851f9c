package spokeserve

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"sync"

	"mulberryspoke.example/mulberryspoke/gen/plain"
	"mulberryspoke.example/mulberryspoke/gen/types"
	"mulberryspoke.example/mulberryspoke/spokeconfig"
	"mulberryspoke.example/mulberryspoke/spokecore"
	"mulberryspoke.example/mulberryspoke/spokeerror"
	"mulberryspoke.example/mulberryspoke/spokehttp"
	"mulberryspoke.example/mulberryspoke/spokeplain"
	"mulberryspoke.example/mulberryspoke/spoketrace"
)

// maxIdempotentAttempts is the number of servers that may run an idempotent
// request. It allows for two servers that fail together and for one further failure
// after them.
const maxIdempotentAttempts = 4

// call is an authorised request to a plain service.
type call struct {
	server      *Server
	access      access
	coreRequest *spokecore.Request
	request     spokeplain.Request
	// response is the response that the core forwarded.
	response spokeplain.Response
	claim    claimState
	details  *requestDetails
	// holdFunc charges the bytes of the answer to the request's reservation.
	holdFunc spokehttp.HoldFunc
}

// Call implements the plain service of the API.
func (s *Server) Call(ctx context.Context, payload *plain.CallPayload, body io.ReadCloser) (*plain.CallResult, io.ReadCloser, error) {
	done := sync.OnceFunc(s.countActiveRequest())
	defer done()
	c, refusal := s.newCall(ctx, payload, body)
	if refusal != nil {
		s.countRefusal(payload.Service, refusal)
		return nil, nil, refusal
	}
	refusal = c.serve(ctx, "/"+payload.Path)
	if c.details.isForwarded {
		c.details.endForwarding(refusal == nil)
		return &plain.CallResult{}, http.NoBody, nil
	}
	if refusal != nil {
		return nil, nil, refusal
	}
	setStatus(ctx, c.response.Status)
	return &plain.CallResult{ContentType: c.response.ContentType}, io.NopCloser(bytes.NewReader(c.response.Body)), nil
}

// newCall reads and authorises a request.
func (s *Server) newCall(ctx context.Context, payload *plain.CallPayload, body io.Reader) (*call, *types.Refusal) {
	details := requestDetailsFrom(ctx)
	content, refusal := s.readBody(ctx, payload.Authorization, body, plainCopies)
	if refusal != nil {
		return nil, refusal
	}
	a, refusal := s.authorise(payload.Authorization, payload.Service, spokeconfig.ServicePlain)
	if refusal != nil {
		return nil, refusal
	}
	target, valid := details.forwardedPath(payload.Path)
	if !valid {
		return nil, refuse(KindMalformedRequest, longRetryAfter, "the path has empty, . or .. segments")
	}
	c := &call{server: s, access: a, details: details, holdFunc: details.reservation.HoldAnswer, request: spokeplain.Request{
		Method:      details.method,
		Path:        target,
		ContentType: details.contentType,
		Body:        content,
	}}
	if payload.IdempotencyKey != nil {
		c.claim.key = *payload.IdempotencyKey
	}
	return c, nil
}

// serve sends the request: at most once under a claim, or with retries if its route
// is idempotent.
func (c *call) serve(ctx context.Context, path string) *types.Refusal {
	service := c.access.service
	route := &spokeconfig.CallerRoute{Name: service.Name, Kind: spokeconfig.RouteAtMostOnce, MaxAttempts: 1}
	send := c.sendClaimed
	if service.Idempotent(c.request.Method, path) || c.server.Switches.DisableClaims {
		route.Kind, route.MaxAttempts = spokeconfig.RouteIdempotent, maxIdempotentAttempts
		send = c.sendIdempotent
	} else {
		// The outcome must be recorded even if the caller closes the connection.
		ctx = context.WithoutCancel(ctx)
	}
	c.coreRequest = c.access.request(newID(), route, c.server.Clock.Now()+service.Timeout)
	err := c.server.Core.Serve(ctx, c.coreRequest, spokecore.Callbacks{
		SendAttemptFunc: send,
		WriteHeadFunc:   c.writeHead,
		WriteBodyFunc:   c.writePart,
		HoldFunc:        c.holdFunc,
	})
	c.releaseUnsent()
	return c.refusalFor(err)
}

// writeHead keeps a whole response for the end of the request, and begins to forward one
// that did not fit.
func (c *call) writeHead(response *spokecore.Response, _ int64) {
	if opened, isOpen := response.Head.(spokeplain.OpenResponse); isOpen {
		c.details.beginForwarding(opened)
		return
	}
	c.response = response.Head.(spokeplain.Response)
}

// writePart forwards a part of a response that did not fit.
func (c *call) writePart(part []byte) error {
	if !c.details.isForwarded {
		return nil
	}
	return c.details.forward(part, c.coreRequest.Deadline-c.server.Clock.Now())
}

// refusalFor returns the refusal of a request that the core could not complete.
func (c *call) refusalFor(err error) *types.Refusal {
	var refusal *spokecore.Refusal
	if !errors.As(err, &refusal) {
		return nil
	}
	if c.claim.refusal != nil {
		return c.claim.refusal
	}
	kind, message := describeRefusal(refusal)
	retryAfter := max(shortRetryAfter, refusal.RetryAfter())
	switch {
	case !refusal.NotRun():
		return refuseOutcomeUnknown(kind, retryAfter, message)
	case c.coreRequest.Route.Kind == spokeconfig.RouteAtMostOnce && !c.claim.keyClaimed:
		return refuseAttempt(kind, retryAfter, message)
	default:
		return refuse(kind, retryAfter, message)
	}
}

// sendIdempotent sends a request that may run more than once.
func (c *call) sendIdempotent(ctx context.Context, attempt spokecore.Attempt) (*spokecore.Response, error) {
	response, err := c.open(ctx, attempt, newID(), c.server.Client)
	if err != nil {
		return nil, spokeerror.New("send attempt", coreKind(err), err)
	}
	if response.IsWhole {
		whole, err := response.Whole()
		return newResponse(whole), err
	}
	return &spokecore.Response{Head: response, Body: openBody{Reader: response.Reader(), Closer: response}}, nil
}

// openBody is the body of a response that has not been read whole.
type openBody struct {
	io.Reader
	io.Closer
}

func newResponse(response spokeplain.Response) *spokecore.Response {
	return &spokecore.Response{Head: response, Body: io.NopCloser(bytes.NewReader(response.Body))}
}

// coreKind returns the core's error kind for a failure to send.
func coreKind(err error) spokecore.Kind {
	switch spokeerror.KindOf[spokeplain.Kind](err) {
	case spokeplain.KindNotSent:
		return spokecore.KindNotSent
	case spokeplain.KindWrongAttempt:
		return spokecore.KindInvalidAnswer
	default:
		return spokecore.KindNoAnswer
	}
}

// send sends the request once to a server and reads the whole response.
func (c *call) send(ctx context.Context, attempt spokecore.Attempt, attemptID string, client *http.Client) (spokeplain.Response, error) {
	response, err := c.open(ctx, attempt, attemptID, client)
	if err != nil {
		return spokeplain.Response{}, err
	}
	return response.Whole()
}

// open sends the request once to a server and reads the response as far as it may be held.
func (c *call) open(ctx context.Context, attempt spokecore.Attempt, attemptID string, client *http.Client) (spokeplain.OpenResponse, error) {
	ctx, span := spoketrace.StartSpan(ctx, "backend server call")
	span.SetAttribute("server", attempt.Server.Name)
	request := c.request
	request.AttemptID = attemptID
	server := spokeplain.Client{URL: "http://" + attempt.Server.Address, HTTPClient: client, HoldFunc: c.holdFunc}
	response, err := server.Open(ctx, request)
	span.End(err)
	if spokeerror.KindOf[spokeplain.Kind](err) == spokeplain.KindWrongAttempt {
		c.server.Counters.foreignEvents.Inc()
	}
	return response, err
}
