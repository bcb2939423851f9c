package spokehttp

import (
	"net"
	"net/http"
	"sync"
)

// Connections counts the connections of a server that are in use. Its Update is the
// server's ConnState. It is safe for concurrent use.
type Connections struct {
	mutex sync.Mutex
	inUse map[net.Conn]struct{}
}

// Update records the state of a connection.
func (c *Connections) Update(conn net.Conn, state http.ConnState) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.inUse == nil {
		c.inUse = make(map[net.Conn]struct{})
	}
	switch state {
	case http.StateNew, http.StateActive:
		c.inUse[conn] = struct{}{}
	case http.StateIdle, http.StateHijacked, http.StateClosed:
		delete(c.inUse, conn)
	}
}

// InUse returns the number of connections that may bring a first request or await an
// answer.
func (c *Connections) InUse() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.inUse)
}
