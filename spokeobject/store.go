package spokeobject

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeerror"
	"mulberryspoke.example/mulberryspoke/spokehttp"
	"mulberryspoke.example/mulberryspoke/spoketrace"
)

// Kind classifies the errors of this package.
type Kind string

const (
	// KindUnavailable means that the call failed or timed out.
	KindUnavailable Kind = "unavailable"
	// KindNotFound means that the object doesn't exist.
	KindNotFound Kind = "absent"
)

const (
	defaultTimeout = 2 * spokeclock.Second
	maxObjectBytes = 64 << 20
)

// Store is a client of the object store. Set its fields before the first
// call. It is safe for concurrent use.
type Store struct {
	// URL is the base URL of the service.
	URL string
	// NoKeepAliveClient sends the requests. It must not reuse connections, on which a
	// late copy of an earlier response could pass for another object.
	NoKeepAliveClient *http.Client
	// Timeout bounds each call. Zero means two seconds.
	Timeout spokeclock.Millis
}

// Put creates or replaces an object. It returns an error of kind KindUnavailable.
func (s *Store) Put(ctx context.Context, name string, content []byte) error {
	_, err := s.call(ctx, http.MethodPut, name, content)
	return err
}

// Get returns the content of an object. It returns an error of kind
// KindUnavailable, also if holdFunc doesn't allow to hold the content, or KindNotFound.
func (s *Store) Get(ctx context.Context, name string, holdFunc spokehttp.HoldFunc) ([]byte, error) {
	held := *s
	held.NoKeepAliveClient = spokehttp.HoldResponses(s.NoKeepAliveClient, holdFunc, 1)
	return held.call(ctx, http.MethodGet, name, nil)
}

// Delete removes an object. It returns an error of kind KindUnavailable.
func (s *Store) Delete(ctx context.Context, name string) error {
	_, err := s.call(ctx, http.MethodDelete, name, nil)
	return err
}

func (s *Store) call(ctx context.Context, method, name string, content []byte) ([]byte, error) {
	timeout := s.Timeout
	if timeout == 0 {
		timeout = defaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	ctx, span := spoketrace.StartSpan(ctx, "platform object "+method)
	stored, err := s.roundTrip(ctx, method, name, content)
	span.End(err)
	return stored, err
}

func (s *Store) roundTrip(ctx context.Context, method, name string, content []byte) ([]byte, error) {
	operation := method + " object"
	objectURL := s.URL + "/v1/objects/" + url.PathEscape(name)
	request, err := http.NewRequestWithContext(ctx, method, objectURL, bytes.NewReader(content))
	if err != nil {
		return nil, spokeerror.New(operation, KindUnavailable, err)
	}
	spoketrace.Inject(ctx, request.Header)
	response, err := s.NoKeepAliveClient.Do(request)
	if err != nil {
		return nil, spokeerror.New(operation, KindUnavailable, err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxObjectBytes+1))
	if err != nil {
		return nil, spokeerror.New(operation, KindUnavailable, err)
	}
	if len(body) > maxObjectBytes {
		return nil, spokeerror.Newf(operation, KindUnavailable, "%s is longer than %d bytes", name, maxObjectBytes)
	}
	if response.StatusCode == http.StatusNotFound {
		return nil, spokeerror.Newf(operation, KindNotFound, "%s", name)
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return nil, spokeerror.Newf(operation, KindUnavailable, "%s", response.Status)
	}
	return body, nil
}
