// Package spoketrace sets up traces: a span for each hop of a request, joined
// by the W3C trace context.
package spoketrace
