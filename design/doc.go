// Package design holds the goa designs of the callers' and the operators' API.
// "make generate" generates the code under gen from it. That code is committed,
// so that a build needs no generator.
package design
