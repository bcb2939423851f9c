// Package spokewatch polls the platform and the backend servers. The entry
// instances of a data centre share the polling: each polls the platform the
// more rarely the more of them are live, and each backend server is watched by
// one of them. What one learns its peers hear in heartbeats.
package spokewatch
