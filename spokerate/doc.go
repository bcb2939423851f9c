// Package spokerate measures quantities for each second that fade with time.
package spokerate
