// Package spokemeasure holds the experiments behind the measures and the
// capacity page. Each one runs on this machine, in this process, with real
// sockets on loopback.
package spokemeasure
