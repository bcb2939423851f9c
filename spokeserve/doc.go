// Package spokeserve implements the product's own API for callers. It
// authenticates callers, speaks the protocols of model clients, engines and plain
// services, and makes requests with an idempotency key run at most once. Limits,
// routing and retries are the task of package spokecore.
package spokeserve
