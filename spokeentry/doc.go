// Package spokeentry is the process of an entry instance. It connects the
// components of the system, runs the background work, and shuts everything down
// in order.
//
// Every setting is a flag of "mulberryspoke entry" and an environment variable
// MULBERRYSPOKE_ followed by the flag's name in capitals.
package spokeentry
