// Package spokeusage counts the requests of each workspace that started to run,
// by windows of the wall clock, and reports each window once for the whole
// deployment.
package spokeusage
