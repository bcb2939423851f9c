package spokeengine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/tmaxmax/go-sse"

	"mulberryspoke.example/mulberryspoke/spokeerror"
	"mulberryspoke.example/mulberryspoke/spokehttp"
	"mulberryspoke.example/mulberryspoke/spoketrace"
)

// Kind is the kind of an error of this package.
type Kind string

const (
	// KindUnreachable says that the engine was not reached.
	KindUnreachable Kind = "unreachable"
	// KindRefused says that the engine answered with a refusal.
	KindRefused Kind = "refused"
	// KindTruncated says that the stream ended before the answer did.
	KindTruncated Kind = "cut"
	// KindOutOfOrder says that the stream skipped tokens.
	KindOutOfOrder Kind = "out_of_order"
)

const maxRefusalBytes = 4096

// Client is a client of one model engine. Set its fields before the first
// call. It is safe for concurrent use.
type Client struct {
	// URL is the engine's address.
	URL string
	// HTTPClient makes the calls.
	HTTPClient *http.Client
}

// Stream is an answer under way. It is read by one goroutine.
type Stream struct {
	body    io.ReadCloser
	attempt string
	next    int
	// foreign counts dropped events that belonged to another attempt or
	// repeated a token.
	foreign int
}

// Generate starts an answer. It returns an error of kind KindUnreachable or
// KindRefused. Ending ctx cancels the answer at the engine.
func (e *Client) Generate(ctx context.Context, request GenerateRequest) (*Stream, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, spokeerror.New("generate", KindRefused, err)
	}
	outgoing, err := http.NewRequestWithContext(ctx, http.MethodPost, e.URL+"/v1/generate", bytes.NewReader(body))
	if err != nil {
		return nil, spokeerror.New("generate", KindUnreachable, err)
	}
	outgoing.Header.Set("Content-Type", "application/json")
	spoketrace.Inject(ctx, outgoing.Header)
	response, err := e.HTTPClient.Do(outgoing)
	if err != nil {
		return nil, spokeerror.New("generate", KindUnreachable, err)
	}
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, maxRefusalBytes))
		_ = response.Body.Close()
		return nil, spokeerror.New("generate", KindRefused, &spokehttp.StatusError{Code: response.StatusCode, Body: string(text)})
	}
	return &Stream{body: response.Body, attempt: request.AttemptID, next: len(request.DeliveredTokens)}, nil
}

// ReadEvents passes each event of the attempt on, in order and without gaps, until
// the answer ends or f returns an error. It drops events of other attempts and
// repeated ones. It returns f's error, or one of kind KindCut or
// KindOutOfOrder.
func (s *Stream) ReadEvents(f func(Event) error) error {
	defer func() { _ = s.body.Close() }()
	for frame, err := range sse.Read(s.body, nil) {
		if err != nil {
			return spokeerror.New("read answer", KindTruncated, err)
		}
		var event Event
		if err := json.Unmarshal([]byte(frame.Data), &event); err != nil {
			return spokeerror.New("read answer", KindTruncated, err)
		}
		ended, err := s.pass(event, f)
		if ended || err != nil {
			return err
		}
	}
	return spokeerror.New("read answer", KindTruncated, errors.New("the stream has no end"))
}

func (s *Stream) pass(event Event, f func(Event) error) (bool, error) {
	if event.AttemptID != s.attempt || event.Index < s.next {
		s.foreign++
		return false, nil
	}
	if event.Index > s.next {
		return false, spokeerror.Newf("read answer", KindOutOfOrder, "token %d instead of %d", event.Index, s.next)
	}
	if event.FinishReason == "" {
		s.next++
	}
	return event.FinishReason != "", f(event)
}

// DroppedEvents returns how many events were dropped.
func (s *Stream) DroppedEvents() int { return s.foreign }

// Close gives the answer up.
func (s *Stream) Close() { _ = s.body.Close() }

// Load returns the engine's report. It returns an error of kind
// KindUnreachable.
func (e *Client) Load(ctx context.Context) (Load, error) {
	load, err := spokehttp.GetJSON[Load](ctx, e.HTTPClient, e.URL+"/v1/load")
	if err != nil {
		return Load{}, spokeerror.New("read load", KindUnreachable, err)
	}
	return load, nil
}

// ImportCache makes the engine fetch an attempt's KV cache from another. It returns
// an error of kind KindUnreachable when the cache did not come over.
func (e *Client) ImportCache(ctx context.Context, request CacheMoveRequest) error {
	if _, err := spokehttp.PostJSON[KVCache](ctx, e.HTTPClient, e.URL+"/v1/kv/import", request); err != nil {
		return spokeerror.New("import cache", KindUnreachable, err)
	}
	return nil
}

// SendOrder sends an order. It returns an error of kind KindRefused when the engine
// refused it, as it does with an old fencing number, or KindUnreachable.
func (e *Client) SendOrder(ctx context.Context, order Order) error {
	_, err := spokehttp.PostJSON[struct{}](ctx, e.HTTPClient, e.URL+"/v1/orders", order)
	if err == nil {
		return nil
	}
	if spokeerror.KindOf[spokehttp.Kind](err) == spokehttp.KindRefused {
		return spokeerror.New("give order", KindRefused, err)
	}
	return spokeerror.New("give order", KindUnreachable, err)
}
