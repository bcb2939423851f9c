package spokehttp

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
)

// MaxResponseHeaderBytes bounds the head of a response, together with those of the
// informational responses before it, so that a server that never ends one can't exhaust
// the memory.
const MaxResponseHeaderBytes = 64 << 10

// DialContextFunc connects to an address.
type DialContextFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Transport is a transport of net/http whose connections are of type Conn. All responses of
// servers are read through it. It is safe for concurrent use.
type Transport struct {
	*http.Transport
}

// NewTransport returns a transport whose connections are made by dialFunc. It doesn't
// decompress bodies.
func NewTransport(dialFunc DialContextFunc) *Transport {
	return &Transport{&http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialFunc(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &Conn{Conn: conn}, nil
		},
		DisableCompression:     true,
		MaxResponseHeaderBytes: MaxResponseHeaderBytes,
	}}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	var exchange Exchange
	defer exchange.End()
	return t.Send(request.Context(), &exchange, request)
}

// Send sends a request with ctx as part of an exchange, which the caller ends. Its errors
// are those of RoundTrip of net/http.
func (t *Transport) Send(ctx context.Context, exchange *Exchange, request *http.Request) (*http.Response, error) {
	return t.Transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(ctx, exchange.clientTrace())))
}
