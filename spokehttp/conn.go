package spokehttp

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Conn is a connection to a server. Its Read returns io.EOF only if the server has ended
// the connection in order. It is safe for one reader and one writer at a time.
type Conn struct {
	net.Conn
	// writes counts the calls of Write that may have written something, and requests the
	// requests that were given the connection.
	writes   atomic.Int64
	requests atomic.Int64
	isClosed atomic.Bool
	// turn is held by a request until its response has been judged.
	turn sync.Mutex
	head headScanner

	// writing is held during a write and guards writeErr, the first error of one.
	writing  sync.Mutex
	writeErr error
}

// Write implements net.Conn.
func (c *Conn) Write(data []byte) (int, error) {
	if c.isClosed.Load() {
		return 0, net.ErrClosed
	}
	c.writes.Add(1)
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(data)
	if err != nil && c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read implements net.Conn. The kernel reports a reset or a timeout of a connection to a
// single call. If that is a write, the next read returns the end of the stream, as if the
// server had ended it in order. Read returns the error of the write then.
func (c *Conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if errors.Is(err, io.EOF) {
		if writeErr := c.endWrites(); isConnectionLost(writeErr) {
			return n, writeErr
		}
	}
	if headErr := c.head.scan(data[:n]); headErr != nil {
		return 0, headErr
	}
	return n, err
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.isClosed.Store(true)
	return c.Conn.Close()
}

// endWrites ends a write in progress, whose error may be that of the connection, and returns
// the first error of a write. Nothing more has to be written once the stream has ended.
func (c *Conn) endWrites() error {
	_ = c.SetWriteDeadline(time.Unix(1, 0))
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.writeErr
}

// isConnectionLost reports whether a write failed because the connection was lost. It was
// not lost if the write was interrupted, if this process closed the connection, or if the
// server had ended its stream in order before it reset the connection, which the kernel
// reports as EPIPE.
func isConnectionLost(writeErr error) bool {
	return writeErr != nil && !errors.Is(writeErr, os.ErrDeadlineExceeded) && !errors.Is(writeErr, net.ErrClosed) && !errors.Is(writeErr, syscall.EPIPE)
}
