// Package spokeroute decides which backend server gets a request. It does no
// input or output; its randomness is passed in.
package spokeroute
