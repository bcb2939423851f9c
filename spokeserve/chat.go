package spokeserve

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"sync"

	"mulberryspoke.example/mulberryspoke/gen/chat"
	"mulberryspoke.example/mulberryspoke/gen/types"
	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeconfig"
	"mulberryspoke.example/mulberryspoke/spokecore"
	"mulberryspoke.example/mulberryspoke/spokeengine"
)

const (
	// modelAttempts bounds the servers that may run parts of one answer: several
	// waves of reclaims within the timeout.
	modelAttempts = 12

	// A server is silent for too long after so many of the service's targets, but
	// not before a usual pause of its process or network.
	firstFactor   = 2
	firstMinimum  = 3 * spokeclock.Second
	gapFactor     = 10
	gapMinimum    = spokeclock.Second
	noticeFactor  = 3
	noticeMinimum = 50 * spokeclock.Millis(1)

	// defaultMaxTokens and largestMaxTokens bound an answer, in tokens.
	defaultMaxTokens = 128
	largestMaxTokens = 32768

	contentJSON   = "application/json"
	contentEvents = "text/event-stream"

	// quickPriority and longPriority order requests within an engine, in steps
	// that no workspace's priority outweighs.
	quickPriority = 8
	longPriority  = 2
)

// chatRequest is what is read of a model client's request. Fields that are not
// read here are ignored, as model clients send many.
type chatRequest struct {
	Model               string                `json:"model"`
	Messages            []spokeengine.Message `json:"messages"`
	MaxTokens           int                   `json:"max_tokens"`
	MaxCompletionTokens int                   `json:"max_completion_tokens"`
	Stream              bool                  `json:"stream"`
}

// Complete implements the chat service of the API.
func (s *Server) Complete(ctx context.Context, payload *chat.CompletePayload, body io.ReadCloser) (*chat.CompleteResult, io.ReadCloser, error) {
	done := sync.OnceFunc(s.begin())
	request, refused := s.readChat(body)
	if refused != nil {
		done()
		s.countRefused("", refused)
		return nil, nil, refused
	}
	result, answer, refused := s.complete(ctx, payload, request, done)
	if refused != nil {
		done()
		return nil, nil, refused
	}
	return result, answer, nil
}

func (s *Server) readChat(body io.Reader) (chatRequest, *types.Refusal) {
	var request chatRequest
	text, refused := s.readBody(body)
	if refused != nil {
		return request, refused
	}
	if err := json.Unmarshal(text, &request); err != nil {
		return request, refuse(KindMalformedRequest, retrySlow, "the body is not a chat request: "+err.Error())
	}
	return request, checkChat(&request)
}

func (s *Server) readBody(body io.Reader) ([]byte, *types.Refusal) {
	text, err := io.ReadAll(io.LimitReader(body, s.maxBody()+1))
	if err != nil {
		return nil, refuse(KindMalformedRequest, retrySlow, "the body could not be read: "+err.Error())
	}
	if int64(len(text)) > s.maxBody() {
		return nil, refuse(KindBodyTooLarge, retrySlow, fmt.Sprintf("the body is over %d bytes", s.maxBody()))
	}
	return text, nil
}

func checkChat(request *chatRequest) *types.Refusal {
	if request.Model == "" {
		return refuse(KindMalformedRequest, retrySlow, `"model" is empty; it names a service`)
	}
	if len(request.Messages) == 0 {
		return refuse(KindMalformedRequest, retrySlow, `"messages" is empty; at least one is needed`)
	}
	if request.MaxTokens == 0 {
		request.MaxTokens = request.MaxCompletionTokens
	}
	if request.MaxTokens == 0 {
		request.MaxTokens = defaultMaxTokens
	}
	if request.MaxTokens < 0 || request.MaxTokens > largestMaxTokens {
		return refuse(KindMalformedRequest, retrySlow, fmt.Sprintf(`"max_tokens" is %d; allowed: 1 to %d`, request.MaxTokens, largestMaxTokens))
	}
	return nil
}

// complete checks a request and starts its answer. The answer's end calls done.
func (s *Server) complete(ctx context.Context, payload *chat.CompletePayload, request chatRequest, done func()) (*chat.CompleteResult, io.ReadCloser, *types.Refusal) {
	a, refused := s.check(payload.Authorization, request.Model, spokeconfig.ServiceModel)
	if refused != nil {
		s.countRefused(request.Model, refused)
		return nil, nil, refused
	}
	g := s.newGeneration(a, request)
	g.start(ctx, done)
	return s.deliver(g, request)
}

