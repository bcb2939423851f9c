package spokepeer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/jsonrpc2"

	"mulberryspoke.example/mulberryspoke/spokebackend"
	"mulberryspoke.example/mulberryspoke/spokeclaim"
	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeconfig"
	"mulberryspoke.example/mulberryspoke/spokeerror"
	"mulberryspoke.example/mulberryspoke/spokefeed"
	"mulberryspoke.example/mulberryspoke/spokehttp"
	"mulberryspoke.example/mulberryspoke/spokemember"
	"mulberryspoke.example/mulberryspoke/spokequarantine"
	"mulberryspoke.example/mulberryspoke/spokethrottle"
	"mulberryspoke.example/mulberryspoke/spoketrace"
)

// Kind is the kind of an error of this package.
type Kind string

const (
	// KindUnreachable means that the peer did not respond.
	KindUnreachable Kind = "unreachable"
	// KindUnknownPeer means that no peer has the given name.
	KindUnknownPeer Kind = "unknown_peer"
	// KindMalformed means that a message could not be read.
	KindMalformed Kind = "malformed"
)

const (
	linkUpdateInterval   = 250 * spokeclock.Millis(1)
	suspectCheckInterval = 500 * spokeclock.Millis(1)
	callTimeout          = spokeclock.Second
	// maxConfigFetches bounds the requests for a configuration that is replaced again and
	// again meanwhile. The next heartbeat of a peer starts new ones.
	maxConfigFetches = 3
	// defaultBaseInterval is the default of Node.BaseInterval.
	defaultBaseInterval = 500 * spokeclock.Millis(1)
	// maxBaseIntervalLinks is the number of links up to which heartbeats are sent
	// at the base interval.
	maxBaseIntervalLinks = 6
	// gatewayIntervalFactor lengthens the time between heartbeats where news of other
	// data centres comes through gateways, as a heartbeat then has more to carry.
	gatewayIntervalFactor = 1.5
	// maxTriggerLinks is the number of links up to which
	// TriggerHeartbeatsIfFewLinks is worth the additional heartbeats.
	maxTriggerLinks = 8
	// acceptRetryDelay is the delay after a failure to accept a connection, such
	// as a lack of file descriptors.
	acceptRetryDelay = 50 * spokeclock.Millis(1)
	// configCheckTimeout is how long a started instance waits for a peer to
	// report whether it has a newer configuration.
	configCheckTimeout = 2 * spokeclock.Second
)

// Node exchanges state with the other entry instances. Set its fields before
// Run.
type Node struct {
	// View receives the state of peers and selects those to link to.
	View *spokemember.View
	// Store holds the configuration that is exchanged with peers.
	Store *spokeconfig.Store
	// Registry holds the state of backend servers that is exchanged with peers.
	Registry *spokebackend.Registry
	// AttemptStateFunc returns the state of an attempt's claim in this process,
	// empty if the attempt is unknown.
	AttemptStateFunc func(attempt string) spokeclaim.State
	// CountsFunc returns this process's counters, which never decrease. Nil means
	// that none are sent.
	CountsFunc func() map[string]int64
	// MergePeerCountsFunc is called at each heartbeat with the counters that have
	// changed in one run of a peer. Nil ignores them.
	MergePeerCountsFunc func(peer string, generation int64, counts map[string]int64)
	// DataCentreCountsFunc returns the sums of the counters of this data centre's
	// instances, and MergeDataCentreCountsFunc is called with the changed sums of
	// another data centre. A new generation means that another instance has summed
	// up. They are used if there are too many peers for links to all of them. Nil
	// disables the exchange.
	DataCentreCountsFunc      func() map[string]int64
	MergeDataCentreCountsFunc func(dataCentre string, generation int64, counts map[string]int64)
	// LocalFilterFunc returns whether the instances of this data centre need a counter
	// of other ones. It is called once for each heartbeat. Nil means that they need all.
	LocalFilterFunc func() (isNeeded func(key string) bool)
	// TableChangesFunc answers the requests of peers that read a table through this
	// process. Nil means that none may.
	TableChangesFunc func(ctx context.Context, request spokefeed.RelayRequest) (spokefeed.RelayUpdate, error)
	// Quarantine holds the requests and parts of prompts that crash backend servers, which are
	// exchanged with peers. Nil means none.
	Quarantine *spokequarantine.Quarantine
	// Throttle holds the limits that backend servers name, which are exchanged with
	// peers. Nil means none.
	Throttle *spokethrottle.Throttle
	// BaseInterval is the time between heartbeats on a link while there are few
	// links. Zero means 500 ms.
	BaseInterval spokeclock.Millis
	// Listener accepts connections from peers. Run closes it.
	Listener net.Listener
	// LinkHeardFunc is called with an accepted connection after the hello and after each
	// heartbeat of a peer, and with the time without a heartbeat after which the link counts
	// as lost. It may be nil.
	LinkHeardFunc func(conn net.Conn, maxSilence spokeclock.Millis)
	// OpenHoldFunc opens the charge of a message, which bounds what all messages hold at a
	// time. Nil means that they are not charged.
	OpenHoldFunc spokehttp.OpenHoldFunc
	// Log receives log messages.
	Log zerolog.Logger

	traffic        Traffic
	draining       atomic.Bool
	handshakeDone  atomic.Bool
	targetCount    atomic.Int64
	startedAt      spokeclock.Millis
	fetchingConfig atomic.Bool
	openedLinks    atomic.Int64
	// receiveMutex is locked while a message changes what is known of a peer, so that none of
	// an earlier connection takes effect after one of a later connection.
	receiveMutex sync.Mutex
	mutex        sync.Mutex
	links        map[string]*link
	// memberTriggers receives a value when the instances have changed.
	memberTriggers chan struct{}
	aggregates     aggregateStore
}

