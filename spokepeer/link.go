package spokepeer

import (
	"context"
	"net"

	"github.com/sourcegraph/jsonrpc2"

	"mulberryspoke.example/mulberryspoke/spokebackend"
	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeconfig"
	"mulberryspoke.example/mulberryspoke/spokemember"
)

const (
	redialStart = 100 * spokeclock.Millis(1)
	redialLimit = 2 * spokeclock.Second
	dialTimeout = 700 * spokeclock.Millis(1)
	// placesEach is how many unchanged summaries go into one heartbeat.
	placesEach = 2
)

// link is the outgoing side to one peer, with a goroutine of its own.
type link struct {
	node   *Node
	target spokemember.Identity
	stop   context.CancelFunc
	wakes  chan struct{}
	done   chan struct{}

	sentUses    map[string]spokebackend.Use
	sentLeaving map[string]struct{}
	sentPlaces  map[string]spokemember.Place
	turn        int
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
			l.node.View.Failed(l.target.Name)
		}
		if spokeclock.Sleep(ctx, pause) != nil {
			return
		}
		pause = min(2*pause, redialLimit)
	}
}

// session reports whether the link was opened.
func (l *link) session(ctx context.Context) bool {
	dialer := net.Dialer{Timeout: dialTimeout.Duration()}
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
	l.node.View.TakePlaces(reply.Places)
	if reply.Revision > l.node.Store.Revision() {
		l.node.pull(ctx, rpc)
	}
	l.node.greeted.Store(true)
	l.sentUses = make(map[string]spokebackend.Use)
	l.sentLeaving = make(map[string]struct{})
	l.sentPlaces = make(map[string]spokemember.Place)
	return true
}

// beat sends heartbeats at the interval and whenever woken.
func (l *link) beat(ctx context.Context, rpc *jsonrpc2.Conn) {
	broken := rpc.DisconnectNotify()
	for {
		if rpc.Notify(context.Background(), methodHeartbeat, l.heartbeat()) != nil {
			return
		}
		l.node.traffic.messages.Add(1)
		pause, cancel := context.WithTimeout(ctx, l.node.Interval.Duration())
		select {
		case <-broken:
			cancel()
			return
		case <-l.wakes:
		case <-pause.Done():
		}
		cancel()
		if ctx.Err() != nil {
			_ = rpc.Notify(context.Background(), methodGoodbye, struct{}{})
			return
		}
	}
}

func (l *link) heartbeat() Heartbeat {
	revision := l.node.Store.Revision()
	return Heartbeat{
		Revision: revision,
		Draining: l.node.draining.Load(),
		Uses:     l.changedUses(),
		Leaving:  l.newLeaving(),
		Places:   l.somePlaces(revision),
	}
}

// changedUses returns what changed since the last heartbeat of the link.
func (l *link) changedUses() map[string]spokebackend.Use {
	current := l.node.Registry.OwnUse()
	changed := make(map[string]spokebackend.Use)
	for name, use := range current {
		if l.sentUses[name] != use {
			changed[name] = use
		}
	}
	for name := range l.sentUses {
		if _, still := current[name]; !still {
			changed[name] = spokebackend.Use{}
		}
	}
	l.sentUses = current
	return changed
}

func (l *link) newLeaving() map[string]spokeclock.Millis {
	fresh := make(map[string]spokeclock.Millis)
	for name, left := range l.node.Registry.Leaving() {
		if _, sent := l.sentLeaving[name]; !sent {
			fresh[name] = left
			l.sentLeaving[name] = struct{}{}
		}
	}
	return fresh
}

// somePlaces returns the summaries that changed and, in turn, a few that did
// not, so that their age is known.
func (l *link) somePlaces(revision spokeconfig.Revision) []spokemember.Place {
	places := l.node.View.PlacesAt(revision)
	var chosen []spokemember.Place
	for i, place := range places {
		old := l.sentPlaces[place.DataCentre]
		changed := old.Revision != place.Revision || old.Instances != place.Instances
		due := (i-l.turn+len(places))%len(places) < placesEach
		if changed || due {
			chosen = append(chosen, place)
			l.sentPlaces[place.DataCentre] = place
		}
	}
	l.turn = (l.turn + placesEach) % len(places)
	return chosen
}
