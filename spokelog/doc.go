// Package spokelog sets up structured logs. Each component of the system has a
// logger of its own, which names the component in every line.
package spokelog
