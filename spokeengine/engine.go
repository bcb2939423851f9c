package spokeengine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"

	"github.com/tmaxmax/go-sse"

	"mulberryspoke.example/mulberryspoke/spokeerror"
	"mulberryspoke.example/mulberryspoke/spokehttp"
	"mulberryspoke.example/mulberryspoke/spoketrace"
)

// Kind is the kind of an error of this package.
type Kind string

const (
	// KindUnreachable means that the engine could not be reached, or that it
	// failed to report its load or to import a cache.
	KindUnreachable Kind = "unreachable"
	// KindRefused means that the engine responded with an error status.
	KindRefused Kind = "refused"
	// KindTruncated means that the stream ended before the answer did.
	KindTruncated Kind = "cut"
	// KindOutOfOrder means that the stream skipped tokens, repeated one with another
	// text, or had more than were asked for.
	KindOutOfOrder Kind = "out_of_order"
	// KindNotHeld means that the answer may not be held in memory.
	KindNotHeld Kind = "not_held"
)

const (
	// maxErrorBytes is the part of an error response that is kept.
	maxErrorBytes = 4096
	// maxEventBytes bounds an event, which has a token.
	maxEventBytes = 16 << 10
	// maxReportBytes bounds the responses to all calls but Generate.
	maxReportBytes = 1 << 20
	// heldPart is the number of bytes of tokens that are charged at a time.
	heldPart = 4 << 10
	// tokenOverhead is what a token takes besides its text: two strings in lists.
	tokenOverhead = 32
)

// Client is a client of one model engine. Set its fields before the first call.
// It is safe for concurrent use.
type Client struct {
	// URL is the base URL of the engine.
	URL string
	// HTTPClient sends the requests.
	HTTPClient *http.Client
	// HoldFunc asks whether an answer may be held. Nil means that it may.
	HoldFunc spokehttp.HoldFunc
}

// Stream is an answer in progress. It must be read by one goroutine.
type Stream struct {
	body      io.ReadCloser
	attemptID string
	// tokens are those of the answer so far, with those that the caller already had, and
	// maxTokens is the largest number of them. Zero means no bound.
	tokens    []string
	maxTokens int
	// holdFunc charges the tokens, and uncharged counts their bytes that it hasn't yet.
	holdFunc  spokehttp.HoldFunc
	uncharged int
	// droppedEvents counts events that belonged to another attempt or repeated a
	// token.
	droppedEvents int
}

// Generate starts an answer. It returns an error of kind KindUnreachable or
// KindRefused. Cancelling ctx cancels the answer at the engine.
func (c *Client) Generate(ctx context.Context, request GenerateRequest) (*Stream, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, spokeerror.New("generate", KindRefused, err)
	}
	ctx = spokehttp.WithExchange(ctx, &spokehttp.Exchange{HoldFunc: c.HoldFunc})
	outgoing, err := http.NewRequestWithContext(ctx, http.MethodPost, c.URL+"/v1/generate", bytes.NewReader(body))
	if err != nil {
		return nil, spokeerror.New("generate", KindUnreachable, err)
	}
	outgoing.Header.Set("Content-Type", "application/json")
	spoketrace.Inject(ctx, outgoing.Header)
	response, err := c.HTTPClient.Do(outgoing)
	if err != nil {
		return nil, spokeerror.New("generate", KindUnreachable, err)
	}
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
		_ = response.Body.Close()
		return nil, spokeerror.New("generate", KindRefused, &spokehttp.StatusError{Code: response.StatusCode, Body: string(text)})
	}
	return &Stream{
		body: response.Body, attemptID: request.AttemptID,
		tokens: slices.Clone(request.DeliveredTokens), maxTokens: request.MaxTokens, holdFunc: c.HoldFunc,
	}, nil
}

