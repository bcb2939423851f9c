package spokepeer

import (
	"context"
	"encoding/json"
	"net"

	"github.com/sourcegraph/jsonrpc2"

	"mulberryspoke.example/mulberryspoke/spokeclock"
)

// WithoutOutdatedPrefill exports withoutOutdatedPrefill.
func (i InFlightByServer) WithoutOutdatedPrefill(interval spokeclock.Millis) InFlightByServer {
	return i.withoutOutdatedPrefill(interval)
}

// Bounded exports bounded.
func (h Heartbeat) Bounded() Heartbeat { return h.bounded() }

// Bounded exports bounded.
func (h Hello) Bounded() (Hello, bool) { return h.bounded() }

// HandleMessage handles a message as if a peer had sent it, on a connection that is closed.
func (n *Node) HandleMessage(ctx context.Context, method string, params []byte) {
	s := &session{node: n}
	conn, other := net.Pipe()
	_ = other.Close()
	rpc := n.serveConn(ctx, conn)
	_ = rpc.Close()
	for _, message := range []*jsonrpc2.Request{
		{Method: methodHello, Params: (*json.RawMessage)(&helloParams)}, {Method: method, Params: (*json.RawMessage)(&params)},
	} {
		_, _ = s.handle(ctx, rpc, message)
	}
}

var helloParams = []byte(`{"identity":{"name":"b","data_centre":"a","generation":1}}`)
