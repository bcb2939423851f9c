package spokepeer

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"mulberryspoke.example/mulberryspoke/spokebackend"
	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeconfig"
	"mulberryspoke.example/mulberryspoke/spokehttp"
	"mulberryspoke.example/mulberryspoke/spokemember"
)

const (
	minRedialDelay = 100 * spokeclock.Millis(1)
	maxRedialDelay = 2 * spokeclock.Second
	// summaryTurnRange is the range of the random summaryTurn that a connection
	// starts with.
	summaryTurnRange = 1000
	// triggerDelay is the delay of a triggered heartbeat. Any number of triggers
	// within it cause one more heartbeat.
	triggerDelay = 40 * spokeclock.Millis(1)
	// newsDelay is the least time between two sendings of news on a link, which bounds
	// what crashes of many servers cost.
	newsDelay = 100 * spokeclock.Millis(1)
	// heartbeatsPerSummary is the number of heartbeats in which one unchanged
	// data-centre summary is repeated.
	heartbeatsPerSummary = 2
	dialTimeout          = 700 * spokeclock.Millis(1)
)

// link is the outgoing connection to one peer. A goroutine of its own keeps it
// open and sends heartbeats.
type link struct {
	node     *Node
	target   spokemember.Identity
	cancel   context.CancelFunc
	triggers chan struct{}
	// newsTriggers receives a value when there is news of a source.
	newsTriggers chan struct{}
	done         chan struct{}
	// rpc is the open connection, or nil.
	rpc atomic.Pointer[jsonrpc2.Conn]

	// The state that the peer has been sent on the current connection.
	sentInFlight  map[spokebackend.ID]spokebackend.InFlight
	sentRemovals  map[string]int64
	sentSummaries map[string]spokemember.DataCentreSummary
	// summaryTurn counts heartbeats and so selects the unchanged summary to
	// repeat.
	summaryTurn    int
	sentInterval   spokeclock.Millis
	sentSlots      map[spokebackend.ID]int
	sentCounts     map[string]int64
	sentAggregates map[aggregateKey]map[string]int64
	// sentNews has the number of the last change of each source of news, by method.
	sentNews map[string]int64
}

// triggerHeartbeat makes the link send a heartbeat before its interval ends.
func (l *link) triggerHeartbeat() { trigger(l.triggers) }

// trigger sends a value unless one is waiting.
func trigger(triggers chan<- struct{}) {
	select {
	case triggers <- struct{}{}:
	default:
	}
}

// run connects to the peer and sends heartbeats until ctx ends. It reconnects
// after a failure, with an exponential delay.
func (l *link) run(ctx context.Context) {
	defer close(l.done)
	delay := minRedialDelay
	for ctx.Err() == nil {
		if l.runConnection(ctx) {
			delay = minRedialDelay
		} else {
			l.node.View.RecordLinkFailure(l.target.Name)
		}
		if spokeclock.Sleep(ctx, delay) != nil {
			return
		}
		delay = min(2*delay, maxRedialDelay)
	}
}

// runConnection connects to the peer and sends heartbeats until the connection
// fails or ctx ends. It reports whether the handshake succeeded.
func (l *link) runConnection(ctx context.Context) bool {
	dialer := spokehttp.NewDialer(dialTimeout)
	conn, err := dialer.DialContext(ctx, "tcp", l.target.Address)
	if err != nil {
		return false
	}
	// The goodbye is sent after ctx has ended.
	rpc := l.node.serveConn(context.WithoutCancel(ctx), conn)
	defer func() { _ = rpc.Close() }()
	if !l.handshake(ctx, rpc) {
		return false
	}
	l.node.Log.Debug().Str("peer", peerLabel(l.target)).Msg("Peer link opened.")
	trigger(l.newsTriggers)
	l.rpc.Store(rpc)
	defer l.rpc.Store(nil)
	l.sendHeartbeats(ctx, rpc)
	return true
}