// ReadEvents calls handle with each event of the attempt, in order and without
// gaps, until the answer ends or handle returns an error. It drops events of
// other attempts and repeated ones; a token that is repeated with another text is of
// another run. It returns the error of handle, or an error of kind KindTruncated,
// KindOutOfOrder or KindNotHeld.
func (s *Stream) ReadEvents(handle func(Event) error) error {
	defer func() { _ = s.body.Close() }()
	for frame, err := range sse.Read(s.body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return spokeerror.New("read stream", KindTruncated, err)
		}
		var event Event
		if err := json.Unmarshal([]byte(frame.Data), &event); err != nil {
			return spokeerror.New("read stream", KindTruncated, err)
		}
		ended, err := s.forwardEvent(event, handle)
		if ended || err != nil {
			return err
		}
	}
	return spokeerror.New("read stream", KindTruncated, errors.New("the stream ended without a finish reason"))
}

// forwardEvent calls handle with an event unless it is dropped, and reports
// whether the answer has ended.
func (s *Stream) forwardEvent(event Event, handle func(Event) error) (bool, error) {
	if event.AttemptID != s.attemptID {
		s.droppedEvents++
		return false, nil
	}
	if event.Index < 0 || event.Index > len(s.tokens) {
		return false, spokeerror.Newf("read stream", KindOutOfOrder, "received token %d instead of %d", event.Index, len(s.tokens))
	}
	if event.Index < len(s.tokens) {
		if event.FinishReason == "" && event.Token != s.tokens[event.Index] {
			return false, spokeerror.Newf("read stream", KindOutOfOrder, "received token %d again with another text", event.Index)
		}
		s.droppedEvents++
		return false, nil
	}
	if event.FinishReason == "" {
		if err := s.keepToken(event.Token); err != nil {
			return false, err
		}
	}
	return event.FinishReason != "", handle(event)
}

// keepToken adds a token to the answer. It returns an error of kind KindOutOfOrder or
// KindNotHeld.
func (s *Stream) keepToken(token string) error {
	if s.maxTokens > 0 && len(s.tokens) >= s.maxTokens {
		return spokeerror.Newf("read stream", KindOutOfOrder, "received more than %d tokens", s.maxTokens)
	}
	s.uncharged += len(token) + tokenOverhead
	if s.uncharged > heldPart && s.holdFunc != nil {
		if !s.holdFunc(s.uncharged) {
			return spokeerror.New("read stream", KindNotHeld, spokehttp.ErrNotHeld)
		}
		s.uncharged = 0
	}
	s.tokens = append(s.tokens, token)
	return nil
}

// DroppedEvents returns the number of events that belonged to another attempt or
// repeated a token.
func (s *Stream) DroppedEvents() int { return s.droppedEvents }

// Close closes the stream, which cancels the answer.
func (s *Stream) Close() { _ = s.body.Close() }

// reportClient returns the client for one call whose response is short.
func (c *Client) reportClient() *http.Client {
	return spokehttp.LimitResponses(c.HTTPClient, maxReportBytes)
}

// Load returns the engine's load report. It returns an error of kind
// KindUnreachable.
func (c *Client) Load(ctx context.Context) (Load, error) {
	load, err := spokehttp.GetJSON[Load](ctx, c.reportClient(), c.URL+"/v1/load")
	if err != nil {
		return Load{}, spokeerror.New("read load", KindUnreachable, err)
	}
	return load, nil
}

// ImportCache makes the engine import the KV cache of an attempt from another
// engine. It returns an error of kind KindUnreachable if the cache was not
// imported.
func (c *Client) ImportCache(ctx context.Context, request CacheMoveRequest) error {
	if _, err := spokehttp.PostJSON[KVCache](ctx, c.reportClient(), c.URL+"/v1/kv/import", request); err != nil {
		return spokeerror.New("import KV cache", KindUnreachable, err)
	}
	return nil
}

// SendOrder sends an order to the engine. It returns an error of kind KindRefused
// if the engine rejects it, as it does with an outdated fencing number, or of kind
// KindUnreachable.
func (c *Client) SendOrder(ctx context.Context, order Order) error {
	_, err := spokehttp.PostJSON[struct{}](ctx, c.reportClient(), c.URL+"/v1/orders", order)
	if err == nil {
		return nil
	}
	if spokeerror.KindOf[spokehttp.Kind](err) == spokehttp.KindRefused {
		return spokeerror.New("send order", KindRefused, err)
	}
	return spokeerror.New("send order", KindUnreachable, err)
}
