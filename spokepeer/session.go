package spokepeer

import (
	"context"
	"encoding/json"

	"github.com/sourcegraph/jsonrpc2"

	"mulberryspoke.example/mulberryspoke/spokebackend"
	"mulberryspoke.example/mulberryspoke/spokemember"
)

// session is one connection's incoming side.
type session struct {
	node       *Node
	peer       string
	generation int64
}

// handle serves one request or notification. Requests of one connection come
// one at a time.
func (s *session) handle(ctx context.Context, rpc *jsonrpc2.Conn, request *jsonrpc2.Request) (any, error) {
	switch request.Method {
	case methodHello:
		return decodeAnd(request, s.hello)
	case methodHeartbeat:
		return decodeAnd(request, func(h Heartbeat) (any, error) { return s.heartbeat(ctx, rpc, h) })
	case methodGoodbye:
		return s.goodbye()
	case methodConfigSince:
		return decodeAnd(request, s.configSince)
	case methodAttemptState:
		return decodeAnd(request, s.attemptState)
	default:
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: request.Method}
	}
}

func decodeAnd[Params any](request *jsonrpc2.Request, f func(Params) (any, error)) (any, error) {
	var params Params
	if request.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "no parameters"}
	}
	if err := json.Unmarshal(*request.Params, &params); err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	return f(params)
}

func (s *session) hello(hello Hello) (any, error) {
	if !s.node.View.RecordHello(hello.Identity) {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidRequest, Message: "an older run of the instance"}
	}
	s.peer = hello.Identity.Name
	s.generation = hello.Identity.Generation
	s.node.View.MergeDataCentres(hello.DataCentres)
	return s.node.hello(), nil
}

func (n *Node) hello() Hello {
	return Hello{Identity: n.View.Self, Revision: n.Store.Revision(), DataCentres: n.View.DataCentresAt(n.Store.Revision())}
}

func (s *session) heartbeat(ctx context.Context, rpc *jsonrpc2.Conn, h Heartbeat) (any, error) {
	if s.peer == "" {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidRequest, Message: "no hello"}
	}
	n := s.node
	n.View.RecordHeartbeat(s.peer, h.Revision, h.Draining, h.Interval)
	n.View.MergeDataCentres(h.DataCentres)
	n.Registry.UpdatePeerInFlight(s.peer, h.InFlight)
	if n.MergePeerCountsFunc != nil {
		n.MergePeerCountsFunc(s.peer, s.generation, h.Counts)
	}
	for id, slots := range h.Slots {
		n.Registry.SetPeerSlots(id, slots.Requests)
	}
	for name, left := range h.Removals {
		n.Registry.MarkForRemoval(name, spokebackend.Removal{Source: spokebackend.SourcePeer, Remaining: left})
	}
	if h.Revision > n.Store.Revision() {
		go n.pull(ctx, rpc)
	}
	return struct{}{}, nil
}

func (s *session) goodbye() (any, error) {
	if s.peer != "" {
		s.node.View.RemovePeer(s.peer)
		s.node.Registry.RemovePeer(s.peer)
	}
	return struct{}{}, nil
}

func (s *session) configSince(request ConfigRequest) (any, error) {
	return s.node.Store.DeltaSince(request.SinceRevision), nil
}

func (s *session) attemptState(request AttemptRequest) (any, error) {
	return AttemptResponse{State: s.node.AttemptStateFunc(request.AttemptID)}, nil
}

// identityOf is the name that a link's log lines give its target.
func identityOf(target spokemember.Identity) string {
	return target.DataCentre + "/" + target.Name
}
