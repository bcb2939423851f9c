// Package spokememory bounds what callers can make a process hold: the bytes of bodies,
// headers and buffered answers, and the connections. Budget and ConnectionLimit decide
// free of input and output. Body and Listener apply the decisions to a stream and to a
// listener.
package spokememory
