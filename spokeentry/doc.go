// Package spokeentry is the process on an entry instance. It joins the parts
// of the system, starts a goroutine for each duty, and shuts them down in
// order.
//
// Every setting is a flag of "mulberryspoke entry" and an environment variable
// MULBERRYSPOKE_ followed by the flag's name in capitals.
package spokeentry
