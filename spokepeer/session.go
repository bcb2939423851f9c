package spokepeer

import (
	"context"
	"encoding/json"
	"net"

	"github.com/sourcegraph/jsonrpc2"

	"mulberryspoke.example/mulberryspoke/spokebackend"
	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokefeed"
	"mulberryspoke.example/mulberryspoke/spokemember"
	"mulberryspoke.example/mulberryspoke/spokequarantine"
	"mulberryspoke.example/mulberryspoke/spokethrottle"
)

// session handles the messages received on one connection.
type session struct {
	node           *Node
	conn           net.Conn
	peer           string
	peerGeneration int64
	// link is the number of the connection in the peer's run.
	link int64
	// interval is the time between two heartbeats of the peer; 0 until it is known.
	interval spokeclock.Millis
}

// minLinkSilence is the least time without a heartbeat after which a link counts as lost, as an
// instance under load may be late.
const minLinkSilence = 10 * spokeclock.Second

// recordHeard reports that a message of the peer's link was accepted. The link counts as lost
// after as many missing heartbeats as its peer is suspected.
func (s *session) recordHeard() {
	if s.node.LinkHeardFunc != nil {
		s.node.LinkHeardFunc(s.conn, max(minLinkSilence, spokemember.MaxMissedHeartbeats*s.interval))
	}
}

// concurrentHandler handles requests that wait in a goroutine each, and all other
// messages of a connection one at a time.
type concurrentHandler struct {
	jsonrpc2.Handler
}

// Handle implements jsonrpc2.Handler.
func (h concurrentHandler) Handle(ctx context.Context, rpc *jsonrpc2.Conn, request *jsonrpc2.Request) {
	if request.Method == methodTableChanges {
		go h.Handler.Handle(ctx, rpc, request)
		return
	}
	h.Handler.Handle(ctx, rpc, request)
}

// handle handles one request or notification.
func (s *session) handle(ctx context.Context, rpc *jsonrpc2.Conn, request *jsonrpc2.Request) (any, error) {
	switch request.Method {
	case methodHello:
		return handleWithParams(request, s.handleHello)
	case methodHeartbeat:
		return handleWithParams(request, func(h Heartbeat) (any, error) { return s.handleHeartbeat(ctx, rpc, h) })
	case methodGoodbye:
		return s.handleGoodbye(rpc)
	case methodConfigSince:
		return handleWithParams(request, s.handleConfigSince)
	case methodAttemptState:
		return handleWithParams(request, s.handleAttemptState)
	case methodTableChanges:
		return handleWithParams(request, func(r spokefeed.RelayRequest) (any, error) { return s.handleTableChanges(ctx, r) })
	case methodQuarantine:
		return handleWithParams(request, s.handleQuarantine)
	case methodServerLimits:
		return handleWithParams(request, s.handleServerLimits)
	default:
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: request.Method}
	}
}

// handleWithParams decodes the parameters of a request and calls its handler.
func handleWithParams[Params any](request *jsonrpc2.Request, handlerFunc func(Params) (any, error)) (any, error) {
	var params Params
	if request.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "no parameters"}
	}
	if err := json.Unmarshal(*request.Params, &params); err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	return handlerFunc(params)
}

func (s *session) handleHello(hello Hello) (any, error) {
	hello, isPeer := hello.bounded()
	if !isPeer {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "no identity of an instance"}
	}
	s.node.receiveMutex.Lock()
	defer s.node.receiveMutex.Unlock()
	if !s.node.View.RecordHello(hello.Identity, hello.Link) {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidRequest, Message: "a later run or connection of the instance is known"}
	}
	s.peer = hello.Identity.Name
	s.peerGeneration = hello.Identity.Generation
	s.link = hello.Link
	s.recordHeard()
	s.node.View.MergeDataCentres(hello.DataCentres)
	return s.node.helloMessage(), nil
}

func (n *Node) helloMessage() Hello {
	return Hello{Identity: n.View.Self, Revision: n.Store.Revision(), DataCentres: n.View.DataCentresAt(n.Store.Revision())}
}

// isCurrent reports whether the connection is the last that the peer has opened. Messages on an
// earlier one may have been delayed by a freeze or a cut and may be older than those on the
// last one. The caller holds the node's receiveMutex.
func (s *session) isCurrent() bool {
	return s.node.View.IsCurrentLink(s.peer, s.peerGeneration, s.link)
}

