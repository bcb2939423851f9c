package spokepeer

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"mulberryspoke.example/mulberryspoke/spokebackend"
	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeconfig"
	"mulberryspoke.example/mulberryspoke/spokehttp"
	"mulberryspoke.example/mulberryspoke/spokemember"
)

const (
	redialStart = 100 * spokeclock.Millis(1)
	redialLimit = 2 * spokeclock.Second
	turnStart   = 1000
	// wakeSpacing is the time in which wakes are gathered for one heartbeat.
	wakeSpacing = 40 * spokeclock.Millis(1)
	// placesBeats is the number of heartbeats for each unchanged summary.
	placesBeats = 2
	dialTimeout = 700 * spokeclock.Millis(1)
)

// link is the outgoing side to one peer, with a goroutine of its own.
type link struct {
	node   *Node
	target spokemember.Identity
	stop   context.CancelFunc
	wakes  chan struct{}
	done   chan struct{}

	sentUses    map[spokebackend.ID]spokebackend.InFlight
	sentLeaving map[string]struct{}
	sentPlaces  map[string]spokemember.DataCentreSummary
	turn        int

	sentInterval spokeclock.Millis
	sentSlots    map[spokebackend.ID]int
	sentCounts   map[string]int64
}

func (l *link) wake() {
	select {
	case l.wakes <- struct{}{}:
	default:
	}
}

// run dials, sends heartbeats until the link breaks, and dials again.
func (l *link) run(ctx context.Context) {
	defer close(l.done)
	pause := redialStart
	for ctx.Err() == nil {
		if l.session(ctx) {
			pause = redialStart
		} else {
			l.node.View.RecordLinkFailure(l.target.Name)
		}
		if spokeclock.Sleep(ctx, pause) != nil {
			return
		}
		pause = min(2*pause, redialLimit)
	}
}

// session reports whether the link was opened.
func (l *link) session(ctx context.Context) bool {
	dialer := spokehttp.NewDialer(dialTimeout)
	conn, err := dialer.DialContext(ctx, "tcp", l.target.Address)
	if err != nil {
		return false
	}
	rpc := l.node.serve(context.WithoutCancel(ctx), conn)
	defer func() { _ = rpc.Close() }()
	if !l.greet(ctx, rpc) {
		return false
	}
	l.node.Log.Debug().Str("peer", identityOf(l.target)).Msg("Link opened.")
	l.beat(ctx, rpc)
	return true
}

func (l *link) greet(ctx context.Context, rpc *jsonrpc2.Conn) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	var reply Hello
	if err := rpc.Call(ctx, methodHello, l.node.hello(), &reply); err != nil {
		return false
	}
	l.node.View.MergeDataCentres(reply.DataCentres)
	if reply.Revision > l.node.Store.Revision() {
		l.node.pull(ctx, rpc)
	}
	l.node.greeted.Store(true)
	l.sentInterval = 0
	l.sentSlots = make(map[spokebackend.ID]int)
	l.sentCounts = make(map[string]int64)
	l.sentUses = make(map[spokebackend.ID]spokebackend.InFlight)
	l.sentLeaving = make(map[string]struct{})
	l.sentPlaces = make(map[string]spokemember.DataCentreSummary)
	l.turn = rand.IntN(turnStart) //nolint:gosec // Peers only have to start at different places.
	return true
}

// beat sends heartbeats at the interval and, a little apart, whenever woken.
func (l *link) beat(ctx context.Context, rpc *jsonrpc2.Conn) {
	for {
		if rpc.Notify(context.Background(), methodHeartbeat, l.heartbeat()) != nil {
			return
		}
		l.node.traffic.messages.Add(1)
		if !l.awaitBeat(ctx, rpc) {
			return
		}
		if ctx.Err() != nil {
			_ = rpc.Notify(context.Background(), methodGoodbye, struct{}{})
			return
		}
	}
}

