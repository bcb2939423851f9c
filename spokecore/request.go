package spokecore

import (
	"context"
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
	// Revision is the configuration that the three above are from.
	Revision spokeconfig.Revision
	// Deadline is when the caller or the route gives it up.
	Deadline spokeclock.Millis
	// PromptTokens and AnswerTokens are what the caller declares. Zero means
	// that it does not.
	PromptTokens int
	AnswerTokens int
	// PromptParts are the parts of the prompt, in order.
	PromptParts []PromptPart
	// LastEventID is the event behind which a resumed stream goes on, or empty.
	LastEventID string
	// SilenceLimits bounds how long a backend server may be silent.
	SilenceLimits SilenceLimits
}

// PromptPart is a part of a prompt that other prompts may share.
type PromptPart struct {
	// Key identifies the part's content.
	Key string
	// Tokens is its length. Zero means that it is not known.
	Tokens int
}

// SilenceLimits tells when a silent backend server has failed. What is zero follows
// from the targets of the route; without those, servers are not watched.
type SilenceLimits struct {
	// FirstEvent is the longest silence before the answer begins.
	FirstEvent spokeclock.Millis
	// EventGap is the longest silence between two events.
	EventGap spokeclock.Millis
	// SlowGap is the silence between two events from which the server counts as
	// slowed down. Zero means that only a failed one does.
	SlowGap spokeclock.Millis
}

// longPrompt is the prompt length from which a request counts as long beside
// others: its reading delays their tokens.
const longPrompt = 4096

// long reports whether the request holds others up.
func (r *Request) long() bool {
	return r.PromptTokens >= longPrompt || r.ExpectsLongAnswer()
}

// ExpectsLongAnswer reports whether a long answer is expected, by the service's own
// measure.
func (r *Request) ExpectsLongAnswer() bool {
	return r.AnswerTokens > 0 && r.AnswerTokens >= r.Service.LongAnswerTokens
}

// shared returns the length and the key of the beginning that the prompt shares
// with others. The last part is the request's own.
func (r *Request) shared() (tokens int, key uint64) {
	if len(r.PromptParts) < 2 {
		return 0, 0
	}
	names := make([]string, 0, len(r.PromptParts))
	for _, part := range r.PromptParts[:len(r.PromptParts)-1] {
		tokens += part.Tokens
		names = append(names, part.Key)
	}
	return tokens, spokeroute.PrefixKey(names...)
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
	// MovedFrom is the server that the answer was moved away from, and which still
	// holds its KV cache. Its name is empty when there is none.
	MovedFrom spokecloud.Instance
	// TimeLeft is the time until its deadline.
	TimeLeft spokeclock.Millis
	// Urgency orders it within an engine, 0 first.
	Urgency int
	// LastEventID is the event behind which a stream goes on, or empty.
	LastEventID string
}

// Response is the head of a backend server's answer, and its body.
type Response struct {
	// ServerFailed says that the server reports a failure of its own.
	ServerFailed bool
	// Replayed says that the answer was made before and that the server had no
	// part in it.
	Replayed bool
	// Head is what the front wants to hand on. The core passes it through.
	Head any
	// EventsFunc passes on the events of a series as they come. It returns nil at
	// the end of a whole one, and the error of take when that fails. Nil means
	// that the answer is no series of events.
	EventsFunc func(take func(Event) error) error
	// Body is the body of an answer that is no series. A body that ends early
	// returns an error.
	Body io.ReadCloser
	// Load is the server's load as the answer tells it, or nil.
	Load *spokeengine.Load
}

// Event is one whole event of an answer.
type Event struct {
	// ID is the identity behind which the answer may go on. It is empty when the
	// event has none.
	ID string
	// Raw is what is handed on.
	Raw []byte
}

// Callbacks is the front's side of one request. Its functions are called from
// one goroutine.
type Callbacks struct {
	// SendAttemptFunc sends an attempt and returns the head of its answer. Errors of
	// the kinds KindNotSent, KindNotRun, KindNoAnswer and KindSpoiled let the
	// core go on as the request allows. One of any other kind, after which
	// nothing was sent, ends the request with that kind.
	SendAttemptFunc func(ctx context.Context, attempt Attempt) (*Response, error)
	// WriteHeadFunc hands on the head of the answer, before any of its body. Length
	// is the length of the whole body, or -1 while it is not known.
	WriteHeadFunc func(reply *Response, length int64)
	// WriteBodyFunc hands on a part of the body at once.
	WriteBodyFunc func(part []byte) error
}
