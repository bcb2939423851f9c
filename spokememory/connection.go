package spokememory

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"mulberryspoke.example/mulberryspoke/spokeclock"
)

const (
	// silentLimit is the time after which a new connection without a byte may be closed
	// for another one. A caller sends its request one round trip after it has connected.
	silentLimit = spokeclock.Second
	// headerLimit is the time after which a connection with incomplete headers may be
	// closed for another one. Callers send their headers within 3 s.
	headerLimit = 3 * spokeclock.Second
	// unreadLimit is the time after which a connection on which a write is blocked may be
	// closed for another one. A caller that reads takes a part of a write sooner on any link.
	unreadLimit = 2 * spokeclock.Second
	// freeHeaderBytes is the part of the headers that isn't charged, as it is in the read
	// buffer that each connection has.
	freeHeaderBytes = 4 << 10
	// socketBufferBytes bounds what the kernel holds for a connection in each direction.
	// It is above what a link of 200 Mbit/s has under way in a round trip of 6 ms (150 KB).
	socketBufferBytes = 256 << 10
)

// CloseReason is the reason for the end of a connection.
type CloseReason string

const (
	// CloseIdle means that the connection had no request and another one needed its place.
	CloseIdle CloseReason = "idle"
	// CloseSilent is the same for a connection that has never sent a byte.
	CloseSilent CloseReason = "silent"
	// CloseSlowHeaders is the same for a connection whose headers are late.
	CloseSlowHeaders CloseReason = "slow_headers"
	// CloseNotRead is the same for a connection whose caller has stopped reading its answer.
	CloseNotRead CloseReason = "not_read"
	// CloseSlowRequest is the same for a connection whose request takes too long.
	CloseSlowRequest CloseReason = "slow_request"
	// CloseNoPlace means that a new connection had no place.
	CloseNoPlace CloseReason = "no_place"
	// CloseHeaders means that the budget had no room for the headers.
	CloseHeaders CloseReason = "headers"
)

// ClosedConnection is a decision to close a connection, with its inputs.
type ClosedConnection struct {
	reason CloseReason
	count  int
	age    spokeclock.Millis
}

// Reason returns the reason.
func (c ClosedConnection) Reason() CloseReason { return c.reason }

// Count returns the number of connections.
func (c ClosedConnection) Count() int { return c.count }

// Age returns the time since the connection was in another state.
func (c ClosedConnection) Age() spokeclock.Millis { return c.age }

// ConnectionLimit bounds the connections of a listener. Its fields are set before the first
// call. It is safe for concurrent use.
type ConnectionLimit struct {
	// Limit is the largest number of connections. Zero means no bound.
	Limit int
	// Budget is charged with long headers. Nil means that the connections are not those of
	// callers and nothing is charged.
	Budget *Budget
	// MaxRequestTime is the time after which a connection may be closed for another one
	// while its request is in progress. Zero means never.
	MaxRequestTime spokeclock.Millis
	// HasLinks means that the connections are those of peers, whose end no HTTP server
	// reports to Update.
	HasLinks bool
	// Clock is the source of time. Nil means the real clock.
	Clock *spokeclock.Clock
	// ClosedFunc is called with each connection that is closed. It may be nil.
	ClosedFunc func(ClosedConnection)

	mutex       sync.Mutex
	connections map[*connection]struct{}
}

// phase is what a connection is used for.
type phase int

const (
	// phaseFirstHeaders is before the first request's headers are complete.
	phaseFirstHeaders phase = iota
	// phaseRequest is within a request.
	phaseRequest
	// phaseIdle is after a request, until the headers of the next one are complete.
	phaseIdle
	// phaseLink is after the hello of a peer.
	phaseLink
)

