// Package spokemeasure holds the experiments that compare routing policies and
// mechanisms with their baselines, and those behind the capacity page. Each one
// runs in this process and sends its traffic through sockets on loopback.
package spokemeasure
