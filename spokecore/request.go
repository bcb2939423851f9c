package spokecore

import (
	"bytes"
	"context"
	"io"
	"strconv"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokecloud"
	"mulberryspoke.example/mulberryspoke/spokeconfig"
	"mulberryspoke.example/mulberryspoke/spokeengine"
	"mulberryspoke.example/mulberryspoke/spokeroute"
)

// Request is one caller's request. It is validated and its body is complete.
type Request struct {
	// ID is the request ID that the caller chose.
	ID string
	// Route is the route that the request matched.
	Route *spokeconfig.CallerRoute
	// Service is the service that the request goes to.
	Service *spokeconfig.Service
	// Workspace is the caller's workspace. It is nil for a request without a key.
	Workspace *spokeconfig.Workspace
	// Revision is the configuration revision of Route, Service and Workspace.
	Revision spokeconfig.Revision
	// Deadline is the time at which the request times out.
	Deadline spokeclock.Millis
	// CallerDeadline is the time until which the caller may resume a stream, which may be
	// later than Deadline. Zero means the same.
	CallerDeadline spokeclock.Millis
	// PromptTokens and AnswerTokens are the lengths that the caller declares.
	// Zero means unknown.
	PromptTokens int
	AnswerTokens int
	// BodyBytes is the size of the request's body. Zero means unknown.
	BodyBytes int
	// ContentKey identifies what is requested: requests with the same path, caller and
	// body have the same key. Empty means unknown.
	ContentKey string
	// PromptParts are the parts of the prompt, in order.
	PromptParts []PromptPart
	// LastEventID is the ID of the event after which to resume a stream. It is
	// empty for a new stream.
	LastEventID string
	// ResumedID is the ID of the request that brought the stream's first event, if the
	// caller resumes a stream. It is empty if the caller doesn't tell.
	ResumedID string
	// OnEndFunc registers what ends the attempts of the request when the process is about
	// to end, and returns a function that removes it again. Nil means that nothing ends
	// them before the deadline.
	OnEndFunc func(endFunc func()) (removeFunc func() bool)
	// SilenceLimits bound how long a backend server may be silent.
	SilenceLimits SilenceLimits
}

// PromptPart is a part of a prompt that other prompts may share.
type PromptPart struct {
	// Key identifies the content of the part.
	Key string
	// Tokens is the length of the part. Zero means unknown.
	Tokens int
}

// SilenceLimits are the times after which a silent backend server counts as slow
// or failed. A zero FirstEvent or EventGap is derived from the targets of the
// route. Without a limit for the first event, the server is not watched.
type SilenceLimits struct {
	// FirstEvent is the longest silence before the answer starts.
	FirstEvent spokeclock.Millis
	// EventGap is the longest silence between two events.
	EventGap spokeclock.Millis
	// SlowGap is the silence between two events from which the server counts as
	// slowed down. Zero means that only EventGap applies.
	SlowGap spokeclock.Millis
}

// longPromptTokens is the prompt length from which a request counts as long, as
// its prefill delays the tokens of other requests on the server.
const longPromptTokens = 4096

// isLong reports whether the request is expected to delay others on its server.
func (r *Request) isLong() bool {
	return r.PromptTokens >= longPromptTokens || r.ExpectsLongAnswer()
}

// ExpectsLongAnswer reports whether the declared answer length reaches the
// service's threshold for long answers.
func (r *Request) ExpectsLongAnswer() bool {
	return r.AnswerTokens > 0 && r.AnswerTokens >= r.Service.LongAnswerTokens
}

// sharedPrefix returns the length and the key of the prefix that the prompt
// shares with others: all parts except the last, which is the request's own.
func (r *Request) sharedPrefix() (tokens int, key uint64) {
	shared := r.sharedParts()
	if len(shared) == 0 {
		return 0, 0
	}
	for _, part := range shared {
		tokens += part.Tokens
	}
	return tokens, spokeroute.PrefixKey(r.sharedPartKeys()...)
}

// sharedParts returns the parts that other prompts may share: all except the last.
func (r *Request) sharedParts() []PromptPart {
	return r.PromptParts[:max(0, len(r.PromptParts)-1)]
}

func (r *Request) sharedPartKeys() []string {
	keys := make([]string, 0, len(r.PromptParts))
	for _, part := range r.sharedParts() {
		keys = append(keys, part.Key)
	}
	return keys
}

