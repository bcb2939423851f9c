// Package spokeobject speaks to the platform's object store, which keeps what
// is too large for a row.
package spokeobject
