// Package spokeobject is a client of the platform's object store, which stores
// values that are too large for a row of the table service.
package spokeobject
