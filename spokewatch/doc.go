// Package spokewatch polls the platform and the backend servers. The entry
// instances of a data centre share the polling: each polls the platform less
// often the more of them are live, and one of them reads the load reports of
// each backend server. Results reach the other instances in heartbeats.
package spokewatch
