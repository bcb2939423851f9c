// Package spokestandin holds small stand-ins for what the system meets: model
// engines, plain services, the platform's services, and a TCP proxy that
// injects faults. Each takes its faults by a POST to /control. They keep
// everything in memory and serve loopback only in tests.
package spokestandin
