// Package spokelimit enforces the declared limits of workspaces. Limiter divides
// a limit equally among the live entry instances, which exchange no counters for
// it. AllotmentLimiter enforces allotments that the entry instances share by
// exchanging counters.
package spokelimit
