// Package spokeerror provides a generic error type with an operation, a kind and
// a cause. Each package defines its own type of kinds.
package spokeerror