func (s *Server) newGeneration(a access, request chatRequest) *generation {
	id := newAttempt()
	asked := a.request(id, s.modelRoute(a.service), s.Clock.Now()+a.service.Timeout)
	asked.AnswerTokens = request.MaxTokens
	asked.PromptParts = partsOf(request.Messages)
	asked.SilenceLimits = silenceOf(a.service)
	return &generation{
		server: s, identity: id, asked: asked,
		request: spokeengine.GenerateRequest{
			Model:     request.Model,
			Messages:  request.Messages,
			MaxTokens: request.MaxTokens,
			Priority:  s.priority(a, asked.ExpectsLongAnswer()),
		},
		tokens: make(chan string, tokenRing),
	}
}

// modelRoute is how all requests to a model service are served: what has been
// handed on stays, and the rest may come from another server.
func (s *Server) modelRoute(service *spokeconfig.Service) *spokeconfig.CallerRoute {
	return &spokeconfig.CallerRoute{
		Name: service.Name, Kind: spokeconfig.RouteStream, Resumable: !s.Switches.DisableResume,
		LatencyTarget: service.FirstTokenTarget, EventGapTarget: service.TokenGapTarget, MaxAttempts: modelAttempts,
	}
}

// silenceOf is more patient than a route's targets would be, as an engine with
// many answers under way pauses.
func silenceOf(service *spokeconfig.Service) spokecore.SilenceLimits {
	return spokecore.SilenceLimits{
		FirstEvent: max(firstMinimum, firstFactor*service.FirstTokenTarget),
		EventGap:   max(gapMinimum, gapFactor*service.TokenGapTarget),
		SlowGap:    max(noticeMinimum, noticeFactor*service.TokenGapTarget),
	}
}

// priority orders requests within an engine: quick ones before long ones, then
// by workspace.
func (s *Server) priority(a access, long bool) int {
	if s.Switches.DisablePriority {
		return 0
	}
	if long {
		return longPriority*maxWorkspacePriority + a.workspace.Priority
	}
	return quickPriority*maxWorkspacePriority + a.workspace.Priority
}

const maxWorkspacePriority = 10

// partsOf returns the turns of a chat, all but the last of which a next request
// may share.
func partsOf(messages []spokeengine.Message) []spokecore.PromptPart {
	parts := make([]spokecore.PromptPart, 0, len(messages))
	for _, message := range messages {
		parts = append(parts, spokecore.PromptPart{Key: message.Role + "\n" + message.Content})
	}
	return parts
}

// deliver hands the answer over as the caller asked for it: whole, or as
// events once the first token is there.
func (s *Server) deliver(g *generation, request chatRequest) (*chat.CompleteResult, io.ReadCloser, *types.Refusal) {
	if request.Stream {
		first, refused := g.first()
		if refused != nil {
			return nil, nil, refused
		}
		return &chat.CompleteResult{ContentType: contentEvents}, &eventBody{generation: g, first: first, model: request.Model}, nil
	}
	content, refused := g.whole()
	if refused != nil {
		return nil, nil, refused
	}
	text := wholeAnswer(g, request, content)
	return &chat.CompleteResult{ContentType: contentJSON}, io.NopCloser(bytes.NewReader(text)), nil
}

// Completion is a whole answer as model clients read it.
type Completion struct {
	// ID names the answer.
	ID string `json:"id"`
	// Object is always "chat.completion".
	Object string `json:"object"`
	// Created is the second since the epoch.
	Created int64 `json:"created"`
	// Model is the service.
	Model string `json:"model"`
	// Choices holds the one answer.
	Choices []CompletionChoice `json:"choices"`
	// Usage counts tokens.
	Usage CompletionUsage `json:"usage"`
}

// CompletionChoice is the answer itself.
type CompletionChoice struct {
	// Index is always zero.
	Index int `json:"index"`
	// Message is the answer.
	Message spokeengine.Message `json:"message"`
	// FinishReason is why it ended.
	FinishReason string `json:"finish_reason"`
}

// CompletionUsage counts tokens.
type CompletionUsage struct {
	// CompletionTokens counts the answer's tokens.
	CompletionTokens int `json:"completion_tokens"`
}

func wholeAnswer(g *generation, request chatRequest, content []string) []byte {
	completion := Completion{
		ID:      "chatcmpl-" + g.identity,
		Object:  "chat.completion",
		Created: int64(spokeclock.Wall() / spokeclock.Second),
		Model:   request.Model,
		Choices: []CompletionChoice{{
			Message:      spokeengine.Message{Role: "assistant", Content: strings.Join(content, "")},
			FinishReason: g.finish,
		}},
		Usage: CompletionUsage{CompletionTokens: len(content)},
	}
	text, err := json.Marshal(completion)
	if err != nil {
		panic("spokeserve: an answer has no JSON form: " + err.Error())
	}
	return text
}
