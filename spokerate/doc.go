// Package spokerate measures rates per second with exponential decay.
package spokerate
