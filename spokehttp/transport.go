package spokehttp

import (
	"context"
	"net"
	"net/http"
	"unicode/utf8"

	"mulberryspoke.example/mulberryspoke/spokeerror"
)

// MaxResponseHeaderBytes bounds the head of a response, together with those of the
// informational responses before it, so that a server that never ends one can't exhaust
// the memory.
const MaxResponseHeaderBytes = 64 << 10

// The statuses that the response to a request may have.
const (
	minStatus = http.StatusOK
	maxStatus = 599
)

// DialContextFunc connects to an address.
type DialContextFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Transport is a transport of net/http that returns well-formed responses only. All
// responses of servers are read through it. It is safe for concurrent use.
type Transport struct {
	*http.Transport
	// OpenHoldFunc opens the charge of a response whose exchange has no HoldFunc. Nil means that
	// such responses are not charged.
	OpenHoldFunc OpenHoldFunc
}

// NewTransport returns a transport whose connections are made by dialFunc. It doesn't
// decompress bodies.
func NewTransport(dialFunc DialContextFunc) *Transport {
	return &Transport{Transport: &http.Transport{
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
	exchange, ok := request.Context().Value(exchangeKey{}).(*Exchange)
	if !ok {
		exchange = &Exchange{}
		request = request.WithContext(exchange.withTrace(request.Context()))
	}
	defer exchange.End()
	if exchange.HoldFunc != nil || t.OpenHoldFunc == nil {
		return t.send(exchange, request)
	}
	holdFunc, releaseFunc := t.OpenHoldFunc()
	exchange.HoldFunc = holdFunc
	response, err := t.send(exchange, request)
	if err != nil {
		exchange.End()
		releaseFunc()
		return nil, err
	}
	response.Body = &heldBody{ReadCloser: response.Body, holdFunc: holdFunc, factor: 1, releaseFunc: releaseFunc}
	return response, nil
}

// Send sends a request with ctx as part of an exchange, which the caller ends. It returns
// the error of RoundTrip of net/http, or one of kind KindNoAnswer for a response that is not
// well-formed, whose connection it closes.
func (t *Transport) Send(ctx context.Context, exchange *Exchange, request *http.Request) (*http.Response, error) {
	return t.send(exchange, request.WithContext(exchange.withTrace(ctx)))
}

// send sends a request whose context tells the exchange its connection.
func (t *Transport) send(exchange *Exchange, request *http.Request) (*http.Response, error) {
	response, err := t.Transport.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if err := checkHead(response); err != nil {
		_ = response.Body.Close()
		exchange.CloseConn()
		return nil, err
	}
	return response, nil
}

// IsStatus reports whether a response to a request may have a status. Informational
// statuses precede a response, and no request asks to switch protocols.
func IsStatus(status int) bool { return status >= minStatus && status <= maxStatus }

// checkHead returns an error of kind KindNoAnswer for the head of a response that is not
// well-formed although the HTTP library accepts it.
func checkHead(response *http.Response) error {
	if response.ProtoMajor != 1 {
		return spokeerror.Newf("check response", KindNoAnswer, "the response has the version %.*q", maxExcerpt, response.Proto)
	}
	if !IsStatus(response.StatusCode) {
		return spokeerror.Newf("check response", KindNoAnswer, "the response has the status %.*q", maxExcerpt, response.Status)
	}
	for name := range response.Header {
		if !isFieldName(name) {
			return spokeerror.Newf("check response", KindNoAnswer, "%.*q is no name of a field", maxExcerpt, name)
		}
	}
	return nil
}

// isFieldName reports whether a text is a token, as names of fields are.
func isFieldName(name string) bool {
	for _, c := range []byte(name) {
		if c >= utf8.RuneSelf || !isTokenByte[c] {
			return false
		}
	}
	return name != ""
}

// isTokenByte has the characters of tokens (RFC 9110, 5.6.2).
var isTokenByte = func() (allowed [utf8.RuneSelf]bool) {
	for _, c := range "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz" {
		allowed[c] = true
	}
	return allowed
}()

// maxExcerpt bounds in characters what an error quotes of a response.
const maxExcerpt = 64
