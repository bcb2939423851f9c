package spokeserve

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"mulberryspoke.example/mulberryspoke/gen/chat"
	"mulberryspoke.example/mulberryspoke/gen/types"
	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeconfig"
	"mulberryspoke.example/mulberryspoke/spokecore"
	"mulberryspoke.example/mulberryspoke/spokeengine"
	"mulberryspoke.example/mulberryspoke/spokeerror"
	"mulberryspoke.example/mulberryspoke/spokememory"
)

const (
	// maxModelAttempts is the number of servers that may run parts of one answer.
	// It allows for several waves of reclaimed instances within the timeout.
	maxModelAttempts = 12

	// The silence limits are multiples of the service's targets. The minimums keep
	// a usual pause of a server's process or network from reaching the limits.
	firstEventFactor   = 2
	minFirstEventLimit = 3 * spokeclock.Second
	eventGapFactor     = 10
	minEventGapLimit   = spokeclock.Second
	slowGapFactor      = 3
	minSlowGapLimit    = 50 * spokeclock.Millis(1)

	// defaultAnswerTokens and maxAnswerTokens are the default and the largest
	// length limit of an answer.
	defaultAnswerTokens = 128
	maxAnswerTokens     = 32768

	// chatCopies and plainCopies are the copies of a body that are held beside it: in one
	// piece, and of a conversation also decoded and as the engine's request.
	chatCopies  = 3
	plainCopies = 1

	contentTypeJSON   = "application/json"
	contentTypeEvents = "text/event-stream"

	// shortAnswerPriority and longAnswerPriority order requests within an engine.
	// They are multiplied by workspacePriorities, so that the priority of a
	// workspace never outweighs the expected length of the answer.
	shortAnswerPriority = 8
	longAnswerPriority  = 2
)

// chatRequest is the request of a model client. Unknown fields are ignored,
// because model clients send many.
type chatRequest struct {
	Model               string                `json:"model"`
	Messages            []spokeengine.Message `json:"messages"`
	MaxTokens           int                   `json:"max_tokens"`
	MaxCompletionTokens int                   `json:"max_completion_tokens"`
	Stream              bool                  `json:"stream"`
}

// Complete implements the chat service of the API.
func (s *Server) Complete(ctx context.Context, payload *chat.CompletePayload, body io.ReadCloser) (*chat.CompleteResult, io.ReadCloser, error) {
	done := sync.OnceFunc(s.countActiveRequest())
	request, refusal := s.readChatRequest(ctx, payload.Authorization, body)
	if refusal != nil {
		done()
		s.countRefusal("", refusal)
		return nil, nil, refusal
	}
	result, answer, refusal := s.startChat(ctx, payload, request, done)
	if refusal != nil {
		done()
		return nil, nil, refusal
	}
	return result, answer, nil
}

func (s *Server) readChatRequest(ctx context.Context, authorization *string, body io.Reader) (chatRequest, *types.Refusal) {
	var request chatRequest
	text, refusal := s.readBody(ctx, authorization, body, chatCopies)
	if refusal != nil {
		return request, refusal
	}
	if err := json.Unmarshal(text, &request); err != nil {
		return request, refuse(KindMalformedRequest, longRetryAfter, "the body is not a chat request: "+err.Error())
	}
	return request, validateChatRequest(&request)
}

// bodyReadTimeout bounds the reading of a body, also without a memory budget. It is the time
// limit of requests to services that declare none.
const bodyReadTimeout = 120 * spokeclock.Second

