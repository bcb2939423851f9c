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
	"mulberryspoke.example/mulberryspoke/spokeplain"
	"mulberryspoke.example/mulberryspoke/spoketrace"
)

// plainAttempts is how many servers may run an idempotent request: two that
// fail together, and one more failure in their wake.
const plainAttempts = 4

// call is one request to a plain service, once checked.
type call struct {
	server  *Server
	access  access
	asked   *spokecore.Request
	request spokeplain.Request
	// answer is what the core handed on.
	answer spokeplain.Response
	claim  claimState
}

// Call implements the plain service of the API.
func (s *Server) Call(ctx context.Context, payload *plain.CallPayload, body io.ReadCloser) (*plain.CallResult, io.ReadCloser, error) {
	done := sync.OnceFunc(s.begin())
	defer done()
	c, refused := s.newCall(ctx, payload, body)
	if refused != nil {
		s.countRefused(payload.Service, refused)
		return nil, nil, refused
	}
	if refused := c.run(ctx, "/"+payload.Path); refused != nil {
		return nil, nil, refused
	}
	setStatus(ctx, c.answer.Status)
	return &plain.CallResult{ContentType: c.answer.ContentType}, io.NopCloser(bytes.NewReader(c.answer.Body)), nil
}

// newCall reads and checks a request.
func (s *Server) newCall(ctx context.Context, payload *plain.CallPayload, body io.Reader) (*call, *types.Refusal) {
	incoming := incomingFrom(ctx)
	content, refused := s.readBody(body)
	if refused != nil {
		return nil, refused
	}
	a, refused := s.check(payload.Authorization, payload.Service, spokeconfig.ServicePlain)
	if refused != nil {
		return nil, refused
	}
	target, clean := incoming.pathWithin(payload.Path)
	if !clean {
		return nil, refuse(KindMalformedRequest, retrySlow, "the path has empty, . or .. segments")
	}
	c := &call{server: s, access: a, request: spokeplain.Request{
		Method:      incoming.method,
		Path:        target,
		ContentType: incoming.contentType,
		Body:        content,
	}}
	if payload.IdempotencyKey != nil {
		c.claim.key = *payload.IdempotencyKey
	}
	return c, nil
}

// run sends the request the way its route asks for.
func (c *call) run(ctx context.Context, path string) *types.Refusal {
	service := c.access.service
	route := &spokeconfig.CallerRoute{Name: service.Name, Kind: spokeconfig.RouteAtMostOnce, MaxAttempts: 1}
	send := c.sendClaimed
	if service.Idempotent(c.request.Method, path) || c.server.Switches.DisableClaims {
		route.Kind, route.MaxAttempts = spokeconfig.RouteIdempotent, plainAttempts
		send = c.sendFree
	} else {
		// The outcome has to be recorded even when the caller goes away.
		ctx = context.WithoutCancel(ctx)
	}
	c.asked = c.access.request(newAttempt(), route, c.server.Clock.Now()+service.Timeout)
	err := c.server.Core.Serve(ctx, c.asked, spokecore.Callbacks{
		SendAttemptFunc: send,
		WriteHeadFunc: func(reply *spokecore.Response, _ int64) {
			c.answer = reply.Head.(spokeplain.Response)
		},
		WriteBodyFunc: func([]byte) error { return nil },
	})
	c.releaseUnsent()
	return c.refusalOf(err)
}

// refusalOf returns the answer to a request that got none.
func (c *call) refusalOf(err error) *types.Refusal {
	var refusal *spokecore.Refusal
	if !errors.As(err, &refusal) {
		return nil
	}
	if c.claim.refused != nil {
		return c.claim.refused
	}
	kind, message := describe(refusal)
	after := max(retrySoon, refusal.RetryAfter())
	switch {
	case !refusal.NotRun():
		return unsure(kind, after, message)
	case c.asked.Route.Kind == spokeconfig.RouteAtMostOnce && !c.claim.made:
		return refuseAttempt(kind, after, message)
	default:
		return refuse(kind, after, message)
	}
}

// sendFree sends a request that may run more than once.
func (c *call) sendFree(ctx context.Context, attempt spokecore.Attempt) (*spokecore.Response, error) {
	answer, err := c.send(ctx, attempt, newAttempt(), c.server.Client)
	if err != nil {
		return nil, spokeerror.New("send attempt", attemptKind(err), err)
	}
	return replyOf(answer), nil
}

func replyOf(answer spokeplain.Response) *spokecore.Response {
	return &spokecore.Response{Head: answer, Body: io.NopCloser(bytes.NewReader(answer.Body))}
}

// attemptKind returns what a failure to send means to the core.
func attemptKind(err error) spokecore.Kind {
	switch spokeerror.KindOf[spokeplain.Kind](err) {
	case spokeplain.KindNotSent:
		return spokecore.KindNotSent
	case spokeplain.KindWrongAttempt:
		return spokecore.KindInvalidAnswer
	default:
		return spokecore.KindNoAnswer
	}
}

// send runs the request once on a server.
func (c *call) send(ctx context.Context, attempt spokecore.Attempt, id string, client *http.Client) (spokeplain.Response, error) {
	ctx, span := spoketrace.StartSpan(ctx, "backend server call")
	span.SetAttribute("server", attempt.Server.Name)
	request := c.request
	request.AttemptID = id
	server := spokeplain.Client{URL: "http://" + attempt.Server.Address, HTTPClient: client}
	answer, err := server.Send(ctx, request)
	span.End(err)
	if spokeerror.KindOf[spokeplain.Kind](err) == spokeplain.KindWrongAttempt {
		c.server.Counters.foreign.Inc()
	}
	return answer, err
}
