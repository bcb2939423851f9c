// Package spokeusage counts the requests of each workspace that began to run,
// by windows of the wall clock, and reports them once for the whole deployment.
package spokeusage