// Traffic returns the counters of all links.
func (n *Node) Traffic() *Traffic { return &n.traffic }

// Run accepts and opens links until ctx ends. It returns after the opened links
// have sent their goodbyes.
func (n *Node) Run(ctx context.Context) {
	n.mutex.Lock()
	n.links = make(map[string]*link)
	n.memberTriggers = make(chan struct{}, 1)
	n.startedAt = n.View.Clock.Now()
	n.mutex.Unlock()
	stop := context.AfterFunc(ctx, func() { _ = n.Listener.Close() })
	defer stop()
	var tasks sync.WaitGroup
	tasks.Go(func() { n.acceptLinks(ctx) })
	tasks.Go(func() { n.keepLinks(ctx) })
	tasks.Go(func() { spokeclock.Every(ctx, suspectCheckInterval, n.removeSuspectedPeers) })
	tasks.Wait()
	n.awaitLinks()
}

// keepLinks updates the links at each interval and when the instances have changed, until
// ctx ends.
func (n *Node) keepLinks(ctx context.Context) {
	ticker := time.NewTicker(linkUpdateInterval.Duration())
	defer ticker.Stop()
	for {
		n.updateLinks(ctx)
		select {
		case <-ticker.C:
		case <-n.memberTriggers:
		case <-ctx.Done():
			return
		}
	}
}

// UpdateLinks makes the node open links to new instances without waiting for the next
// interval.
func (n *Node) UpdateLinks() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.memberTriggers != nil {
		trigger(n.memberTriggers)
	}
}

// HeartbeatInterval returns the time between two heartbeats on a link. It grows
// with the number of links, which bounds the heartbeats sent in a second.
func (n *Node) HeartbeatInterval() spokeclock.Millis {
	base := n.BaseInterval
	if base == 0 {
		base = defaultBaseInterval
	}
	interval := max(base, base*spokeclock.Millis(n.targetCount.Load())/maxBaseIntervalLinks)
	if n.DataCentreCountsFunc != nil && !n.View.IsFullMesh() {
		return spokeclock.Millis(gatewayIntervalFactor * float64(interval))
	}
	return interval
}

