// Package spokefleet decides how many instances a service needs, where, and of
// which kind, so that it holds its latency target at the lowest cost when a
// data centre's worth of reclaimable instances goes at once. The plan does no
// input or output; the manager carries it out under a lease.
package spokefleet
