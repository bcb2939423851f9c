// Package spokesuspect is a failure detector: it decides from the times of
// heartbeats whether a peer is suspected to have failed. It does no input or
// output.
package spokesuspect
