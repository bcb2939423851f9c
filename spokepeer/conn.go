package spokepeer

import (
	"net"
	"sync/atomic"
	"time"

	"mulberryspoke.example/mulberryspoke/spokeclock"
)

const writeTimeout = spokeclock.Second

// Traffic counts the bytes of all links of an instance. It is safe for
// concurrent use.
type Traffic struct {
	sent     atomic.Int64
	received atomic.Int64
	messages atomic.Int64
}

// SentBytes returns the bytes sent to peers.
func (t *Traffic) SentBytes() int64 { return t.sent.Load() }

// ReceivedBytes returns the bytes received from peers.
func (t *Traffic) ReceivedBytes() int64 { return t.received.Load() }

// SentHeartbeats returns the heartbeats sent.
func (t *Traffic) SentHeartbeats() int64 { return t.messages.Load() }

// countedConn counts bytes and bounds each write, so that a frozen peer ends
// its link instead of holding it.
type countedConn struct {
	net.Conn
	traffic *Traffic
}

// Read counts what it reads.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.received.Add(int64(n))
	return n, err
}

// Write counts what it writes, within the time allowed.
func (c *countedConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout.Duration())); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.traffic.sent.Add(int64(n))
	return n, err
}