// ConfigCheckDone reports whether a peer has reported the revision of its
// configuration, or none has within 2 seconds. Until then, a table that returns
// out-of-date rows could restore a configuration that is no longer in force.
func (n *Node) ConfigCheckDone() bool {
	if n.handshakeDone.Load() {
		return true
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.links != nil && n.View.Clock.Now()-n.startedAt >= configCheckTimeout
}

// AnnounceDrain reports to peers that this instance is shutting down.
func (n *Node) AnnounceDrain() {
	n.draining.Store(true)
	n.TriggerHeartbeats()
}

// TriggerHeartbeats makes every link send a heartbeat after a short delay,
// without waiting for its interval. Triggers within the delay are combined.
func (n *Node) TriggerHeartbeats() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, l := range n.links {
		l.triggerHeartbeat()
	}
}

// SendNews makes every link send what has changed in the quarantine and the throttle.
func (n *Node) SendNews() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, l := range n.links {
		trigger(l.newsTriggers)
	}
}

// TriggerHeartbeatsIfFewLinks calls TriggerHeartbeats if there are only a few
// links, so that peers know of a long answer before they select a server for
// another one.
func (n *Node) TriggerHeartbeatsIfFewLinks() {
	if n.targetCount.Load() <= maxTriggerLinks {
		n.TriggerHeartbeats()
	}
}

// acceptLinks accepts connections from peers until ctx ends.
func (n *Node) acceptLinks(ctx context.Context) {
	for {
		conn, err := n.Listener.Accept()
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			n.Log.Warn().Err(err).Msg("Peer connection could not be accepted.")
			_ = spokeclock.Sleep(ctx, acceptRetryDelay)
			continue
		}
		n.serveConn(ctx, conn)
	}
}

// serveConn handles the messages of a connection in the background until it or
// ctx ends.
func (n *Node) serveConn(ctx context.Context, conn net.Conn) *jsonrpc2.Conn {
	counting := &countingConn{Conn: conn, traffic: &n.traffic}
	stream := jsonrpc2.NewBufferedStream(counting, boundedCodec{openFunc: n.OpenHoldFunc})
	s := &session{node: n, conn: conn}
	handler := concurrentHandler{jsonrpc2.HandlerWithError(s.handle).SuppressErrClosed()}
	rpc := jsonrpc2.NewConn(ctx, stream, handler, jsonrpc2.SetLogger(&n.Log))
	stop := context.AfterFunc(ctx, func() { _ = rpc.Close() })
	// A closed connection must not stay reachable until the process ends.
	counting.setClosed(func() { stop() })
	return rpc
}

// updateLinks opens links to new targets and closes those that are no longer
// targets or have another address.
func (n *Node) updateLinks(ctx context.Context) {
	targets := make(map[string]spokemember.Identity)
	for _, target := range n.View.LinkTargets() {
		targets[target.Name] = target
	}
	n.targetCount.Store(int64(len(targets)))
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for name, l := range n.links {
		if target, isTarget := targets[name]; !isTarget || target.Address != l.target.Address {
			l.cancel()
			delete(n.links, name)
		}
	}
	for name, target := range targets {
		if _, open := n.links[name]; !open {
			n.links[name] = n.openLink(ctx, target)
		}
	}
}

func (n *Node) openLink(ctx context.Context, target spokemember.Identity) *link {
	ctx, cancel := context.WithCancel(ctx)
	l := &link{node: n, target: target, cancel: cancel, triggers: make(chan struct{}, 1), newsTriggers: make(chan struct{}, 1), done: make(chan struct{})}
	go l.run(ctx)
	return l
}

func (n *Node) removeSuspectedPeers() {
	for _, name := range n.View.SuspectedPeers() {
		n.Registry.RemovePeer(name)
	}
}

// awaitLinks waits until the open links have ended.
func (n *Node) awaitLinks() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, l := range n.links {
		<-l.done
	}
}