// readBody reads the whole body within the budget of the process, and charges it for
// copies of the body that are made later.
func (s *Server) readBody(ctx context.Context, authorization *string, body io.Reader, copies int64) ([]byte, *types.Refusal) {
	details := requestDetailsFrom(ctx)
	details.reservation = s.Budget.Open(s.workspaceName(authorization), details.contentLength)
	details.reservation.SetCopies(copies)
	controller := http.NewResponseController(details.writer)
	_ = controller.SetReadDeadline(time.Now().Add(bodyReadTimeout.Duration()))
	content, err := details.reservation.ReadBody(body, s.maxBodyBytes(), controller)
	if err == nil {
		// The connection is read on to notice that the caller leaves.
		_ = controller.SetReadDeadline(time.Time{})
		err = details.reservation.Grow(copies * content.Len())
	}
	if err == nil {
		return content.Bytes(), nil
	}
	details.closeAfterResponse()
	switch spokeerror.KindOf[spokememory.Kind](err) {
	case spokememory.KindTooLarge:
		return nil, refuse(KindBodyTooLarge, longRetryAfter, fmt.Sprintf("the body is over %d bytes", s.maxBodyBytes()))
	case spokememory.KindNotRead:
		return nil, refuse(KindMalformedRequest, longRetryAfter, "the body could not be read: "+err.Error())
	default:
		return nil, refuse(KindOverloaded, shortRetryAfter, "no memory for the request")
	}
}

// workspaceName returns the name of the workspace that has a key, or "" if none has.
func (s *Server) workspaceName(authorization *string) string {
	snapshot := s.Store.Current()
	if snapshot == nil || authorization == nil {
		return ""
	}
	workspace, isKnown := snapshot.WorkspaceByKey(strings.TrimPrefix(*authorization, bearerPrefix))
	if !isKnown {
		return ""
	}
	return workspace.Name
}

func validateChatRequest(request *chatRequest) *types.Refusal {
	if request.Model == "" {
		return refuse(KindMalformedRequest, longRetryAfter, `"model" is empty; it names a service`)
	}
	if len(request.Messages) == 0 {
		return refuse(KindMalformedRequest, longRetryAfter, `"messages" is empty; at least one is needed`)
	}
	if request.MaxTokens == 0 {
		request.MaxTokens = request.MaxCompletionTokens
	}
	if request.MaxTokens == 0 {
		request.MaxTokens = defaultAnswerTokens
	}
	if request.MaxTokens < 0 || request.MaxTokens > maxAnswerTokens {
		return refuse(KindMalformedRequest, longRetryAfter, fmt.Sprintf(`"max_tokens" is %d; allowed: 1 to %d`, request.MaxTokens, maxAnswerTokens))
	}
	return nil
}

// startChat authorises a request and starts its answer. It calls done when the
// answer ends.
func (s *Server) startChat(ctx context.Context, payload *chat.CompletePayload, request chatRequest, done func()) (*chat.CompleteResult, io.ReadCloser, *types.Refusal) {
	a, refusal := s.authorise(payload.Authorization, request.Model, spokeconfig.ServiceModel)
	if refusal != nil {
		s.countRefusal(request.Model, refusal)
		return nil, nil, refusal
	}
	g := s.newGeneration(a, request)
	details := requestDetailsFrom(ctx)
	g.holdFunc = details.reservation.HoldAnswer
	release := details.retain()
	g.start(ctx, func() {
		release()
		done()
	})
	return s.respond(g, request)
}

func (s *Server) newGeneration(a access, request chatRequest) *generation {
	id := newID()
	coreRequest := a.request(id, s.modelRoute(a.service), s.Clock.Now()+a.service.Timeout)
	coreRequest.AnswerTokens = request.MaxTokens
	coreRequest.PromptParts = promptParts(request.Messages)
	coreRequest.SilenceLimits = silenceLimits(a.service)
	return &generation{
		server: s, id: id, coreRequest: coreRequest,
		engineRequest: spokeengine.GenerateRequest{
			Model:     request.Model,
			Messages:  request.Messages,
			MaxTokens: request.MaxTokens,
			Priority:  s.priority(a, coreRequest.ExpectsLongAnswer()),
		},
		tokens: make(chan string, tokenBufferSize),
	}
}

// modelRoute returns the route for all requests to a model service. When a server
// fails, another one may resume the answer after the tokens that were forwarded.
func (s *Server) modelRoute(service *spokeconfig.Service) *spokeconfig.CallerRoute {
	return &spokeconfig.CallerRoute{
		Name: service.Name, Kind: spokeconfig.RouteStream, Resumable: !s.Switches.DisableResume,
		LatencyTarget: service.FirstTokenTarget, EventGapTarget: service.TokenGapTarget, MaxAttempts: maxModelAttempts,
	}
}

