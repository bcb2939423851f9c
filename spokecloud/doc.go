// Package spokecloud speaks to the platform's cloud API and to its lagging
// list of instances.
package spokecloud