// handshake exchanges Hello messages, fetches the peer's configuration if it is
// newer, and resets what has been sent on the link. It reports whether the peer
// responded.
func (l *link) handshake(ctx context.Context, rpc *jsonrpc2.Conn) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	hello := l.node.helloMessage()
	hello.Link = l.node.openedLinks.Add(1)
	response, err := call[Hello](ctx, rpc, methodHello, hello)
	if err != nil {
		return false
	}
	response, _ = response.bounded()
	l.node.View.MergeDataCentres(response.DataCentres)
	if response.Revision > l.node.Store.Revision() {
		l.node.fetchConfig(ctx, rpc, peerLabel(l.target))
	}
	if response.Revision <= l.node.Store.Revision() {
		l.node.handshakeDone.Store(true)
	}
	l.sentInterval = 0
	l.sentSlots = make(map[spokebackend.ID]int)
	l.sentCounts = make(map[string]int64)
	l.sentAggregates = nil
	l.sentNews = make(map[string]int64)
	l.sentInFlight = make(map[spokebackend.ID]spokebackend.InFlight)
	l.sentRemovals = make(map[string]int64)
	l.sentSummaries = make(map[string]spokemember.DataCentreSummary)
	l.summaryTurn = rand.IntN(summaryTurnRange) //nolint:gosec // Only makes links start at different summaries.
	return true
}

// sendHeartbeats sends a heartbeat at each interval and after each trigger,
// until the connection fails or ctx ends. When ctx ends it sends a goodbye.
func (l *link) sendHeartbeats(ctx context.Context, rpc *jsonrpc2.Conn) {
	for {
		if rpc.Notify(context.Background(), methodHeartbeat, l.nextHeartbeat()) != nil {
			return
		}
		l.node.traffic.sentHeartbeats.Add(1)
		if !l.awaitNextHeartbeat(ctx, rpc) {
			return
		}
		if ctx.Err() != nil {
			_ = rpc.Notify(context.Background(), methodGoodbye, struct{}{})
			return
		}
	}
}

// awaitNextHeartbeat waits until the next heartbeat is due or ctx ends. It
// reports false when the connection has failed.
func (l *link) awaitNextHeartbeat(ctx context.Context, rpc *jsonrpc2.Conn) bool {
	timer := time.NewTimer(l.node.HeartbeatInterval().Duration())
	defer timer.Stop()
	for {
		select {
		case <-rpc.DisconnectNotify():
			return false
		case <-l.newsTriggers:
			if !l.sendNews(ctx, rpc) {
				return false
			}
			continue
		case <-l.triggers:
			_ = spokeclock.Sleep(ctx, triggerDelay)
		case <-timer.C:
		case <-ctx.Done():
		}
		return true
	}
}

// sendNews sends the changes of all sources of news, at most one message of each in
// newsDelay. It reports false when the connection has failed.
func (l *link) sendNews(ctx context.Context, rpc *jsonrpc2.Conn) bool {
	isLocal := l.node.isLinkedToAll(l.target.DataCentre)
	isSent := false
	for _, source := range l.node.newsSources() {
		batch := source.nextFunc(l.sentNews[source.method], isLocal)
		l.sentNews[source.method] = batch.last
		if batch.isEmpty {
			continue
		}
		if rpc.Notify(context.Background(), source.method, batch.message) != nil {
			return false
		}
		isSent = true
		if batch.hasMore {
			trigger(l.newsTriggers)
		}
	}
	if isSent {
		_ = spokeclock.Sleep(ctx, newsDelay)
	}
	return true
}

// nextHeartbeat returns the next heartbeat and records its contents as sent.
func (l *link) nextHeartbeat() Heartbeat {
	revision := l.node.Store.Revision()
	removals, generations := l.newRemovals()
	return Heartbeat{
		Revision:           revision,
		Interval:           l.changedInterval(),
		Draining:           l.node.draining.Load(),
		InFlight:           l.changedInFlight(),
		Slots:              l.changedSlots(),
		Removals:           removals,
		RemovedGenerations: generations,
		DataCentres:        l.nextSummaries(revision),
		Counts:             l.changedCounts(),
		DataCentreCounts:   l.changedAggregates(),
	}
}

