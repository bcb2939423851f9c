package spokeload

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/google/uuid"
	"github.com/tmaxmax/go-sse"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeengine"
	"mulberryspoke.example/mulberryspoke/spokestandin"
)

// sender sends requests and checks their responses.
type sender struct {
	client  *http.Client
	clock   *spokeclock.Clock
	timeout spokeclock.Millis
}

// errorBody holds the fields of an error response that are evaluated.
type errorBody struct {
	Error struct {
		Type    string `json:"type"`
		Outcome string `json:"outcome"`
		Scope   string `json:"scope"`
	} `json:"error"`
}

type chatRequestBody struct {
	Model     string                `json:"model"`
	Messages  []spokeengine.Message `json:"messages"`
	MaxTokens int                   `json:"max_tokens"`
	Stream    bool                  `json:"stream"`
}

// sendWithRetries sends a request and retries it, up to MaxRetries times, if it
// was refused or its outcome is unknown. A booking without a valid response is
// retried too: its idempotency key makes that safe.
func (s *sender) sendWithRetries(ctx context.Context, nextTarget func() string, r scheduledRequest, intendedStart spokeclock.Millis) *RequestResult {
	key := newIdempotencyKey()
	result := &RequestResult{number: r.number, kind: r.kind.Name, phase: r.phase}
	if r.kind.Shape == ShapeBooking {
		result.bookingBody = bookingBody(r, key)
	}
	for {
		result.tries++
		retryAfter := s.sendOnce(ctx, nextTarget(), r, key, intendedStart, result)
		canRetry := result.verdict == VerdictRefused || result.verdict == VerdictOutcomeUnknown
		if r.kind.Shape == ShapeBooking && result.verdict == VerdictLost {
			canRetry = true
		}
		if !canRetry || result.tries > r.kind.MaxRetries || spokeclock.Sleep(ctx, retryAfter) != nil {
			return result
		}
	}
}

// maxAnswerBytes is the part of an answer that is read. One that is cut there counts as lost.
const maxAnswerBytes = 16 << 20

func newIdempotencyKey() string {
	key, err := uuid.NewV7()
	if err != nil {
		panic("spokeload: can't read random bytes: " + err.Error())
	}
	return key.String()
}

// sendOnce sends a request once, records its result and returns the delay before
// a retry.
func (s *sender) sendOnce(ctx context.Context, target string, r scheduledRequest, key string, intendedStart spokeclock.Millis, result *RequestResult) spokeclock.Millis {
	ctx, cancel := context.WithTimeout(ctx, s.timeout.Duration())
	defer cancel()
	request, err := s.newRequest(ctx, target, r, key)
	if err != nil {
		result.setVerdict(VerdictLost, err.Error())
		return spokeclock.Second
	}
	response, err := s.client.Do(request)
	if err != nil {
		result.setVerdict(VerdictLost, err.Error())
		return spokeclock.Second
	}
	defer func() { _ = response.Body.Close() }()
	body := io.LimitReader(response.Body, maxAnswerBytes)
	if response.StatusCode != http.StatusOK {
		return s.readRefusal(response, body, result)
	}
	switch {
	case r.kind.Shape != ShapeChat:
		s.readPlainAnswer(body, r, intendedStart, result)
	case r.kind.Stream:
		s.readChatStream(body, r, intendedStart, result)
	default:
		s.readChatAnswer(body, r, intendedStart, result)
	}
	return 0
}

func (s *sender) newRequest(ctx context.Context, target string, r scheduledRequest, key string) (*http.Request, error) {
	url := target + "/v1/chat/completions"
	var body []byte
	if r.kind.Shape == ShapeChat {
		body, _ = json.Marshal(chatRequestBody{Model: r.kind.Service, Messages: chatMessages(r), MaxTokens: r.kind.AnswerTokens, Stream: r.kind.Stream})
	} else {
		url = target + "/v1/services/" + r.kind.Service + "/" + strings.TrimPrefix(r.kind.Path, "/")
		body = []byte(bookingBody(r, key))
	}
	method := http.MethodPost
	if r.kind.Shape == ShapeStatus {
		method = http.MethodGet
		body = nil
	}
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+r.kind.WorkspaceKey)
	if r.kind.Shape == ShapeBooking {
		request.Header.Set("Idempotency-Key", key)
	}
	return request, nil
}

func chatMessages(r scheduledRequest) []spokeengine.Message {
	var list []spokeengine.Message
	if r.kind.SharedPrefixWords > 0 {
		list = append(list, spokeengine.Message{Role: "system", Content: r.kind.sharedPrefix()})
	}
	return append(list, spokeengine.Message{Role: "user", Content: r.prompt})
}

