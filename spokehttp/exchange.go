package spokehttp

import (
	"context"
	"net/http/httptrace"
)

// Exchange is the sending of one request and the judgement of the head of its response. The
// connection is given to no other request before End. The zero value is ready for use. It
// belongs to one goroutine.
type Exchange struct {
	// HoldFunc asks whether a head may be held that is longer than usual. It is not called
	// after End. Whoever reads the body charges that. Nil means that the response may be held,
	// or that it is charged by the transport.
	HoldFunc HoldFunc

	conn         *Conn
	writesBefore int64
	// requestNumber is the request's place among those of the connection, from 1.
	requestNumber int64
	hasTurn       bool
}

type exchangeKey struct{}

// WithExchange returns a context for a single call whose request is sent as part of an
// exchange. Transport ends it.
func WithExchange(ctx context.Context, exchange *Exchange) context.Context {
	return exchange.withTrace(context.WithValue(ctx, exchangeKey{}, exchange))
}

// withTrace returns a context that tells the exchange its connection.
func (e *Exchange) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, e.clientTrace())
}

// clientTrace returns the hooks that tell the exchange its connection.
func (e *Exchange) clientTrace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		// The HTTP library may send a request again on another connection.
		e.End()
		if conn, ok := info.Conn.(*Conn); ok {
			e.begin(conn)
		}
	}}
}

// begin waits until the response to the previous request of the connection has been judged.
func (e *Exchange) begin(conn *Conn) {
	conn.turn.Lock()
	e.conn, e.hasTurn = conn, true
	e.writesBefore = conn.writes.Load()
	e.requestNumber = conn.requests.Add(1)
	conn.head.begin(e.HoldFunc)
}

// End lets the connection be used for another request. Only the first call has an effect.
func (e *Exchange) End() {
	if e.hasTurn {
		e.hasTurn = false
		e.conn.head.end()
		e.conn.turn.Unlock()
	}
}

// HasConn reports whether the request has been given a connection.
func (e *Exchange) HasConn() bool { return e.conn != nil }

// RequestNumber returns the request's place among those of its connection, from 1, or zero
// if it had none.
func (e *Exchange) RequestNumber() int64 { return e.requestNumber }

// IsUnsent reports whether no byte of the request has been or will be written.
// A cancelled request that has a connection may still be about to write, so it
// doesn't count as unsent.
func (e *Exchange) IsUnsent(ctx context.Context) bool {
	if e.conn == nil {
		return true
	}
	return ctx.Err() == nil && e.conn.writes.Load() == e.writesBefore
}

// CloseConn closes the connection, on which the server and this process no longer
// agree which response is next. The HTTP library keeps it if the response has no body.
func (e *Exchange) CloseConn() {
	if e.conn != nil {
		_ = e.conn.Close()
	}
}
