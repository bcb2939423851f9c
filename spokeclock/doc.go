// Package spokeclock provides clocks and time spans in milliseconds. All
// deadlines, leases and intervals of the system use its types, so that tests can
// replace the clock.
package spokeclock
