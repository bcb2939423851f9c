// Package integration tests the programs as separate processes that are
// connected through fault-injecting proxies. Most tests are scripts in testdata.
package integration
