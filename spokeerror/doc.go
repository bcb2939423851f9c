// Package spokeerror gives each package its error type: an operation, a kind
// of the package's own and a cause.
package spokeerror
