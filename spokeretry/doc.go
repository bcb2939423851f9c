// Package spokeretry bounds retries, so that failures cannot multiply load.
package spokeretry
