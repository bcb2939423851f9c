// Package spokeroute chooses the backend server for a request. It does no input
// or output; its randomness is passed in.
package spokeroute
