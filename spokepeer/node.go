package spokepeer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/jsonrpc2"

	"mulberryspoke.example/mulberryspoke/spokebackend"
	"mulberryspoke.example/mulberryspoke/spokeclaim"
	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeconfig"
	"mulberryspoke.example/mulberryspoke/spokeerror"
	"mulberryspoke.example/mulberryspoke/spokemember"
	"mulberryspoke.example/mulberryspoke/spoketrace"
)

// Kind is the kind of an error of this package.
type Kind string

const (
	// KindUnreachable says that the peer did not answer.
	KindUnreachable Kind = "unreachable"
	// KindUnknownPeer says that no peer has that name.
	KindUnknownPeer Kind = "unknown_peer"
)

const (
	linkInterval   = 250 * spokeclock.Millis(1)
	forgetInterval = 500 * spokeclock.Millis(1)
	callTimeout    = spokeclock.Second
	// heartbeatBase is the time between heartbeats on each of a few links.
	heartbeatBase = 500 * spokeclock.Millis(1)
	// heartbeatLinks is the number of links up to which it holds.
	heartbeatLinks = 6
	// nudgeLinks is the number of links up to which a nudge is worth its cost.
	nudgeLinks = 8
	// acceptPause is the wait after a failure to accept, as for want of file
	// descriptors.
	acceptPause = 50 * spokeclock.Millis(1)
	// confirmWithin is how long a started instance waits to hear from a peer
	// whether its configuration is the newest.
	confirmWithin = 2 * spokeclock.Second
)

// Node speaks to the other entry instances. Set its fields before Run.
type Node struct {
	// View takes what is heard and says whom to link to.
	View *spokemember.View
	// Store gives and takes configurations.
	Store *spokeconfig.Store
	// Registry gives and takes the state of backend servers.
	Registry *spokebackend.Registry
	// AttemptStateFunc answers what this process knows of an attempt.
	AttemptStateFunc func(attempt string) spokeclaim.State
	// CountsFunc returns this process's counters, which only grow. Nil means
	// that it shares none.
	CountsFunc func() map[string]int64
	// MergePeerCountsFunc takes in the counters of one run of a peer that have
	// changed, at each heartbeat.
	MergePeerCountsFunc func(peer string, generation int64, counts map[string]int64)
	// BaseInterval is the time between heartbeats on each of a few links. Zero means
	// 500 ms.
	BaseInterval spokeclock.Millis
	// Listener takes peers' links. Run closes it.
	Listener net.Listener
	// Log takes the log lines.
	Log zerolog.Logger

	traffic  Traffic
	draining atomic.Bool
	greeted  atomic.Bool
	wanted   atomic.Int64
	started  spokeclock.Millis
	pulling  atomic.Bool
	mutex    sync.Mutex
	links    map[string]*link
}

// Traffic returns the counters of all links.
func (n *Node) Traffic() *Traffic { return &n.traffic }

// Run keeps links until ctx ends, then says goodbye.
func (n *Node) Run(ctx context.Context) {
	n.mutex.Lock()
	n.links = make(map[string]*link)
	n.started = n.View.Clock.Now()
	n.mutex.Unlock()
	stop := context.AfterFunc(ctx, func() { _ = n.Listener.Close() })
	defer stop()
	var duties sync.WaitGroup
	duties.Go(func() { n.accept(ctx) })
	duties.Go(func() { spokeclock.Every(ctx, linkInterval, func() { n.relink(ctx) }) })
	duties.Go(func() { spokeclock.Every(ctx, forgetInterval, n.forgetSilent) })
	duties.Wait()
	n.closeLinks()
}

// heartbeatInterval returns the time between two heartbeats on a link. It
// grows with the number of links, so that the cost of all of them is bounded.
func (n *Node) heartbeatInterval() spokeclock.Millis {
	base := n.BaseInterval
	if base == 0 {
		base = heartbeatBase
	}
	return max(base, base*spokeclock.Millis(n.wanted.Load())/heartbeatLinks)
}

// ConfigCheckDone reports whether a peer has said how new its configuration is, or
// none did in time. Before that, a table that answers from the past could
// bring back a configuration that is no longer in force.
func (n *Node) ConfigCheckDone() bool {
	if n.greeted.Load() {
		return true
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.links != nil && n.View.Clock.Now()-n.started >= confirmWithin
}

// AnnounceDrain tells peers that this instance shuts down.
func (n *Node) AnnounceDrain() {
	n.draining.Store(true)
	n.TriggerHeartbeats()
}

// TriggerHeartbeats sends a heartbeat on every link at once.
func (n *Node) TriggerHeartbeats() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, l := range n.links {
		l.wake()
	}
}

