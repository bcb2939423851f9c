// Package spokelog sets up structured logs. Every part of the system logs
// short sentences under a fixed prefix.
package spokelog
