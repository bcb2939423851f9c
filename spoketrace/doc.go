// Package spoketrace sets up distributed tracing. Each hop of a request has a
// span; the W3C trace context links them.
package spoketrace
