// Package spokering joins goroutines by bounded rings. A full ring refuses;
// it never blocks the one who puts.
package spokering
