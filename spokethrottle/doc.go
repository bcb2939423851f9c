// Package spokethrottle keeps the request rates that backend servers name: it divides
// each among the entry instances, which tell each other what the servers have said.
package spokethrottle