// silenceLimits returns limits that are longer than those derived from a route's
// targets, because an engine with many answers in progress pauses.
func silenceLimits(service *spokeconfig.Service) spokecore.SilenceLimits {
	return spokecore.SilenceLimits{
		FirstEvent: max(minFirstEventLimit, firstEventFactor*service.FirstTokenTarget),
		EventGap:   max(minEventGapLimit, eventGapFactor*service.TokenGapTarget),
		SlowGap:    max(minSlowGapLimit, slowGapFactor*service.TokenGapTarget),
	}
}

// priority returns the priority of a request within an engine: short answers
// before long ones, then by the priority of the workspace.
func (s *Server) priority(a access, longAnswer bool) int {
	if s.Switches.DisablePriority {
		return 0
	}
	if longAnswer {
		return longAnswerPriority*workspacePriorities + a.workspace.Priority
	}
	return shortAnswerPriority*workspacePriorities + a.workspace.Priority
}

// workspacePriorities is one more than the greatest workspace priority.
const workspacePriorities = 10

// promptParts returns one part for each message of a chat. A following request of
// the same conversation may share all parts except the last.
func promptParts(messages []spokeengine.Message) []spokecore.PromptPart {
	parts := make([]spokecore.PromptPart, 0, len(messages))
	for _, message := range messages {
		parts = append(parts, spokecore.PromptPart{Key: message.Role + "\n" + message.Content})
	}
	return parts
}

// respond returns the answer in the form that the caller asked for: complete, or
// as a stream of events that starts with the first token.
func (s *Server) respond(g *generation, request chatRequest) (*chat.CompleteResult, io.ReadCloser, *types.Refusal) {
	if request.Stream {
		first, refusal := g.waitFirstToken()
		if refusal != nil {
			return nil, nil, refusal
		}
		return &chat.CompleteResult{ContentType: contentTypeEvents}, &eventBody{generation: g, firstToken: first, model: request.Model}, nil
	}
	content, refusal := g.waitAllTokens()
	if refusal != nil {
		return nil, nil, refusal
	}
	text := encodeCompletion(g, request, content)
	return &chat.CompleteResult{ContentType: contentTypeJSON}, io.NopCloser(bytes.NewReader(text)), nil
}

// Completion is a complete answer in the format of model clients.
type Completion struct {
	// ID identifies the answer.
	ID string `json:"id"`
	// Object is always "chat.completion".
	Object string `json:"object"`
	// Created is the time of the answer in seconds since the epoch.
	Created int64 `json:"created"`
	// Model is the name of the service.
	Model string `json:"model"`
	// Choices holds a single choice, the answer.
	Choices []CompletionChoice `json:"choices"`
	// Usage is the token count.
	Usage CompletionUsage `json:"usage"`
}

// CompletionChoice is the answer in a Completion.
type CompletionChoice struct {
	// Index is always zero.
	Index int `json:"index"`
	// Message is the message with the text of the answer.
	Message spokeengine.Message `json:"message"`
	// FinishReason is the reason for the end of the answer.
	FinishReason string `json:"finish_reason"`
}

// CompletionUsage is the token count of a Completion.
type CompletionUsage struct {
	// CompletionTokens is the length of the answer in tokens.
	CompletionTokens int `json:"completion_tokens"`
}

func encodeCompletion(g *generation, request chatRequest, content []string) []byte {
	completion := Completion{
		ID:      "chatcmpl-" + g.id,
		Object:  "chat.completion",
		Created: int64(spokeclock.Wall() / spokeclock.Second),
		Model:   request.Model,
		Choices: []CompletionChoice{{
			Message:      spokeengine.Message{Role: "assistant", Content: strings.Join(content, "")},
			FinishReason: g.finishReason,
		}},
		Usage: CompletionUsage{CompletionTokens: len(content)},
	}
	text, err := json.Marshal(completion)
	if err != nil {
		panic("spokeserve: completion could not be encoded as JSON: " + err.Error())
	}
	return text
}
