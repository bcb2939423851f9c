// Package integration holds tests that run the programs as real processes
// behind a fault-injecting proxy. Each test is a script in testdata.
package integration
