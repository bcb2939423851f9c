// Package spokeplain is a client for the backend servers of plain services. It
// sends requests with the ID of their attempt and asks for the outcome of an
// attempt.
package spokeplain
