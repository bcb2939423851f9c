// Package spokefleet plans how many instances a service needs, in which data
// centres and of which kind. The plan meets the latency target at the lowest cost,
// even if a data centre loses all its reclaimable instances at once. Planning does
// no input or output. Manager and Autoscaler apply the plans while they hold a
// lease.
package spokefleet