// closeOutdated closes a connection that is not current. If the peer still uses it, it opens
// another one.
func (s *session) closeOutdated(rpc *jsonrpc2.Conn) {
	s.node.Log.Info().Str("peer", s.peer).Int64("generation", s.peerGeneration).Int64("link", s.link).Msg("Message on an earlier connection of a peer ignored.")
	_ = rpc.Close()
}

// handleHeartbeat updates the state of the peer. It fetches the peer's
// configuration in the background if it is newer.
func (s *session) handleHeartbeat(ctx context.Context, rpc *jsonrpc2.Conn, h Heartbeat) (any, error) {
	if s.peer == "" {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidRequest, Message: "no hello"}
	}
	n := s.node
	n.receiveMutex.Lock()
	defer n.receiveMutex.Unlock()
	if !s.isCurrent() {
		s.closeOutdated(rpc)
		return struct{}{}, nil
	}
	h = h.bounded()
	if h.Interval > 0 {
		s.interval = h.Interval
	}
	s.recordHeard()
	n.View.RecordHeartbeat(s.peer, h.Revision, h.Draining, h.Interval)
	n.View.MergeDataCentres(h.DataCentres)
	n.Registry.UpdatePeerInFlight(s.peer, h.InFlight)
	if n.MergePeerCountsFunc != nil {
		n.MergePeerCountsFunc(s.peer, s.peerGeneration, h.Counts)
	}
	n.mergeAggregates(s.peer, h.DataCentreCounts)
	for id, slots := range h.Slots {
		n.Registry.SetPeerSlots(id, slots.Requests)
	}
	for name, remaining := range h.Removals {
		n.Registry.MarkForRemoval(name, spokebackend.Removal{Source: spokebackend.SourcePeer, Remaining: remaining, Generation: h.RemovedGenerations[name]})
	}
	if h.Revision > n.Store.Revision() {
		peer, _ := n.View.Lookup(s.peer)
		go n.fetchConfig(ctx, rpc, peerLabel(peer))
	}
	return struct{}{}, nil
}

func (s *session) handleGoodbye(rpc *jsonrpc2.Conn) (any, error) {
	s.node.receiveMutex.Lock()
	defer s.node.receiveMutex.Unlock()
	switch {
	case s.peer == "":
	case s.isCurrent():
		s.node.View.RemovePeer(s.peer)
		s.node.Registry.RemovePeer(s.peer)
	default:
		s.closeOutdated(rpc)
	}
	return struct{}{}, nil
}

func (s *session) handleConfigSince(request ConfigRequest) (any, error) {
	return s.node.Store.DeltaSince(request.SinceRevision), nil
}

func (s *session) handleAttemptState(request AttemptRequest) (any, error) {
	return AttemptResponse{State: s.node.AttemptStateFunc(request.AttemptID)}, nil
}

func (s *session) handleTableChanges(ctx context.Context, request spokefeed.RelayRequest) (any, error) {
	if s.node.TableChangesFunc == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: methodTableChanges}
	}
	return s.node.TableChangesFunc(ctx, request)
}

func (s *session) handleQuarantine(news spokequarantine.News) (any, error) {
	if s.node.Quarantine != nil {
		s.node.Quarantine.Merge(news, s.isLocalPeer())
	}
	return struct{}{}, nil
}

func (s *session) handleServerLimits(news spokethrottle.News) (any, error) {
	if s.node.Throttle != nil {
		s.node.Throttle.Merge(news, s.isLocalPeer())
	}
	return struct{}{}, nil
}

// isLocalPeer reports whether the peer is linked to the same instances as this one.
func (s *session) isLocalPeer() bool {
	peer, _ := s.node.View.Lookup(s.peer)
	return s.node.isLinkedToAll(peer.DataCentre)
}

// isLinkedToAll reports whether an instance of a data centre is linked to the same
// instances as this one.
func (n *Node) isLinkedToAll(dataCentre string) bool {
	return n.View.IsFullMesh() || dataCentre == n.View.Self.DataCentre
}

// peerLabel returns how log messages name a peer.
func peerLabel(target spokemember.Identity) string {
	return target.DataCentre + "/" + target.Name
}
