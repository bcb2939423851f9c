// Package spokeload sends open-loop traffic to entry instances and checks
// every answer against what was asked. Requests start on a schedule of their
// own, and latency counts from the intended start, so that a stall of the
// system cannot hide itself.
package spokeload
