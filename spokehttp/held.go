package spokehttp

import (
	"errors"
	"io"
	"net/http"
)

// HoldFunc asks whether a number of bytes more of a response may be held in memory. A nil
// HoldFunc stands for one that always allows it.
type HoldFunc func(bytes int) bool

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

type holdingTransport struct {
	inner    http.RoundTripper
	holdFunc HoldFunc
	factor   int
}

// RoundTrip implements http.RoundTripper.
func (t *holdingTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.inner.RoundTrip(request)
	if err == nil {
		response.Body = &heldBody{ReadCloser: response.Body, transport: t}
	}
	return response, err
}

// heldBody is the body of a response, which is charged as it is read.
type heldBody struct {
	io.ReadCloser
	transport *holdingTransport
	length    int
}

// Read implements io.Reader.
func (b *heldBody) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
	b.length += n
	if b.length > freeHeldBytes && n > 0 && !b.transport.holdFunc(b.transport.factor*n) {
		return n, ErrNotHeld
	}
	return n, err
}