// connection is an accepted connection.
type connection struct {
	net.Conn
	limit  *ConnectionLimit
	header *Reservation
	// headerBytes is the number of bytes of the present headers.
	headerBytes atomic.Int64
	isInRequest atomic.Bool
	// writeBegunAt is the time at which the present write began; 0 if there is none.
	writeBegunAt atomic.Int64
	// headersBegunAt is the time of the first byte of the present headers.
	headersBegunAt atomic.Int64

	// phase and since, the time of its begin or of the last heartbeat, are guarded by the
	// limit's mutex.
	phase phase
	since spokeclock.Millis
	// maxSilence is the time without a heartbeat after which a link counts as lost. It is
	// guarded by the limit's mutex.
	maxSilence spokeclock.Millis
}

// Listener returns a listener of the accepted connections. Connections that have no place
// are closed. An HTTP server must call Update with their states, and the node of a peer
// RecordHeartbeat.
func (l *ConnectionLimit) Listener(inner net.Listener) net.Listener {
	return &limitedListener{Listener: inner, limit: l}
}

type limitedListener struct {
	net.Listener
	limit *ConnectionLimit
}

// Accept returns the next connection that has a place.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.limit.admit(conn); c != nil {
			return c, nil
		}
	}
}

// admit returns the connection, or nil if it has been closed, as it has no place.
func (l *ConnectionLimit) admit(conn net.Conn) net.Conn {
	now := l.Clock.Now()
	c := &connection{Conn: conn, limit: l, header: l.Budget.Open("", -1), phase: phaseFirstHeaders, since: now}
	closed, decision := l.place(c, now)
	if closed != nil {
		_ = closed.Close()
		if l.ClosedFunc != nil {
			l.ClosedFunc(decision)
		}
	}
	if closed == c {
		return nil
	}
	if buffered, ok := conn.(*net.TCPConn); ok && l.Limit > 0 && l.Budget != nil {
		_ = buffered.SetReadBuffer(socketBufferBytes)
		_ = buffered.SetWriteBuffer(socketBufferBytes)
	}
	return c
}

// place adds a connection. If there is no place, it returns the connection that must be
// closed instead, which is c itself if all others are needed.
func (l *ConnectionLimit) place(c *connection, now spokeclock.Millis) (*connection, ClosedConnection) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.connections == nil {
		l.connections = make(map[*connection]struct{})
	}
	if l.Limit <= 0 || len(l.connections) < l.Limit {
		l.connections[c] = struct{}{}
		return nil, ClosedConnection{}
	}
	victim, reason := l.leastNeeded(now)
	decision := ClosedConnection{reason: reason, count: len(l.connections)}
	if victim == nil {
		decision.reason = CloseNoPlace
		return c, decision
	}
	decision.age = now - victim.since
	delete(l.connections, victim)
	l.connections[c] = struct{}{}
	return victim, decision
}

// leastNeeded returns the connection to close for another one, or nil: the one that has
// been idle longest, else the longest silent one, else the one whose headers are latest,
// else one whose caller does not read, else the one whose request takes longest.
func (l *ConnectionLimit) leastNeeded(now spokeclock.Millis) (*connection, CloseReason) {
	var victim *connection
	var reason CloseReason
	for c := range l.connections {
		candidate, mayClose := c.closeReason(now)
		if !mayClose {
			continue
		}
		if victim == nil || closeOrder[candidate] < closeOrder[reason] || candidate == reason && c.since < victim.since {
			victim, reason = c, candidate
		}
	}
	return victim, reason
}

// closeOrder orders the reasons for which a connection is closed for another one.
var closeOrder = map[CloseReason]int{CloseIdle: 0, CloseSilent: 1, CloseSlowHeaders: 2, CloseNotRead: 3, CloseSlowRequest: 4}

// closeReason reports whether the connection may be closed for another one, and why.
func (c *connection) closeReason(now spokeclock.Millis) (CloseReason, bool) {
	age, hasHeaders := now-c.since, c.headerBytes.Load() > 0
	if hasHeaders {
		// The headers of a further request begin after the idle time.
		age = now - spokeclock.Millis(c.headersBegunAt.Load())
	}
	switch {
	case c.phase == phaseRequest && c.isNotRead(now):
		return CloseNotRead, true
	case c.phase == phaseRequest:
		return CloseSlowRequest, c.limit.MaxRequestTime > 0 && age >= c.limit.MaxRequestTime
	case c.phase == phaseLink:
		return CloseIdle, now-c.since > c.maxSilence
	case c.phase == phaseIdle && !hasHeaders:
		return CloseIdle, true
	case !hasHeaders:
		return CloseSilent, age >= silentLimit
	default:
		return CloseSlowHeaders, age >= headerLimit
	}
}