// allotmentCost returns what the request costs of its workspace's allotment.
func (r *Request) allotmentCost() float64 {
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

// isRepeatable reports whether the request may run more than once.
func (r *Request) isRepeatable() bool {
	return r.Route.Kind == spokeconfig.RouteIdempotent || r.isResumable()
}

func (r *Request) isResumable() bool {
	return r.Route.Kind == spokeconfig.RouteStream && r.Route.Resumable
}

func (r *Request) maxAttempts() int {
	return max(1, r.Route.MaxAttempts)
}

// routePriorities is the number of route priorities within each workspace
// priority.
const routePriorities = 3

// urgency returns the order of the request within an engine, 0 first: by
// workspace, then by route.
func (r *Request) urgency() int {
	urgency := min(r.Route.Priority, routePriorities-1)
	if r.Workspace != nil {
		urgency += routePriorities * r.Workspace.EngineRank
	}
	return min(urgency, leastUrgent)
}

const leastUrgent = 9

// Attempt is one attempt to run a request on a backend server.
type Attempt struct {
	// Server is the backend server to send the attempt to.
	Server spokecloud.Instance
	// MovedFrom is the server that the answer was moved from, which still holds
	// its KV cache. Its name is empty if the answer was not moved.
	MovedFrom spokecloud.Instance
	// TimeLeft is the time until the deadline of the request.
	TimeLeft spokeclock.Millis
	// Urgency is the order of the attempt within an engine, 0 first.
	Urgency int
	// LastEventID is the ID of the event after which to resume a stream, or
	// empty.
	LastEventID string
	// IsResent is true if an earlier attempt of the request was sent to the server's
	// address.
	IsResent bool
}

// Response is the head of a backend server's answer, with access to its body.
type Response struct {
	// ServerFailed is true if the server reports a failure of its own.
	ServerFailed bool
	// Replayed is true if the answer was recorded by an earlier request, so that
	// the server had no part in it.
	Replayed bool
	// Head is the head of the answer for the front's own use. The core passes it
	// to WriteHeadFunc unchanged.
	Head any
	// EventsFunc calls handle with each event as it arrives. It returns nil at
	// the end of a complete stream, and the error of handle if there is one. It
	// is nil if the answer is not an event stream.
	EventsFunc func(handle func(Event) error) error
	// Body is the body of an answer that is not an event stream. Reading a
	// truncated body returns an error other than io.EOF.
	Body io.ReadCloser
	// EndsWithConnection is true if the answer has neither a length nor chunks, so
	// that it ends where its connection does.
	EndsWithConnection bool
	// Load is the server's load as reported in the answer, or nil.
	Load *spokeengine.Load
}

// Event is one complete event of an answer.
type Event struct {
	// ID is the ID after which the stream can be resumed. It is empty if the
	// event has none, so that the stream can't be resumed until the next one has.
	ID string
	// Raw is the text of the event as it is forwarded.
	Raw []byte
}

// isComment reports whether the event has only comment lines, which must not make
// a stalled stream look alive.
func (e Event) isComment() bool {
	if e.ID != "" {
		return false
	}
	for line := range bytes.Lines(e.Raw) {
		if text := bytes.TrimRight(line, "\r\n"); len(text) > 0 && text[0] != ':' {
			return false
		}
	}
	return true
}

// follows reports whether the event may come after the one with the given ID in a
// stream, whose IDs increase. IDs that are no whole numbers can't be ordered.
func (e Event) follows(lastID string) bool {
	if e.ID == "" || lastID == "" {
		return true
	}
	id, err := strconv.ParseUint(e.ID, 10, 64)
	last, lastErr := strconv.ParseUint(lastID, 10, 64)
	if err != nil || lastErr != nil {
		return e.ID != lastID
	}
	return id > last
}

// Callbacks connect the core to the front for one request. They are called from
// one goroutine.
type Callbacks struct {
	// SendAttemptFunc sends an attempt and returns the head of its answer. After
	// an error of kind KindNotSent, KindNotRun, KindNoAnswer or KindInvalidAnswer
	// the core tries another server if the request allows it. An error of any
	// other kind means that nothing was sent, and ends the request with that
	// kind. After one without a kind the request may have run, and is not tried again.
	SendAttemptFunc func(ctx context.Context, attempt Attempt) (*Response, error)
	// WriteHeadFunc writes the head of the answer to the caller, before any of
	// its body. Length is the length of the body in bytes, or -1 if unknown.
	WriteHeadFunc func(response *Response, length int64)
	// WriteBodyFunc writes a part of the body to the caller without delay.
	WriteBodyFunc func(part []byte) error
	// HoldFunc asks whether a number of bytes more may be held until the request ends. If
	// not, an answer is forwarded before it is complete. Nil means that they may.
	HoldFunc func(bytes int) bool
}
