// Package spokeplain speaks to plain services: it sends requests under an
// attempt's identity and asks what became of an attempt.
package spokeplain