// TriggerHeartbeatsIfFewLinks sends a heartbeat on every link soon, if there are only a few, so that
// peers hear of a long answer before they choose a server for another.
func (n *Node) TriggerHeartbeatsIfFewLinks() {
	if n.wanted.Load() <= nudgeLinks {
		n.TriggerHeartbeats()
	}
}

func (n *Node) accept(ctx context.Context) {
	for {
		conn, err := n.Listener.Accept()
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			n.Log.Warn().Err(err).Msg("Link could not be accepted.")
			_ = spokeclock.Sleep(ctx, acceptPause)
			continue
		}
		n.serve(ctx, conn)
	}
}

func (n *Node) serve(ctx context.Context, conn net.Conn) *jsonrpc2.Conn {
	stream := jsonrpc2.NewBufferedStream(&countedConn{Conn: conn, traffic: &n.traffic}, jsonrpc2.VarintObjectCodec{})
	s := &session{node: n}
	handler := jsonrpc2.HandlerWithError(s.handle).SuppressErrClosed()
	rpc := jsonrpc2.NewConn(ctx, stream, handler, jsonrpc2.SetLogger(&n.Log))
	context.AfterFunc(ctx, func() { _ = rpc.Close() })
	return rpc
}

// relink opens links to new targets and closes those no longer wanted.
func (n *Node) relink(ctx context.Context) {
	wanted := make(map[string]spokemember.Identity)
	for _, target := range n.View.LinkTargets() {
		wanted[target.Name] = target
	}
	n.wanted.Store(int64(len(wanted)))
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for name, l := range n.links {
		if target, still := wanted[name]; !still || target.Address != l.target.Address {
			l.stop()
			delete(n.links, name)
		}
	}
	for name, target := range wanted {
		if _, open := n.links[name]; !open {
			n.links[name] = n.open(ctx, target)
		}
	}
}

func (n *Node) open(ctx context.Context, target spokemember.Identity) *link {
	ctx, cancel := context.WithCancel(ctx)
	l := &link{node: n, target: target, stop: cancel, wakes: make(chan struct{}, 1), done: make(chan struct{})}
	go l.run(ctx)
	return l
}

func (n *Node) forgetSilent() {
	for _, name := range n.View.SuspectedPeers() {
		n.Registry.RemovePeer(name)
	}
}

func (n *Node) closeLinks() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, l := range n.links {
		<-l.done
	}
}

// AttemptState asks a peer what it knows of an attempt. It returns an error of
// kind KindUnreachable or KindUnknownPeer.
func (n *Node) AttemptState(ctx context.Context, owner, attempt string) (spokeclaim.State, error) {
	if owner == n.View.Self.Name {
		return n.AttemptStateFunc(attempt), nil
	}
	identity, known := n.View.Lookup(owner)
	if !known {
		return "", spokeerror.Newf("ask peer", KindUnknownPeer, "%s", owner)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	ctx, span := spoketrace.StartSpan(ctx, "peer "+methodAttemptState)
	var reply AttemptResponse
	err := n.callOnce(ctx, identity, methodAttemptState, AttemptRequest{AttemptID: attempt}, &reply)
	span.End(err)
	if err != nil {
		return "", spokeerror.New("ask peer", KindUnreachable, err)
	}
	return reply.State, nil
}

func (n *Node) callOnce(ctx context.Context, identity spokemember.Identity, method string, request, reply any) error {
	dialer := net.Dialer{}
	conn, err := dialer.DialContext(ctx, "tcp", identity.Address)
	if err != nil {
		return err
	}
	rpc := n.serve(ctx, conn)
	defer func() { _ = rpc.Close() }()
	return rpc.Call(ctx, method, request, reply)
}

// pull fetches a newer configuration from a peer and passes it on.
func (n *Node) pull(ctx context.Context, rpc *jsonrpc2.Conn) {
	if !n.pulling.CompareAndSwap(false, true) {
		return
	}
	defer n.pulling.Store(false)
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	var delta spokeconfig.Delta
	if err := rpc.Call(ctx, methodConfigSince, ConfigRequest{SinceRevision: n.Store.Revision()}, &delta); err != nil {
		return
	}
	changed, err := n.Store.Merge(delta)
	if err != nil {
		n.Log.Warn().Err(err).Msg("Configuration from a peer was refused.")
		return
	}
	if changed {
		n.Log.Info().Int64("revision", int64(delta.To)).Msg("Configuration taken from a peer.")
		n.TriggerHeartbeats()
	}
}
