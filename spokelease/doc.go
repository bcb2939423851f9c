// Package spokelease holds duties that one process at a time may do. A lease
// is a row of the table service with a fencing number that only grows. No two
// clocks are compared: a contender waits until it has seen the row unchanged
// for the whole term by its own clock.
package spokelease