// isNotRead reports whether the other end has taken nothing of a write for too long.
func (c *connection) isNotRead(now spokeclock.Millis) bool {
	begunAt := spokeclock.Millis(c.writeBegunAt.Load())
	return begunAt > 0 && now-begunAt >= unreadLimit
}

// RecordHeartbeat records that the connection is the link of a peer, from which a message
// has just come. It is not closed for another one unless no further message comes for
// maxSilence.
func (l *ConnectionLimit) RecordHeartbeat(conn net.Conn, maxSilence spokeclock.Millis) {
	c, ok := conn.(*connection)
	if !ok {
		return
	}
	c.isInRequest.Store(true)
	now := l.Clock.Now()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	c.phase, c.since, c.maxSilence = phaseLink, now, maxSilence
}

// Update records the state of a connection. It is called by the server's ConnState.
func (l *ConnectionLimit) Update(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*connection)
	if !ok {
		return
	}
	switch state { //nolint:exhaustive // A new connection has been added before.
	case http.StateActive:
		c.isInRequest.Store(true)
		l.setPhase(c, phaseRequest)
	case http.StateIdle:
		c.header.Release()
		c.headerBytes.Store(0)
		c.isInRequest.Store(false)
		l.setPhase(c, phaseIdle)
	case http.StateHijacked, http.StateClosed:
		l.remove(c)
	}
}

func (l *ConnectionLimit) setPhase(c *connection, p phase) {
	now := l.Clock.Now()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	c.phase, c.since = p, now
}

func (l *ConnectionLimit) remove(c *connection) {
	c.header.Release()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.connections, c)
}

// Count returns the number of connections.
func (l *ConnectionLimit) Count() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.connections)
}

// Read reads from the connection and charges long headers.
func (c *connection) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if n > 0 && !c.isInRequest.Load() {
		if chargeErr := c.chargeHeader(int64(n)); chargeErr != nil {
			_ = c.Close()
			return 0, chargeErr
		}
	}
	return n, err
}

// Write writes to the connection and records since when, in case the caller does not read.
func (c *connection) Write(data []byte) (int, error) {
	c.writeBegunAt.Store(int64(max(1, c.limit.Clock.Now())))
	defer c.writeBegunAt.Store(0)
	return c.Conn.Write(data)
}

// chargeHeader charges n further bytes of the headers.
func (c *connection) chargeHeader(n int64) error {
	if c.headerBytes.Load() == 0 {
		c.headersBegunAt.Store(int64(c.limit.Clock.Now()))
	}
	total := c.headerBytes.Add(n)
	over := min(n, total-freeHeaderBytes)
	if over <= 0 {
		return nil
	}
	err := c.header.Grow(over)
	if err != nil && c.limit.ClosedFunc != nil {
		c.limit.ClosedFunc(ClosedConnection{reason: CloseHeaders, count: c.limit.Count()})
	}
	return err
}

// Close closes the connection. That of a peer gives its place back.
func (c *connection) Close() error {
	err := c.Conn.Close()
	if c.limit.HasLinks {
		c.limit.remove(c)
	}
	return err
}

// SetLinger sets what a close does with unsent bytes, as net.TCPConn does.
func (c *connection) SetLinger(seconds int) error {
	if lingering, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return lingering.SetLinger(seconds)
	}
	return nil
}

// CloseWrite sends the end of what is written, as net.TCPConn does. The server uses it when
// it closes a connection whose body it has not read, so that the response is not lost.
func (c *connection) CloseWrite() error {
	if closing, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return closing.CloseWrite()
	}
	return nil
}
