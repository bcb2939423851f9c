// Package spokecount sums the counters of the entry instances of a data centre.
// The sums reach the instances of other data centres through gateways if there are
// too many instances for a link between any two.
package spokecount
