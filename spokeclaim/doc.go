// Package spokeclaim makes a request that is not idempotent run at most once.
// An attempt claims the request's idempotency key in the table service before
// it is sent; the claim is never taken over by time. Its outcome is recorded
// and serves a repeat.
package spokeclaim