// awaitBeat waits for the next heartbeat and reports false when the link has
// broken.
func (l *link) awaitBeat(ctx context.Context, rpc *jsonrpc2.Conn) bool {
	timer := time.NewTimer(l.node.heartbeatInterval().Duration())
	defer timer.Stop()
	select {
	case <-rpc.DisconnectNotify():
		return false
	case <-l.wakes:
		_ = spokeclock.Sleep(ctx, wakeSpacing)
	case <-timer.C:
	case <-ctx.Done():
	}
	return true
}

func (l *link) heartbeat() Heartbeat {
	revision := l.node.Store.Revision()
	return Heartbeat{
		Revision:    revision,
		Interval:    l.changedInterval(),
		Draining:    l.node.draining.Load(),
		InFlight:    l.changedUses(),
		Slots:       l.newSlots(),
		Removals:    l.newLeaving(),
		DataCentres: l.somePlaces(revision),
		Counts:      l.changedCounts(),
	}
}

// changedCounts returns the counters that changed since the last heartbeat of
// the link.
func (l *link) changedCounts() map[string]int64 {
	if l.node.CountsFunc == nil {
		return nil
	}
	current := l.node.CountsFunc()
	fresh := changed(l.sentCounts, current)
	l.sentCounts = current
	return fresh
}

// changed returns the entries that were not so before.
func changed[K, V comparable](before, now map[K]V) map[K]V {
	fresh := make(map[K]V)
	for key, value := range now {
		if before[key] != value {
			fresh[key] = value
		}
	}
	return fresh
}

// changedInterval returns the time between heartbeats if it has changed since
// the last one of the link, or zero.
func (l *link) changedInterval() spokeclock.Millis {
	interval := l.node.heartbeatInterval()
	if interval == l.sentInterval {
		return 0
	}
	l.sentInterval = interval
	return interval
}

// changedUses returns what changed since the last heartbeat of the link.
func (l *link) changedUses() InFlightByServer {
	current := InFlightByServer(l.node.Registry.LocalInFlight()).lasting(l.node.heartbeatInterval())
	fresh := changed(l.sentUses, current)
	for id := range l.sentUses {
		if _, still := current[id]; !still {
			fresh[id] = spokebackend.InFlight{}
		}
	}
	l.sentUses = current
	return fresh
}

// newSlots returns the servers' slots that this instance has read and the
// peer has not been told.
func (l *link) newSlots() InFlightByServer {
	fresh := make(InFlightByServer)
	for id, slots := range changed(l.sentSlots, l.node.Registry.ReportedSlots()) {
		fresh[id] = spokebackend.InFlight{Requests: slots}
		l.sentSlots[id] = slots
	}
	return fresh
}

func (l *link) newLeaving() map[string]spokeclock.Millis {
	fresh := make(map[string]spokeclock.Millis)
	for name, left := range l.node.Registry.Removals() {
		if _, sent := l.sentLeaving[name]; !sent {
			fresh[name] = left
			l.sentLeaving[name] = struct{}{}
		}
	}
	return fresh
}

// somePlaces returns the summaries that changed and, in turn, one that did
// not, so that their age is known. Within a data centre nobody needs its own.
func (l *link) somePlaces(revision spokeconfig.Revision) []spokemember.DataCentreSummary {
	places := l.node.View.DataCentresAt(revision)
	own := l.node.View.Self.DataCentre
	if l.target.DataCentre == own {
		places = slices.DeleteFunc(places, func(p spokemember.DataCentreSummary) bool { return p.DataCentre == own })
	}
	if len(places) == 0 {
		return nil
	}
	var chosen []spokemember.DataCentreSummary
	l.turn = (l.turn + 1) % (placesBeats * len(places))
	for i, place := range places {
		old := l.sentPlaces[place.DataCentre]
		changed := old.Revision != place.Revision || old.Instances != place.Instances
		home := place.DataCentre == own
		if changed || home || i*placesBeats == l.turn {
			chosen = append(chosen, place)
			l.sentPlaces[place.DataCentre] = place
		}
	}
	return chosen
}
