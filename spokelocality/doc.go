// Package spokelocality decides how much of a service's requests leaves the data centre
// of an entry instance, where to, and what leaving costs a request. It is free of input
// and output.
package spokelocality