// AttemptState returns the state of an attempt's claim in the entry instance
// that owns it, empty if the attempt is unknown there. It returns an error of
// kind KindUnreachable or KindUnknownPeer.
func (n *Node) AttemptState(ctx context.Context, owner, attempt string) (spokeclaim.State, error) {
	if owner == n.View.Self.Name {
		return n.AttemptStateFunc(attempt), nil
	}
	identity, exists := n.View.Lookup(owner)
	if !exists {
		return "", spokeerror.Newf("query attempt state", KindUnknownPeer, "no peer is named %s", owner)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	ctx, span := spoketrace.StartSpan(ctx, "peer "+methodAttemptState)
	response, err := n.requestAttemptState(ctx, identity, AttemptRequest{AttemptID: attempt})
	span.End(err)
	if err != nil {
		return "", spokeerror.New("query attempt state", KindUnreachable, err)
	}
	return response.State, nil
}

// TableChanges requests the changes of a table from a peer, on the link to it. It
// returns an error of kind KindUnreachable.
func (n *Node) TableChanges(ctx context.Context, peer string, request spokefeed.RelayRequest) (spokefeed.RelayUpdate, error) {
	n.mutex.Lock()
	l := n.links[peer]
	n.mutex.Unlock()
	if l == nil {
		return spokefeed.RelayUpdate{}, spokeerror.Newf("read table from peer", KindUnreachable, "there is no link to %s", peer)
	}
	rpc := l.rpc.Load()
	if rpc == nil {
		return spokefeed.RelayUpdate{}, spokeerror.Newf("read table from peer", KindUnreachable, "the link to %s is not open", peer)
	}
	update, err := call[spokefeed.RelayUpdate](ctx, rpc, methodTableChanges, request)
	if err != nil {
		return update, spokeerror.New("read table from peer", KindUnreachable, err)
	}
	return update, nil
}

// call sends a request and returns the response. It returns when ctx ends, also while
// the request can't be written because the peer doesn't read.
func call[Response any](ctx context.Context, rpc *jsonrpc2.Conn, method string, request any) (Response, error) {
	type result struct {
		response Response
		err      error
	}
	results := make(chan result, 1)
	go func() {
		var r result
		r.err = rpc.Call(ctx, method, request, &r.response)
		results <- r
	}()
	select {
	case r := <-results:
		return r.response, r.err
	case <-ctx.Done():
		var none Response
		return none, ctx.Err()
	}
}

// requestAttemptState requests the state of an attempt on a connection of its own.
func (n *Node) requestAttemptState(ctx context.Context, identity spokemember.Identity, request AttemptRequest) (AttemptResponse, error) {
	dialer := net.Dialer{}
	conn, err := dialer.DialContext(ctx, "tcp", identity.Address)
	if err != nil {
		return AttemptResponse{}, err
	}
	rpc := n.serveConn(ctx, conn)
	defer func() { _ = rpc.Close() }()
	return call[AttemptResponse](ctx, rpc, methodAttemptState, request)
}

// fetchConfig fetches a newer configuration from a peer, whose label is for log messages. If
// it changes the one in force, heartbeats are triggered to report the new revision. It asks
// again if the configuration was replaced meanwhile, as the response is then based on another
// revision.
func (n *Node) fetchConfig(ctx context.Context, rpc *jsonrpc2.Conn, peer string) {
	if !n.fetchingConfig.CompareAndSwap(false, true) {
		return
	}
	defer n.fetchingConfig.Store(false)
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	for range maxConfigFetches {
		err := n.fetchConfigOnce(ctx, rpc, peer)
		if spokeerror.KindOf[spokeconfig.Kind](err) != spokeconfig.KindGap {
			return
		}
	}
}

// fetchConfigOnce returns the errors of spokeconfig.Store.Merge, and those of the call.
func (n *Node) fetchConfigOnce(ctx context.Context, rpc *jsonrpc2.Conn, peer string) error {
	since := n.Store.Revision()
	delta, err := call[spokeconfig.Delta](ctx, rpc, methodConfigSince, ConfigRequest{SinceRevision: since})
	if err != nil {
		return err
	}
	log := n.Log.With().Str("peer", peer).Int64("since", int64(since)).Int64("from", int64(delta.From)).Int64("revision", int64(delta.To)).Int("items", len(delta.Items)).Logger()
	changed, err := n.Store.Merge(delta)
	if err != nil {
		log.Warn().Err(err).Msg("Configuration from a peer was rejected.")
		return err
	}
	if changed {
		log.Info().Str("digest", n.Store.Current().Digest()).Msg("Configuration updated from a peer.")
		n.TriggerHeartbeats()
	}
	return nil
}
