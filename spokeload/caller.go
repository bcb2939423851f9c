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

// caller sends requests.
type caller struct {
	client  *http.Client
	clock   *spokeclock.Clock
	timeout spokeclock.Millis
}

// refusalBody is what is read of a refusal.
type refusalBody struct {
	Error struct {
		Type    string `json:"type"`
		Outcome string `json:"outcome"`
		Scope   string `json:"scope"`
	} `json:"error"`
}

type chatBody struct {
	Model     string                `json:"model"`
	Messages  []spokeengine.Message `json:"messages"`
	MaxTokens int                   `json:"max_tokens"`
	Stream    bool                  `json:"stream"`
}

// do sends a request, and again as often as its kind allows when it is refused.
func (c *caller) do(ctx context.Context, target func() string, j job, intended spokeclock.Millis) *RequestResult {
	key := newKey()
	reply := &RequestResult{number: j.number, kind: j.kind.Name, phase: j.phase}
	if j.kind.Shape == ShapeBooking {
		reply.body = bookingBody(j, key)
	}
	for {
		reply.tries++
		after := c.once(ctx, target(), j, key, intended, reply)
		again := reply.verdict == VerdictRefused || reply.verdict == VerdictOutcomeUnknown
		if j.kind.Shape == ShapeBooking && reply.verdict == VerdictLost {
			again = true
		}
		if !again || reply.tries > j.kind.MaxRetries || spokeclock.Sleep(ctx, after) != nil {
			return reply
		}
	}
}

func newKey() string {
	key, err := uuid.NewV7()
	if err != nil {
		panic("spokeload: no randomness: " + err.Error())
	}
	return key.String()
}

// once sends a request once and returns when to come back.
func (c *caller) once(ctx context.Context, target string, j job, key string, intended spokeclock.Millis, reply *RequestResult) spokeclock.Millis {
	ctx, cancel := context.WithTimeout(ctx, c.timeout.Duration())
	defer cancel()
	request, err := c.request(ctx, target, j, key)
	if err != nil {
		reply.set(VerdictLost, err.Error())
		return spokeclock.Second
	}
	response, err := c.client.Do(request)
	if err != nil {
		reply.set(VerdictLost, err.Error())
		return spokeclock.Second
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return c.refused(response, reply)
	}
	switch {
	case j.kind.Shape != ShapeChat:
		c.plain(response.Body, j, intended, reply)
	case j.kind.Stream:
		c.stream(response.Body, j, intended, reply)
	default:
		c.plainChat(response.Body, j, intended, reply)
	}
	return 0
}

func (c *caller) request(ctx context.Context, target string, j job, key string) (*http.Request, error) {
	url := target + "/v1/chat/completions"
	var body []byte
	if j.kind.Shape == ShapeChat {
		body, _ = json.Marshal(chatBody{Model: j.kind.Service, Messages: messages(j), MaxTokens: j.kind.AnswerTokens, Stream: j.kind.Stream})
	} else {
		url = target + "/v1/services/" + j.kind.Service + "/" + strings.TrimPrefix(j.kind.Path, "/")
		body = []byte(bookingBody(j, key))
	}
	method := http.MethodPost
	if j.kind.Shape == ShapeStatus {
		method = http.MethodGet
		body = nil
	}
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+j.kind.WorkspaceKey)
	if j.kind.Shape == ShapeBooking {
		request.Header.Set("Idempotency-Key", key)
	}
	return request, nil
}

func messages(j job) []spokeengine.Message {
	var list []spokeengine.Message
	if j.kind.SharedPrefixWords > 0 {
		list = append(list, spokeengine.Message{Role: "system", Content: j.kind.shared()})
	}
	return append(list, spokeengine.Message{Role: "user", Content: j.prompt})
}

func bookingBody(j job, key string) string {
	return `{"booking":"` + key + `","note":"` + j.prompt + `"}`
}

func (c *caller) refused(response *http.Response, reply *RequestResult) spokeclock.Millis {
	seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
	if err != nil {
		seconds = 1
	}
	var body refusalBody
	text, readErr := io.ReadAll(response.Body)
	if readErr != nil || json.Unmarshal(text, &body) != nil || body.Error.Type == "" {
		reply.set(VerdictLost, "a refusal that cannot be read: "+response.Status)
		return spokeclock.Second
	}
	reply.set(verdictOf(body), body.Error.Type)
	reply.scope = body.Error.Scope
	return spokeclock.Millis(seconds) * spokeclock.Second
}

func verdictOf(body refusalBody) Verdict {
	switch body.Error.Outcome {
	case "outcome_unknown":
		return VerdictOutcomeUnknown
	case "incomplete":
		return VerdictIncomplete
	default:
		return VerdictRefused
	}
}

func (c *caller) plain(body io.Reader, j job, intended spokeclock.Millis, reply *RequestResult) {
	text, err := io.ReadAll(body)
	var confirmation spokestandin.Confirmation
	if err != nil || json.Unmarshal(text, &confirmation) != nil {
		reply.set(VerdictLost, "an answer that cannot be read")
		return
	}
	reply.whole = c.clock.Now() - intended
	reply.first = reply.whole
	reply.text = "confirmed by " + confirmation.Server
	wrong := j.kind.Shape == ShapeBooking && !strings.Contains(confirmation.Body, `"note":"`+j.prompt+`"`)
	if wrong {
		reply.set(VerdictWrongAnswer, "confirmed: "+confirmation.Body)
		return
	}
	reply.set(VerdictComplete, "")
}

func (c *caller) plainChat(body io.Reader, j job, intended spokeclock.Millis, reply *RequestResult) {
	text, err := io.ReadAll(body)
	var answer struct {
		Choices []struct {
			Message spokeengine.Message `json:"message"`
		} `json:"choices"`
	}
	if err != nil || json.Unmarshal(text, &answer) != nil || len(answer.Choices) != 1 {
		reply.set(VerdictLost, "an answer that cannot be read")
		return
	}
	reply.whole = c.clock.Now() - intended
	reply.first = reply.whole
	reply.judge(j, answer.Choices[0].Message.Content)
}

// chunk is what is read of an event.
type chunk struct {
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

func (c *caller) stream(body io.Reader, j job, intended spokeclock.Millis, reply *RequestResult) {
	var content strings.Builder
	last := spokeclock.Millis(0)
	ended := false
	for event, err := range sse.Read(body, nil) {
		if err != nil {
			break
		}
		if event.Data == "[DONE]" {
			reply.whole = c.clock.Now() - intended
			reply.judge(j, content.String())
			return
		}
		var part chunk
		if json.Unmarshal([]byte(event.Data), &part) != nil {
			break
		}
		if part.Error != nil {
			reply.set(VerdictIncomplete, part.Error.Type)
			return
		}
		if len(part.Choices) == 0 || part.Choices[0].Delta.Content == "" {
			ended = true
			continue
		}
		now := c.clock.Now()
		if last == 0 {
			reply.first = now - intended
		} else {
			reply.gaps = append(reply.gaps, now-last)
		}
		last = now
		content.WriteString(part.Choices[0].Delta.Content)
	}
	if ended {
		reply.set(VerdictTruncated, "an end without its mark")
		return
	}
	reply.set(VerdictLost, "the stream was cut")
}
