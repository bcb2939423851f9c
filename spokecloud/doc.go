// Package spokecloud is a client of the platform's cloud API and of its list of
// instances, which lags behind the actual state.
package spokecloud
