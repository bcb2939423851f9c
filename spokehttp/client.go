package spokehttp

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"
)

const (
	dialTimeout         = 500 * time.Millisecond
	idleTimeout         = 30 * time.Second
	maxIdlePerHost      = 256
	maxIdleConnections  = 4096
	keepAliveInterval   = 5 * time.Second
	connectionReadBytes = 4 << 10
)

// errNotDialled marks a failure before any byte left the process.
var errNotDialled = errors.New("no connection")

type dialError struct {
	cause error
}

func (d *dialError) Error() string   { return errNotDialled.Error() + ": " + d.cause.Error() }
func (d *dialError) Unwrap() []error { return []error{errNotDialled, d.cause} }

// NewClient returns a client for backend servers and the platform. It follows
// no redirects and repeats no request that may have been sent. It is safe for
// concurrent use.
func NewClient() *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAliveInterval}
	transport := &http.Transport{
		DialContext:         DialFunc(dialer),
		MaxIdleConns:        maxIdleConnections,
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		ReadBufferSize:      connectionReadBytes,
		WriteBufferSize:     connectionReadBytes,
	}
	return &http.Client{
		Transport: transport,
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}

// KindOfFailure tells whether a failed round trip certainly sent nothing
// (KindNotSent) or may have taken effect (KindNoAnswer).
func KindOfFailure(err error) Kind {
	if errors.Is(err, errNotDialled) {
		return KindNotSent
	}
	return KindNoAnswer
}

// DialFunc returns a dial function for a transport whose failures to connect
// KindOfFailure tells from those of requests that may have been sent.
func DialFunc(dialer *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, &dialError{cause: err}
		}
		return conn, nil
	}
}

// NewNoKeepAliveClient returns a client that uses each connection for one request.
// The HTTP library sends a request again when a reused connection turns out to
// be dead; on a fresh one it never does.
func NewNoKeepAliveClient() *http.Client {
	client := NewClient()
	client.Transport.(*http.Transport).DisableKeepAlives = true
	return client
}
