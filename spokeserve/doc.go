// Package spokeserve is the product's own interface to callers. It checks who
// asks for what, speaks the protocols of model clients, engines and plain
// services, and makes requests with an idempotency key run at most once. What
// happens in between is the work of package spokecore.
package spokeserve
