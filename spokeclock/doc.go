// Package spokeclock tells the time in milliseconds. All deadlines, leases and
// intervals of the system are kept in its types, so that a test can drive them
// from a script.
package spokeclock
