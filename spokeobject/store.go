package spokeobject

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeerror"
	"mulberryspoke.example/mulberryspoke/spoketrace"
)

// Kind is the kind of an error of this package.
type Kind string

const (
	// KindUnavailable says that the store did not answer in time.
	KindUnavailable Kind = "unavailable"
	// KindNotFound says that there is no such object.
	KindNotFound Kind = "absent"
)

const (
	defaultTimeout = 2 * spokeclock.Second
	maxObjectBytes = 64 << 20
)

// Store is a client of the object store. Set its fields before the first
// call. It is safe for concurrent use.
type Store struct {
	// URL is the address of the service.
	URL string
	// Client makes the calls.
	Client *http.Client
	// Timeout bounds each call. Zero means two seconds.
	Timeout spokeclock.Millis
}

// Put writes an object whole. It returns an error of kind KindUnavailable.
func (s *Store) Put(ctx context.Context, name string, content []byte) error {
	_, err := s.do(ctx, http.MethodPut, name, content)
	return err
}

// Get returns an object. It returns an error of kind KindUnavailable or
// KindAbsent.
func (s *Store) Get(ctx context.Context, name string) ([]byte, error) {
	return s.do(ctx, http.MethodGet, name, nil)
}

// Delete removes an object. It returns an error of kind KindUnavailable.
func (s *Store) Delete(ctx context.Context, name string) error {
	_, err := s.do(ctx, http.MethodDelete, name, nil)
	return err
}

func (s *Store) do(ctx context.Context, method, name string, content []byte) ([]byte, error) {
	timeout := s.Timeout
	if timeout == 0 {
		timeout = defaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	ctx, span := spoketrace.Begin(ctx, "platform object "+method)
	answer, err := s.exchange(ctx, method, name, content)
	span.End(err)
	return answer, err
}

func (s *Store) exchange(ctx context.Context, method, name string, content []byte) ([]byte, error) {
	operation := method + " object"
	address := s.URL + "/v1/objects/" + url.PathEscape(name)
	request, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(content))
	if err != nil {
		return nil, spokeerror.New(operation, KindUnavailable, err)
	}
	spoketrace.Inject(ctx, request.Header)
	response, err := s.Client.Do(request)
	if err != nil {
		return nil, spokeerror.New(operation, KindUnavailable, err)
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxObjectBytes))
	if err != nil {
		return nil, spokeerror.New(operation, KindUnavailable, err)
	}
	if response.StatusCode == http.StatusNotFound {
		return nil, spokeerror.Newf(operation, KindNotFound, "%s", name)
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return nil, spokeerror.Newf(operation, KindUnavailable, "%s", response.Status)
	}
	return answer, nil
}
