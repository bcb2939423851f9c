// Package spokeretry limits retries, so that failures cannot multiply the load.
package spokeretry
