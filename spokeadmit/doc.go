// Package spokeadmit queues the requests of a service while all slots of its
// backend servers are taken, and refuses those that would wait too long. It
// shares the slots fairly among workspaces and admits requests with a short
// answer before those with a long one.
package spokeadmit