// changedCounts returns the counters that have changed since the last
// heartbeat.
func (l *link) changedCounts() map[string]int64 {
	if l.node.CountsFunc == nil {
		return nil
	}
	counts := l.node.CountsFunc()
	changed := changedEntries(l.sentCounts, counts)
	l.sentCounts = counts
	return changed
}

// changedEntries returns the entries of current that are missing from previous
// or have another value there.
func changedEntries[K, V comparable](previous, current map[K]V) map[K]V {
	changed := make(map[K]V)
	for key, value := range current {
		if previous[key] != value {
			changed[key] = value
		}
	}
	return changed
}

// changedInterval returns the time between heartbeats, or zero if it is the
// same as at the last heartbeat.
func (l *link) changedInterval() spokeclock.Millis {
	interval := l.node.HeartbeatInterval()
	if interval == l.sentInterval {
		return 0
	}
	l.sentInterval = interval
	return interval
}

// changedInFlight returns the servers whose requests in flight have changed
// since the last heartbeat. A server that no longer has any is included with a
// zero value.
func (l *link) changedInFlight() InFlightByServer {
	inFlight := InFlightByServer(l.node.Registry.LocalInFlight()).withoutOutdatedPrefill(l.node.HeartbeatInterval())
	changed := changedEntries(l.sentInFlight, inFlight)
	for id := range l.sentInFlight {
		if _, exists := inFlight[id]; !exists {
			changed[id] = spokebackend.InFlight{}
		}
	}
	l.sentInFlight = inFlight
	return changed
}

// changedSlots returns the slots of the servers whose load reports this
// instance reads, as far as they differ from those sent. They are in the field
// Requests.
func (l *link) changedSlots() InFlightByServer {
	changed := make(InFlightByServer)
	for id, slots := range changedEntries(l.sentSlots, l.node.Registry.ReportedSlots()) {
		changed[id] = spokebackend.InFlight{Requests: slots}
		l.sentSlots[id] = slots
	}
	return changed
}

// newRemovals returns the servers that have been marked for removal since the
// last heartbeat, with the time until they are gone and their generations, where
// known.
func (l *link) newRemovals() (map[string]spokeclock.Millis, map[string]int64) {
	removals := make(map[string]spokeclock.Millis)
	generations := make(map[string]int64)
	for name, removal := range l.node.Registry.Removals() {
		if generation, sent := l.sentRemovals[name]; sent && generation == removal.Generation {
			continue
		}
		l.sentRemovals[name] = removal.Generation
		removals[name] = removal.Remaining
		if removal.Generation != 0 {
			generations[name] = removal.Generation
		}
	}
	return removals, generations
}

// nextSummaries returns the data-centre summaries to send: that of this data
// centre, those that have changed and, at every second heartbeat, one unchanged
// summary in turn, so that the peer knows how old each is. A peer in this data
// centre is not sent its summary, since it has its own.
func (l *link) nextSummaries(revision spokeconfig.Revision) []spokemember.DataCentreSummary {
	summaries := l.node.View.DataCentresAt(revision)
	local := l.node.View.Self.DataCentre
	if l.target.DataCentre == local {
		summaries = slices.DeleteFunc(summaries, func(s spokemember.DataCentreSummary) bool { return s.DataCentre == local })
	}
	if len(summaries) == 0 {
		return nil
	}
	var selected []spokemember.DataCentreSummary
	l.summaryTurn = (l.summaryTurn + 1) % (heartbeatsPerSummary * len(summaries))
	for i, summary := range summaries {
		sent := l.sentSummaries[summary.DataCentre]
		changed := sent.Revision != summary.Revision || sent.Instances != summary.Instances
		isLocal := summary.DataCentre == local
		if changed || isLocal || i*heartbeatsPerSummary == l.summaryTurn {
			selected = append(selected, summary)
			l.sentSummaries[summary.DataCentre] = summary
		}
	}
	return selected
}
