package spokethrottle

import (
	"sync"
	"sync/atomic"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokenews"
)

const (
	// concurrentAge is the time within which two statements of a server, told by
	// different instances, can't be ordered, as messages take time. The lower one counts.
	concurrentAge = 500 * spokeclock.Millis(1)
	// refreshInterval is the time after which peers are told again of an unchanged
	// limit, so that they know that its server is still being sent requests.
	refreshInterval = spokeclock.Second
	// hearsayRetention is how long the limit that peers were told holds although an
	// answer to this instance, which was never told one, names none. A server may tell
	// some instances only.
	hearsayRetention = 30 * spokeclock.Second
	// endedRetention is how long the end of a limit is told to peers.
	endedRetention = 10 * spokeclock.Second
	// goneAfter is the age of the last statement from which a server counts as gone. It is
	// several times the longest time between two requests to a limited server.
	goneAfter = 2 * 60 * spokeclock.Second

	maxServers   = 1024
	maxNameBytes = 256
)

// Server is one run of a backend server.
type Server struct {
	Name       string
	Generation int64
}

// Throttle holds the limits of all servers. Set its fields before the first call. It is
// safe for concurrent use.
type Throttle struct {
	// Clock is the time source. Nil means the system clock.
	Clock *spokeclock.Clock
	// MembersFunc returns the instances among which the limit of a server is divided.
	MembersFunc func(server string) Members
	// ChangedFunc is called when there is news for peers. It may be nil.
	ChangedFunc func()
	// LimitChangedFunc is called when a limit has changed or ended. It may be nil.
	LimitChangedFunc func(server Server, limit Limit)

	// knownCount is the number of entries in servers. While there are none, requests
	// don't wait for the mutex.
	knownCount atomic.Int64
	mutex      sync.Mutex
	servers    map[Server]*serverState
	changes    spokenews.Log[Server]
}

// Limit is a server's last statement.
type Limit struct {
	// IsNamed is false if the server no longer names a limit.
	IsNamed bool
	// PerSecond is the number of requests a second of all instances together.
	PerSecond float64
}

// isBelow reports whether a limit allows less than another one.
func (l Limit) isBelow(other Limit) bool {
	return l.IsNamed && (!other.IsNamed || l.PerSecond < other.PerSecond)
}

// serverState is what is known of one server's limit.
type serverState struct {
	server Server
	statement
	// wasTold is whether the server has ever named a limit to this instance.
	wasTold bool
	// changedAt is when the limit last changed, and toldAt when peers were last told.
	changedAt spokeclock.Millis
	toldAt    spokeclock.Millis
	bucket    bucket
}

// statement is what a server has last said in an answer to any instance.
type statement struct {
	limit Limit
	at    spokeclock.Millis
	// isOwn is whether the answer was to this instance.
	isOwn bool
}

// RecordAnswer records what an answer of a server to this instance says. IsAuthentic is
// whether the answer is known to be the server's own, so that it says something even if
// it names no limit.
func (t *Throttle) RecordAnswer(server Server, limit Limit, isAuthentic bool) {
	if !limit.IsNamed && (!isAuthentic || t.knownCount.Load() == 0) {
		return
	}
	now := t.Clock.Now()
	t.update(func() (changed *serverState, isNews bool) {
		s := t.servers[server]
		if s == nil && limit.IsNamed {
			s = t.add(server, now)
		}
		if s == nil || (!limit.IsNamed && s.keepsLimit(now)) {
			return nil, false
		}
		if !limit.IsNamed && s.isOver(now) {
			t.remove(server)
			return nil, false
		}
		return t.state(s, statement{limit: limit, at: now, isOwn: true})
	})
}

// state stores a statement to this instance, of which peers are told if it is new or
// they haven't been told for a while.
func (t *Throttle) state(s *serverState, own statement) (changed *serverState, isNews bool) {
	if s.limit != own.limit {
		changed, s.changedAt = s, own.at
	}
	s.wasTold = s.wasTold || own.limit.IsNamed
	s.statement = own
	if changed == nil && own.at-s.toldAt < refreshInterval {
		return nil, false
	}
	s.toldAt = own.at
	t.changes.Record(s.server, true)
	return changed, true
}

// keepsLimit reports whether the limit holds although an answer to this instance has
// named none.
func (s *serverState) keepsLimit(now spokeclock.Millis) bool {
	return s.limit.IsNamed && !s.wasTold && now-s.at < hearsayRetention
}

// isOver reports whether the limit has ended so long ago that peers know.
func (s *serverState) isOver(now spokeclock.Millis) bool {
	return !s.limit.IsNamed && now-s.changedAt > endedRetention
}

// Take reports whether this instance may send one more request to a server now, and if so
// counts it.
func (t *Throttle) Take(server Server) bool {
	if t.knownCount.Load() == 0 {
		return true
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	s := t.servers[server]
	if s == nil || !s.limit.IsNamed {
		return true
	}
	now := t.Clock.Now()
	t.refill(s, now)
	return s.bucket.take(now)
}

// IsExhausted reports whether this instance may send no request to a server now.
func (t *Throttle) IsExhausted(server Server) bool {
	if t.knownCount.Load() == 0 {
		return false
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	s := t.servers[server]
	if s == nil || !s.limit.IsNamed {
		return false
	}
	t.refill(s, t.Clock.Now())
	return !s.bucket.hasToken()
}

// LimitedCount returns the number of servers with a limit that have answered lately.
func (t *Throttle) LimitedCount() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now, count := t.Clock.Now(), 0
	for _, s := range t.servers {
		if s.limit.IsNamed && now-s.at < goneAfter {
			count++
		}
	}
	return count
}

// refill brings the bucket of a server up to date.
func (t *Throttle) refill(s *serverState, now spokeclock.Millis) {
	if s.bucket.needsPart(s.limit, now) {
		s.bucket.part = partOf(s.limit.PerSecond, t.MembersFunc(s.server.Name))
		s.bucket.limit, s.bucket.dividedAt = s.limit, now
	}
	s.bucket.refill(s.statement, now)
}

// update runs changeFunc with the mutex held and reports what has changed.
func (t *Throttle) update(changeFunc func() (changed *serverState, isNews bool)) {
	t.mutex.Lock()
	if t.servers == nil {
		t.servers = make(map[Server]*serverState)
	}
	changed, isNews := changeFunc()
	var server Server
	var limit Limit
	if changed != nil {
		server, limit = changed.server, changed.limit
	}
	t.knownCount.Store(int64(len(t.servers)))
	t.mutex.Unlock()
	if changed != nil && t.LimitChangedFunc != nil {
		t.LimitChangedFunc(server, limit)
	}
	if isNews && t.ChangedFunc != nil {
		t.ChangedFunc()
	}
}

// add adds a server without a statement, in place of the one whose statement is oldest if
// there are too many. Later runs of a server replace earlier ones.
func (t *Throttle) add(server Server, now spokeclock.Millis) *serverState {
	var oldest *serverState
	for other, s := range t.servers {
		isReplaced := other.Name == server.Name && other.Generation < server.Generation
		if isReplaced || s.isOver(now) || now-s.at > goneAfter {
			t.remove(other)
			continue
		}
		if oldest == nil || s.at < oldest.at {
			oldest = s
		}
	}
	if len(t.servers) >= maxServers {
		t.remove(oldest.server)
	}
	s := &serverState{server: server}
	s.bucket.refilledAt = now
	t.servers[server] = s
	return s
}

func (t *Throttle) remove(server Server) {
	delete(t.servers, server)
	t.changes.Forget(server)
}
