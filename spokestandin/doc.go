// Package spokestandin implements small stand-ins of external services for
// tests and demos: model engines, plain services, the platform's services, and
// a TCP proxy that injects faults. A POST to /control sets the faults of a
// stand-in. The stand-ins keep all data in memory. Tests serve them on loopback
// only.
package spokestandin
