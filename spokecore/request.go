package spokecore

import (
	"io"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokecloud"
	"mulberryspoke.example/mulberryspoke/spokeconfig"
	"mulberryspoke.example/mulberryspoke/spokeengine"
	"mulberryspoke.example/mulberryspoke/spokeroute"
)

// Request is one caller's request, checked and read whole.
type Request struct {
	// ID is the caller's identity for it.
	ID string
	// Route tells how it is served.
	Route *spokeconfig.CallerRoute
	// Service is the service that it goes to.
	Service *spokeconfig.Service
	// Workspace is who asks. Nil means a request without a key.
	Workspace *spokeconfig.Workspace
	// Deadline is when the caller or the route gives it up.
	Deadline spokeclock.Millis
	// PromptTokens and AnswerTokens are what the caller declares.
	PromptTokens int
	AnswerTokens int
	// Parts are the parts of the prompt, in order.
	Parts []Part
	// LastEvent is the event behind which a resumed stream goes on, or empty.
	LastEvent string
}

// Part is a part of a prompt that other prompts may share.
type Part struct {
	// Key identifies the part's content.
	Key string
	// Tokens is its length.
	Tokens int
}

// longPrompt is the prompt length from which a request counts as long beside
// others: its reading delays their tokens.
const longPrompt = 4096

// shared returns the length and the key of the beginning that the prompt shares
// with others. The last part is the request's own.
func (r *Request) shared() (tokens int, key uint64) {
	if len(r.Parts) < 2 {
		return 0, 0
	}
	names := make([]string, 0, len(r.Parts))
	for _, part := range r.Parts[:len(r.Parts)-1] {
		tokens += part.Tokens
		names = append(names, part.Key)
	}
	return tokens, spokeroute.Hash(names...)
}

// cost is what the request counts against its workspace's allotment.
func (r *Request) cost() float64 {
	if r.Workspace == nil || r.Workspace.Allotment == nil {
		return 0
	}
	return r.Workspace.Allotment.Cost(r.PromptTokens + r.AnswerTokens)
}

func (r *Request) workspaceName() string {
	if r.Workspace == nil {
		return ""
	}
	return r.Workspace.Name
}

// repeatable reports whether the request may run more than once.
func (r *Request) repeatable() bool {
	return r.Route.Kind == spokeconfig.RouteIdempotent || r.resumable()
}

func (r *Request) resumable() bool {
	return r.Route.Kind == spokeconfig.RouteStream && r.Route.Resumable
}

func (r *Request) maxAttempts() int {
	return max(1, r.Route.MaxAttempts)
}

// urgencyStep is the number of route priorities within each workspace priority.
const urgencyStep = 3

// urgency orders requests within an engine, 0 first: by workspace, then by
// route.
func (r *Request) urgency() int {
	urgency := min(r.Route.Priority, urgencyStep-1)
	if r.Workspace != nil {
		urgency += urgencyStep * r.Workspace.Rank
	}
	return min(urgency, leastUrgent)
}

const leastUrgent = 9

// Attempt is one try of a request at one backend server.
type Attempt struct {
	// Server is where it goes.
	Server spokecloud.Instance
	// Left is the time until its deadline.
	Left spokeclock.Millis
	// Urgency orders it within an engine, 0 first.
	Urgency int
	// LastEvent is the event behind which a stream goes on, or empty.
	LastEvent string
}

// Reply is the head of a backend server's answer, and its body.
type Reply struct {
	// Failed says that the server reports a failure of its own.
	Failed bool
	// Events says that the body is a series of events.
	Events bool
	// Head is what the front wants to hand on. The core passes it through.
	Head any
	// Body is the body. A body that ends early returns an error.
	Body io.ReadCloser
	// Load is the server's load as the answer tells it, or nil.
	Load *spokeengine.Load
}

// Exchange is the front's side of one request. Its functions are called from
// one goroutine.
type Exchange struct {
	// BeginFunc hands on the head of the answer, before any of its body. Length
	// is the length of the whole body, or -1 while it is not known.
	BeginFunc func(reply *Reply, length int64)
	// WriteFunc hands on a part of the body at once.
	WriteFunc func(part []byte) error
}
