package spokehttp

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"
)

const (
	dialTimeout           = 500 * time.Millisecond
	idleTimeout           = 30 * time.Second
	maxIdlePerHost        = 256
	maxIdleConnections    = 4096
	keepAliveInterval     = 5 * time.Second
	connectionBufferBytes = 4 << 10
)

// errNotConnected marks a failure to connect, before any byte was sent.
var errNotConnected = errors.New("connection not established")

type dialError struct {
	cause error
}

func (d *dialError) Error() string   { return errNotConnected.Error() + ": " + d.cause.Error() }
func (d *dialError) Unwrap() []error { return []error{errNotConnected, d.cause} }

// NewClient returns a client for backend servers and the platform. It does not
// follow redirects. Requests that are not idempotent need the client from
// NewNoKeepAliveClient. It is safe for concurrent use.
func NewClient() *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAliveInterval}
	transport := NewTransport(DialFunc(dialer))
	transport.MaxIdleConns = maxIdleConnections
	transport.MaxIdleConnsPerHost = maxIdlePerHost
	transport.IdleConnTimeout = idleTimeout
	transport.ReadBufferSize = connectionBufferBytes
	transport.WriteBufferSize = connectionBufferBytes
	return &http.Client{
		Transport: transport,
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}

// ChargeResponses makes clients charge the responses whose exchanges have no HoldFunc.
func ChargeResponses(openFunc OpenHoldFunc, clients ...*http.Client) {
	for _, client := range clients {
		client.Transport.(*Transport).OpenHoldFunc = openFunc
	}
}

// KindOfFailure returns KindNotSent if a failed round trip is certain to have
// sent nothing, and KindNoAnswer if the request may have taken effect. It must not be
// used for a request that net/http sends again, such as a GET on a reused connection.
func KindOfFailure(err error) Kind {
	if errors.Is(err, errNotConnected) {
		return KindNotSent
	}
	return KindNoAnswer
}

// DialFunc returns a dial function for a transport. It marks its errors so that
// KindOfFailure can distinguish a failure to connect from the failure of a
// request that may have been sent.
func DialFunc(dialer *net.Dialer) DialContextFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, &dialError{cause: err}
		}
		return conn, nil
	}
}

// NewNoKeepAliveClient returns a client that opens a connection for each request.
// When a reused connection turns out to be closed, net/http sends the request
// again. It never does so on a new connection.
func NewNoKeepAliveClient() *http.Client {
	client := NewClient()
	client.Transport.(*Transport).DisableKeepAlives = true
	return client
}
