// Package spokelimit keeps each workspace within its declared rates. The entry
// instances share no counter: each one enforces its part of a rate, by the
// number of entry instances it knows to be live.
package spokelimit
