// Package spokeengine is a client for model engines. It streams answers, resumes
// and cancels them, moves KV caches between engines, reads load reports and sends
// orders.
package spokeengine
