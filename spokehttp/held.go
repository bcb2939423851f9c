package spokehttp

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
)

// HoldFunc asks whether a number of bytes more of a response may be held in memory. A nil
// HoldFunc stands for one that always allows it.
type HoldFunc func(bytes int) bool

// OpenHoldFunc opens the charge of one response. Once it is released, holdFunc is not called.
type OpenHoldFunc func() (holdFunc func(bytes int) bool, releaseFunc func())

// ErrNotHeld means that a response is longer than what may be held.
var ErrNotHeld = errors.New("there is no memory for the response")

const (
	// firstHeldBuffer is the first size of the buffer of a response.
	firstHeldBuffer = 512
	// freeHeldBytes is the size up to which a response may be held in any case, as the
	// buffers of its connection are larger.
	freeHeldBytes = 4 << 10
)

// ReadHeld reads the body of a response of up to limit bytes as far as it may be held, and
// reports whether that is all of it. The buffer is charged as bytes arrive, not as they are
// announced; announced is the length of the body, or negative if it is not known, and only
// keeps the buffer from growing beyond it.
func ReadHeld(body io.Reader, announced int64, limit int, holdFunc HoldFunc) (held []byte, isWhole bool, err error) {
	held = make([]byte, 0, firstHeldBuffer)
	for {
		n, err := body.Read(held[len(held):cap(held)])
		held = held[:len(held)+n]
		switch {
		case errors.Is(err, io.EOF):
			return held, true, nil
		case err != nil:
			return nil, false, err
		case len(held) < cap(held):
			continue
		}
		// One byte more tells whether a response of the announced or the largest size is whole.
		size := min(2*cap(held), limit+1)
		if announced >= int64(len(held)) && announced < int64(size) {
			size = int(announced) + 1
		}
		if size <= cap(held) || size > freeHeldBytes && holdFunc != nil && !holdFunc(size-cap(held)) {
			return held, false, nil
		}
		held = append(make([]byte, 0, size), held...)
	}
}

// HoldResponses returns a client whose responses fail to be read with ErrNotHeld once they
// may not be held further. A byte that arrives is charged factor times.
func HoldResponses(client *http.Client, holdFunc HoldFunc, factor int) *http.Client {
	if holdFunc == nil {
		return client
	}
	held := *client
	if held.Transport == nil {
		held.Transport = http.DefaultTransport
	}
	held.Transport = &holdingTransport{inner: held.Transport, holdFunc: holdFunc, factor: factor}
	return &held
}

// LimitEach returns an OpenHoldFunc that allows each response up to limit bytes.
func LimitEach(limit int64) OpenHoldFunc {
	return func() (holdFunc func(bytes int) bool, releaseFunc func()) {
		var taken atomic.Int64
		return func(bytes int) bool { return taken.Add(int64(bytes)) <= limit }, func() {}
	}
}

// LimitResponses returns a client whose responses take up to limit bytes in all.
func LimitResponses(client *http.Client, limit int64) *http.Client {
	holdFunc, _ := LimitEach(limit)()
	return HoldResponses(client, holdFunc, 1)
}

type holdingTransport struct {
	inner    http.RoundTripper
	holdFunc HoldFunc
	factor   int
}

// RoundTrip implements http.RoundTripper.
func (t *holdingTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.inner.RoundTrip(request.WithContext(WithExchange(request.Context(), &Exchange{HoldFunc: t.holdFunc})))
	if err == nil {
		response.Body = &heldBody{ReadCloser: response.Body, holdFunc: t.holdFunc, factor: t.factor}
	}
	return response, err
}

// heldBody is the body of a response, which is charged as it is read.
type heldBody struct {
	io.ReadCloser
	holdFunc HoldFunc
	factor   int
	length   int
	// releaseFunc is called when the body is closed. It may be nil.
	releaseFunc func()
}

// Read implements io.Reader.
func (b *heldBody) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
	b.length += n
	if b.length > freeHeldBytes && n > 0 && !b.holdFunc(b.factor*n) {
		return n, ErrNotHeld
	}
	return n, err
}

// Close implements io.Closer.
func (b *heldBody) Close() error {
	if b.releaseFunc != nil {
		b.releaseFunc()
	}
	return b.ReadCloser.Close()
}