func bookingBody(r scheduledRequest, key string) string {
	return `{"booking":"` + key + `","note":"` + r.prompt + `"}`
}

// readRefusal records an error response and returns the delay before a retry,
// which is one second if the response doesn't state it.
func (s *sender) readRefusal(response *http.Response, body io.Reader, result *RequestResult) spokeclock.Millis {
	retryAfterSeconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
	if err != nil {
		retryAfterSeconds = 1
	}
	var refusal errorBody
	text, readErr := io.ReadAll(body)
	if readErr != nil || json.Unmarshal(text, &refusal) != nil || refusal.Error.Type == "" {
		result.setVerdict(VerdictLost, "a refusal that cannot be read: "+response.Status)
		return spokeclock.Second
	}
	result.setVerdict(refusalVerdict(refusal), refusal.Error.Type)
	result.scope = refusal.Error.Scope
	return spokeclock.Millis(retryAfterSeconds) * spokeclock.Second
}

func refusalVerdict(body errorBody) Verdict {
	switch body.Error.Outcome {
	case "outcome_unknown":
		return VerdictOutcomeUnknown
	case "incomplete":
		return VerdictIncomplete
	default:
		return VerdictRefused
	}
}

// readPlainAnswer reads the answer of a plain service. The answer to a booking
// has to quote the request's own note.
func (s *sender) readPlainAnswer(body io.Reader, r scheduledRequest, intendedStart spokeclock.Millis, result *RequestResult) {
	text, err := io.ReadAll(body)
	var confirmation spokestandin.Confirmation
	if err != nil || json.Unmarshal(text, &confirmation) != nil {
		result.setVerdict(VerdictLost, "an answer that cannot be read")
		return
	}
	result.totalLatency = s.clock.Now() - intendedStart
	result.firstTokenLatency = result.totalLatency
	result.answerText = "confirmed by " + confirmation.Server
	isWrongAnswer := r.kind.Shape == ShapeBooking && !strings.Contains(confirmation.Body, `"note":"`+r.prompt+`"`)
	if isWrongAnswer {
		result.setVerdict(VerdictWrongAnswer, "confirmed: "+confirmation.Body)
		return
	}
	result.setVerdict(VerdictComplete, "")
}

// readChatAnswer reads a chat completion that isn't streamed.
func (s *sender) readChatAnswer(body io.Reader, r scheduledRequest, intendedStart spokeclock.Millis, result *RequestResult) {
	text, err := io.ReadAll(body)
	var answer struct {
		Choices []struct {
			Message spokeengine.Message `json:"message"`
		} `json:"choices"`
	}
	if err != nil || json.Unmarshal(text, &answer) != nil || len(answer.Choices) != 1 {
		result.setVerdict(VerdictLost, "an answer that cannot be read")
		return
	}
	result.totalLatency = s.clock.Now() - intendedStart
	result.firstTokenLatency = result.totalLatency
	result.checkAnswer(r, answer.Choices[0].Message.Content)
}

// chatChunk holds the fields of a streamed event that are evaluated.
type chatChunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Error *struct {
		Type    string `json:"type"`
		Outcome string `json:"outcome"`
	} `json:"error"`
}

// readChatStream reads a streamed chat completion and records when its tokens
// arrive.
func (s *sender) readChatStream(body io.Reader, r scheduledRequest, intendedStart spokeclock.Millis, result *RequestResult) {
	var content strings.Builder
	lastTokenAt := spokeclock.Millis(0)
	hasFinalChunk := false
	for event, err := range sse.Read(body, nil) {
		if err != nil {
			break
		}
		if event.Data == "[DONE]" {
			result.totalLatency = s.clock.Now() - intendedStart
			result.checkAnswer(r, content.String())
			return
		}
		var chunk chatChunk
		if json.Unmarshal([]byte(event.Data), &chunk) != nil {
			break
		}
		if chunk.Error != nil {
			result.setVerdict(VerdictIncomplete, chunk.Error.Type)
			return
		}
		if len(chunk.Choices) == 0 || chunk.Choices[0].Delta.Content == "" {
			hasFinalChunk = true
			continue
		}
		now := s.clock.Now()
		if lastTokenAt == 0 {
			result.firstTokenLatency = now - intendedStart
		} else {
			result.tokenGaps = append(result.tokenGaps, now-lastTokenAt)
		}
		lastTokenAt = now
		content.WriteString(chunk.Choices[0].Delta.Content)
	}
	// The stream ended without its [DONE] event.
	if hasFinalChunk {
		result.setVerdict(VerdictTruncated, "an end without its mark")
		return
	}
	result.setVerdict(VerdictLost, "the stream was cut")
}
