package spokeserve

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"

	"mulberryspoke.example/mulberryspoke/gen/plain"
	"mulberryspoke.example/mulberryspoke/gen/types"
	"mulberryspoke.example/mulberryspoke/spokebackend"
	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeconfig"
	"mulberryspoke.example/mulberryspoke/spokeerror"
	"mulberryspoke.example/mulberryspoke/spokeplain"
	"mulberryspoke.example/mulberryspoke/spokeroute"
	"mulberryspoke.example/mulberryspoke/spoketrace"
)

const plainAttempts = 4

// call is one request to a plain service, once checked.
type call struct {
	server  *Server
	visitor visitor
	request spokeplain.Request
	key     string
	avoid   []string
}

// Call implements the plain service of the API.
func (s *Server) Call(ctx context.Context, payload *plain.CallPayload, body io.ReadCloser) (*plain.CallResult, io.ReadCloser, error) {
	done := sync.OnceFunc(s.begin())
	defer done()
	answer, refused := s.call(ctx, payload, body)
	if refused != nil {
		s.countRefused(payload.Service, refused)
		return nil, nil, refused
	}
	s.Counters.answered(payload.Service)
	setStatus(ctx, answer.Status)
	return &plain.CallResult{ContentType: answer.ContentType}, io.NopCloser(bytes.NewReader(answer.Body)), nil
}

func (s *Server) call(ctx context.Context, payload *plain.CallPayload, body io.Reader) (spokeplain.Answer, *types.Refusal) {
	incoming := incomingFrom(ctx)
	content, refused := s.readBody(body)
	if refused != nil {
		return spokeplain.Answer{}, refused
	}
	v, refused := s.check(payload.Authorization, payload.Service, spokeconfig.ServicePlain)
	if refused != nil {
		return spokeplain.Answer{}, refused
	}
	target, clean := incoming.pathWithin(payload.Path)
	if !clean {
		return spokeplain.Answer{}, refuse(KindMalformed, retrySlow, "the path has empty, . or .. segments")
	}
	if refused := s.limit(v, 0); refused != nil {
		return spokeplain.Answer{}, refused
	}
	defer s.limiter.End(v.workspace.Name)
	ctx, span := spoketrace.Begin(ctx, "entry plain")
	c := &call{server: s, visitor: v, request: spokeplain.Request{
		Method:      incoming.method,
		Path:        target,
		ContentType: incoming.contentType,
		Body:        content,
	}}
	if payload.IdempotencyKey != nil {
		c.key = *payload.IdempotencyKey
	}
	answer, refused := c.run(ctx, payload.Path)
	if refused != nil {
		span.End(refused)
		return answer, refused
	}
	span.End(nil)
	return answer, nil
}

// run sends the request the way its route asks for.
func (c *call) run(ctx context.Context, path string) (spokeplain.Answer, *types.Refusal) {
	timeout := c.visitor.service.Timeout.Duration()
	idempotent := c.visitor.service.Idempotent(c.request.Method, "/"+path)
	if idempotent || c.server.Switches.NoClaims {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		return c.repeatable(ctx)
	}
	// The outcome has to be recorded even when the caller goes away.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	defer cancel()
	return c.once(ctx)
}

// repeatable tries servers until one answers, within the retry budget.
func (c *call) repeatable(ctx context.Context) (spokeplain.Answer, *types.Refusal) {
	budget := &c.server.desk(c.visitor.service).budget
	budget.Request()
	for range plainAttempts {
		work, refused := c.reserve(ctx)
		if refused != nil {
			return spokeplain.Answer{}, refused
		}
		answer, err := c.send(ctx, work, newAttempt(), c.server.Client)
		if err == nil {
			return answer, nil
		}
		c.avoid = append(c.avoid, work.Instance().Name)
		if ctx.Err() != nil {
			return spokeplain.Answer{}, unsure(KindTimeout, retrySoon, "the request ran out of time")
		}
		if !budget.Allow() {
			break
		}
	}
	return spokeplain.Answer{}, unsure(KindServerFailed, retrySoon, "backend servers failed")
}

// reserve chooses a server and counts the request there, waiting a while for
// one to be live.
func (c *call) reserve(ctx context.Context) (*spokebackend.Work, *types.Refusal) {
	until := c.server.Clock.Now() + pickPatience
	for {
		decision := c.server.choose(c.visitor, spokeroute.Request{Avoid: c.avoid}, "")
		if decision.Server() != "" {
			work, begun := c.server.Registry.Begin(decision.Server(), false, func(spokebackend.Departure) {})
			if begun {
				return work, nil
			}
		}
		if spokeclock.Sleep(ctx, pickPause) != nil || c.server.Clock.Now() > until {
			return nil, refuse(KindNoServer, retrySoon, "no backend server is live")
		}
	}
}

// send runs the request once on a server and ends the work with a verdict.
func (c *call) send(ctx context.Context, work *spokebackend.Work, attempt string, client *http.Client) (spokeplain.Answer, error) {
	ctx, span := spoketrace.Begin(ctx, "backend server call")
	span.Note("server", work.Instance().Name)
	request := c.request
	request.Attempt = attempt
	server := spokeplain.Server{URL: "http://" + work.Instance().Address, Client: client}
	answer, err := server.Send(ctx, request)
	span.End(err)
	switch spokeerror.KindOf[spokeplain.Kind](err) {
	case "":
		work.Succeed()
	case spokeplain.KindCrossed:
		c.server.Counters.foreign.Inc()
		work.Leave()
	case spokeplain.KindSealed:
		work.Leave()
	default:
		work.Fail()
	}
	return answer, err
}
