package spokepeer

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"mulberryspoke.example/mulberryspoke/spokeclock"
)

const writeTimeout = spokeclock.Second

// Traffic counts the bytes and heartbeats of all links of an instance. It is
// safe for concurrent use.
type Traffic struct {
	sentBytes      atomic.Int64
	receivedBytes  atomic.Int64
	sentHeartbeats atomic.Int64
}

// SentBytes returns the bytes sent to peers.
func (t *Traffic) SentBytes() int64 { return t.sentBytes.Load() }

// ReceivedBytes returns the bytes received from peers.
func (t *Traffic) ReceivedBytes() int64 { return t.receivedBytes.Load() }

// SentHeartbeats returns the number of heartbeats sent to peers.
func (t *Traffic) SentHeartbeats() int64 { return t.sentHeartbeats.Load() }

// countingConn is a connection that counts its bytes and sets a deadline for
// each write, so that a peer that stops reading fails its link instead of
// blocking it.
type countingConn struct {
	net.Conn
	traffic *Traffic

	mutex      sync.Mutex
	isClosed   bool
	closedFunc func()
}

// setClosed sets the function that is called when the connection is closed, at once if it
// has been.
func (c *countingConn) setClosed(closedFunc func()) {
	c.mutex.Lock()
	c.closedFunc = closedFunc
	isClosed := c.isClosed
	c.mutex.Unlock()
	if isClosed {
		closedFunc()
	}
}

// Close implements net.Conn.
func (c *countingConn) Close() error {
	c.mutex.Lock()
	c.isClosed = true
	closedFunc := c.closedFunc
	c.mutex.Unlock()
	if closedFunc != nil {
		closedFunc()
	}
	return c.Conn.Close()
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.receivedBytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn. It fails after writeTimeout.
func (c *countingConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout.Duration())); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.traffic.sentBytes.Add(int64(n))
	return n, err
}
