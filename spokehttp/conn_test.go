package spokehttp_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mulberryspoke.example/mulberryspoke/spokecase"
	"mulberryspoke.example/mulberryspoke/spokehttp"
	"mulberryspoke.example/mulberryspoke/spokestandin"
)

const (
	// uploadBytes is more than the buffers of a connection hold.
	uploadBytes = 64 << 20
	// blockTime is the time without progress after which a write counts as blocked.
	blockTime   = 100 * time.Millisecond
	testTimeout = 10 * time.Second
)

type connectionEndCase struct {
	Name  string `yaml:"name"`
	Write string `yaml:"write"`
	Lost  bool   `yaml:"lost"`
}

var writeErrors = map[string]error{
	"reset": syscall.ECONNRESET, "timeout": syscall.ETIMEDOUT, "unreachable": syscall.EHOSTUNREACH, "broken_pipe": syscall.EPIPE,
}

// TestConnectionEnd guards against the loss of a connection that a read takes for the end of
// the stream, as a concurrent write has received its error and not yet returned it.
func TestConnectionEnd(t *testing.T) {
	for _, c := range spokecase.Read[[]connectionEndCase](t, "testdata/connection_ends.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			inner := &endingConn{writeErr: writeErrors[c.Write], writing: make(chan struct{}), ended: make(chan struct{}), expired: make(chan struct{})}
			conn := &spokehttp.Conn{Conn: inner}
			written := make(chan error, 1)
			go func() {
				_, err := conn.Write([]byte("request"))
				written <- err
			}()
			_, err := conn.Read(make([]byte, 1))
			if c.Lost {
				require.ErrorIs(t, err, writeErrors[c.Write])
			} else {
				require.ErrorIs(t, err, io.EOF)
			}
			require.Error(t, <-written)
		})
	}
}

// endingConn is a connection that ends during a write.
type endingConn struct {
	net.Conn
	writeErr error
	// writing is closed when a write has begun, ended when the read has got the end of the
	// stream, and expired when the deadline of the write has passed.
	writing, ended, expired chan struct{}
}

func (c *endingConn) Write([]byte) (int, error) {
	close(c.writing)
	<-c.ended
	if c.writeErr != nil {
		return 0, c.writeErr
	}
	<-c.expired
	return 0, os.ErrDeadlineExceeded
}

func (c *endingConn) Read([]byte) (int, error) {
	<-c.writing
	close(c.ended)
	return 0, io.EOF
}

func (c *endingConn) SetWriteDeadline(time.Time) error {
	close(c.expired)
	return nil
}

type resetCase struct {
	Name   string                 `yaml:"name"`
	Server spokestandin.RawServer `yaml:"server"`
	Lost   bool                   `yaml:"lost"`
}

// TestReset sends a request through the HTTP library to a server that ends the connection
// while the request is being written. The write receives the error of the connection in any
// case, as the client doesn't read before.
func TestReset(t *testing.T) {
	for _, c := range spokecase.Read[[]*resetCase](t, "testdata/resets.yaml") {
		t.Run(c.Name, func(t *testing.T) { c.run(t) })
	}
}

func (c *resetCase) run(t *testing.T) {
	url := startRawServer(t, &c.Server)
	transport := spokehttp.NewTransport(func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return &lateReader{Conn: conn, written: newEvent(), read: newEvent()}, err
	})
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, io.LimitReader(zeroReader{}, uploadBytes))
	require.NoError(t, err)
	response, err := transport.RoundTrip(request)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	require.Equal(t, "part", string(text))
	require.Equal(t, c.Lost, err != nil, "error %v", err)
}

// lateReader is a connection that is read to its end only after a write has failed, and
// whose failed write returns only after that.
type lateReader struct {
	net.Conn
	hasHead bool
	written event
	read    event
}

// event happens once.
type event struct {
	once     sync.Once
	happened chan struct{}
}

func newEvent() event { return event{happened: make(chan struct{})} }

func (e *event) set() { e.once.Do(func() { close(e.happened) }) }

func (e *event) wait(timeout time.Duration) {
	select {
	case <-e.happened:
	case <-time.After(timeout):
	}
}

func (r *lateReader) Write(data []byte) (int, error) {
	n, err := r.Conn.Write(data)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		r.written.set()
		r.read.wait(testTimeout)
	}
	return n, err
}

// Read reads the head of the answer at once.
func (r *lateReader) Read(data []byte) (int, error) {
	if r.hasHead {
		r.written.wait(10 * blockTime)
	}
	r.hasHead = true
	n, err := r.Conn.Read(data)
	if err != nil {
		r.read.set()
	}
	return n, err
}

// zeroReader is an endless body.
type zeroReader struct{}

func (zeroReader) Read(data []byte) (int, error) { return len(data), nil }
