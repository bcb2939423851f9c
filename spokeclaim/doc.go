// Package spokeclaim makes a request that is not idempotent run at most once.
// Before an attempt is sent, it claims the request's idempotency key in the
// table service. A claim never expires, so that no other attempt takes it over
// after a timeout. The response is recorded in the claim's row and replayed when
// the request is repeated.
package spokeclaim
