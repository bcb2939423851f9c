// Package design holds the goa descriptions of the caller and operator
// interfaces. The code under gen is generated from it by "make generate" and
// is committed, so that a build needs no generator.
package design
