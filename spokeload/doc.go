// Package spokeload sends open-loop traffic to entry instances and compares
// every answer with the expected one. Requests start on a fixed schedule that
// doesn't wait for answers, and latency counts from the scheduled start, so that
// time in which the system stalls is included in the latencies.
package spokeload
