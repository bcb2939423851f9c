package spokeserve

import (
	"context"
	"errors"

	"mulberryspoke.example/mulberryspoke/gen/types"
	"mulberryspoke.example/mulberryspoke/spokeclaim"
	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokecore"
	"mulberryspoke.example/mulberryspoke/spokeerror"
	"mulberryspoke.example/mulberryspoke/spokehttp"
	"mulberryspoke.example/mulberryspoke/spokeplain"
)

const (
	// maxClaimAge is the time after requesting a claim during which its attempt may
	// be sent.
	maxClaimAge = 3 * spokeclock.Second
	// sealInterval is the time between two seal requests for a running attempt.
	sealInterval = 100 * spokeclock.Millis(1)
	// sealWaitTimeout is the time to wait for a running attempt to finish. Most
	// bookings take a fraction of it.
	sealWaitTimeout = 5 * spokeclock.Second
	// sealCallTimeout limits one seal request.
	sealCallTimeout = spokeclock.Second
	// recordPolls and recordPollInterval determine how long to wait for the
	// response of an attempt in progress elsewhere. Together they are about as long
	// as a usual booking.
	recordPolls        = 4
	recordPollInterval = 150 * spokeclock.Millis(1)

	outcomeUnknownMessage = "the request may have run; a repeat with the same key does not run it again"
)

// claimState is the state of a call's claim on its idempotency key.
type claimState struct {
	key string
	// unsent is the claim under which the request may still be sent, or nil.
	unsent *spokeclaim.Claim
	// requestedAt is the time at which the claim was requested.
	requestedAt spokeclock.Millis
	// keyClaimed is true if the claim was acquired or an existing one was found.
	keyClaimed bool
	// refusal is the final refusal, or nil.
	refusal *types.Refusal
	// isNotHeld is true if the response to an attempt that ran does not fit into the memory
	// for requests.
	isNotHeld bool
}

// sendClaimed sends a request that may run at most once. It claims the idempotency
// key, sends one attempt and records its response. As long as the attempt is
// certain not to have been sent, the core may call it again with another server.
func (c *call) sendClaimed(ctx context.Context, attempt spokecore.Attempt) (*spokecore.Response, error) {
	if c.claim.unsent != nil {
		return c.sendReassigned(ctx, attempt)
	}
	row, err := spokeclaim.RowKey(c.access.workspace.Name, c.claim.key, c.access.workspace.OpaqueIdempotencyKeys, spokeclock.Wall())
	if err != nil {
		return nil, c.endNotSent(keyRefusal(err))
	}
	c.claim.requestedAt = c.server.Clock.Now()
	result, err := c.server.Claims.Acquire(ctx, row, c.newRecord(attempt))
	if err != nil {
		return nil, c.endNotSent(claimRefusal(err))
	}
	c.claim.keyClaimed = true
	if result.Acquired() == nil {
		return c.answerExisting(ctx, result.Existing(), attempt)
	}
	return c.sendAcquired(ctx, result.Acquired(), attempt)
}

// endNotSent sets the refusal of a request of which this call sent nothing. It
// returns the error that makes the core end the request.
func (c *call) endNotSent(refusal *types.Refusal) error {
	c.claim.refusal = refusal
	return spokeerror.New("claim request", spokecore.Kind(refusal.Detail.Type), refusal)
}

// endOutcomeUnknown sets the refusal of a request that may have run. It returns the
// error that makes the core end the request.
func (c *call) endOutcomeUnknown(kind Kind, retryAfter spokeclock.Millis, message string) error {
	c.claim.refusal = refuseOutcomeUnknown(kind, retryAfter, message)
	return spokeerror.New("claim request", spokecore.KindNoAnswer, c.claim.refusal)
}

// endNotHeld sets the refusal of a request that has run and whose response does not fit into
// the memory for requests. The error has no kind, as the server is not at fault.
func (c *call) endNotHeld() error {
	c.claim.refusal = refuseOutcomeUnknown(KindServerFailed, longRetryAfter, "the request may have run; there is no memory for its answer now; a repeat with the same key does not run it again")
	return c.claim.refusal
}

func (c *call) newRecord(attempt spokecore.Attempt) spokeclaim.Record {
	return spokeclaim.Record{
		AttemptID:        newID(),
		Server:           attempt.Server.Name,
		ServerGeneration: attempt.Server.Generation,
		RequestHash:      spokeclaim.HashRequest(c.request.Method, c.access.service.Name+c.request.Path, c.request.Body),
	}
}

func keyRefusal(err error) *types.Refusal {
	kind := KindInvalidKey
	if spokeerror.KindOf[spokeclaim.Kind](err) == spokeclaim.KindExpiredKey {
		kind = KindExpiredKey
	}
	return refuseAttempt(kind, longRetryAfter, "the Idempotency-Key header is not usable: "+err.Error())
}

func claimRefusal(err error) *types.Refusal {
	if spokeerror.KindOf[spokeclaim.Kind](err) == spokeclaim.KindKeyReused {
		return refuseAttempt(KindKeyReused, longRetryAfter, "the Idempotency-Key belongs to another request")
	}
	return refuseAttempt(KindClaimsUnavailable, shortRetryAfter, "the table service takes no claims now, so nothing was sent")
}

// sendReassigned reassigns the unsent claim to another server and sends the request
// there.
func (c *call) sendReassigned(ctx context.Context, attempt spokecore.Attempt) (*spokecore.Response, error) {
	if err := c.claim.unsent.Reassign(ctx, newID(), attempt.Server); err != nil {
		return nil, c.endNotSent(refuse(KindClaimsUnavailable, shortRetryAfter, "no backend server was reached, and nothing was sent"))
	}
	return c.sendAcquired(ctx, c.claim.unsent, attempt)
}

// sendAcquired sends the attempt that holds the claim and records its response.
func (c *call) sendAcquired(ctx context.Context, claim *spokeclaim.Claim, attempt spokecore.Attempt) (*spokecore.Response, error) {
	c.claim.unsent = claim
	if c.server.Clock.Now()-c.claim.requestedAt > maxClaimAge {
		return nil, c.endNotSent(refuse(KindTimeout, shortRetryAfter, "the claim had grown too old to be sent"))
	}
	response, err := c.send(ctx, attempt, claim.Record().AttemptID, c.server.NoKeepAliveClient)
	switch {
	case err == nil:
		c.claim.unsent = nil
		claim.RecordResponse(ctx, response, c.details.retain())
		return newResponse(response), nil
	case spokeerror.KindOf[spokeplain.Kind](err) == spokeplain.KindNotSent:
		return nil, spokeerror.New("send attempt", spokecore.KindNotSent, err)
	case spokeerror.KindOf[spokeplain.Kind](err) == spokeplain.KindSealed:
		c.claim.unsent = nil
		claim.Abandon()
		return nil, c.endOutcomeUnknown(KindOutcomeUnknown, shortRetryAfter, "another attempt has taken over; repeat with the same key")
	case spokeerror.KindOf[spokeplain.Kind](err) == spokeplain.KindNotHeld:
		c.claim.unsent = nil
		claim.Abandon()
		return nil, c.endNotHeld()
	default:
		c.claim.unsent = nil
		return c.resolveOutcome(ctx, claim)
	}
}

// releaseUnsent releases the claim if the core has ended the request without sending
// it.
func (c *call) releaseUnsent() {
	if c.claim.unsent != nil {
		c.claim.unsent.Release()
		c.claim.unsent = nil
	}
}

// resolveOutcome handles an attempt that got no valid response. It asks the server
// for the outcome if the service reports outcomes.
func (c *call) resolveOutcome(ctx context.Context, claim *spokeclaim.Claim) (*spokecore.Response, error) {
	report, known := c.sealAttempt(ctx, claim.Record())
	switch {
	case c.claim.isNotHeld:
		claim.Abandon()
		return nil, c.endNotHeld()
	case !known || (report.Started && !report.Finished):
		claim.Abandon()
		return nil, c.endOutcomeUnknown(KindOutcomeUnknown, shortRetryAfter, outcomeUnknownMessage)
	case !report.Started:
		claim.Release()
		return nil, c.endNotSent(refuse(KindServerFailed, shortRetryAfter, "the backend server was cut off before the request ran"))
	default:
		claim.RecordResponse(ctx, report.Response, c.details.retain())
		return newResponse(report.Response), nil
	}
}

// sealAttempt asks the server of a claim for the outcome of its attempt and prevents
// the attempt from running later. It waits up to sealWaitTimeout for an attempt that is
// running. It returns false if the outcome cannot be determined.
func (c *call) sealAttempt(ctx context.Context, record spokeclaim.Record) (spokeplain.AttemptReport, bool) {
	instance, found := c.server.Core.Registry.Lookup(record.Server)
	if !c.access.service.ReportsOutcomes || !found {
		return spokeplain.AttemptReport{}, false
	}
	server := spokeplain.Client{URL: "http://" + instance.Address, HTTPClient: c.server.NoKeepAliveClient, HoldFunc: c.holdFunc}
	giveUpAt := c.server.Clock.Now() + sealWaitTimeout
	for {
		report, err := trySeal(ctx, server, record.AttemptID)
		if spokeerror.KindOf[spokeplain.Kind](err) == spokeplain.KindWrongAttempt {
			c.server.Counters.foreignEvents.Inc()
		}
		// A further report would not fit either.
		c.claim.isNotHeld = spokeerror.KindOf[spokeplain.Kind](err) == spokeplain.KindNotHeld
		decided := err == nil && (!report.Started || report.Finished)
		if decided || c.claim.isNotHeld || c.server.Clock.Now() > giveUpAt || spokeclock.Sleep(ctx, sealInterval) != nil {
			return report, err == nil && (report.Started || isOfClaimedServer(report, record))
		}
	}
}

// isOfClaimedServer reports whether a report is of the run of the server that holds the
// claim's attempt. A later run of the server, or another one at its address, doesn't
// know whether the attempt ran.
func isOfClaimedServer(report spokeplain.AttemptReport, record spokeclaim.Record) bool {
	isSameRun := record.ServerGeneration == 0 || report.Generation == record.ServerGeneration
	return report.Server == record.Server && isSameRun
}

func trySeal(ctx context.Context, server spokeplain.Client, attemptID string) (spokeplain.AttemptReport, error) {
	ctx, cancel := context.WithTimeout(ctx, sealCallTimeout.Duration())
	defer cancel()
	return server.SealAttempt(ctx, attemptID)
}

// answerExisting responds to a repeated request whose key another attempt has
// claimed.
func (c *call) answerExisting(ctx context.Context, claim *spokeclaim.Claim, attempt spokecore.Attempt) (*spokecore.Response, error) {
	if claim.Record().State == spokeclaim.StateDone {
		return c.replayRecord(ctx, claim)
	}
	state, err := c.server.AttemptStateFunc(ctx, claim.Record().Owner, claim.Record().AttemptID)
	switch {
	case err == nil && state == spokeclaim.StateClaimed:
		return c.waitForRecord(ctx, claim)
	case err == nil && state == spokeclaim.StateReleased:
		return c.replaceClaim(ctx, claim, attempt)
	}
	report, known := c.sealAttempt(ctx, claim.Record())
	switch {
	case c.claim.isNotHeld:
		return nil, c.endNotHeld()
	case !known || (report.Started && !report.Finished):
		return nil, c.endOutcomeUnknown(KindOutcomeUnknown, longRetryAfter, outcomeUnknownMessage)
	case !report.Started:
		return c.replaceClaim(ctx, claim, attempt)
	default:
		claim.RecordResponse(ctx, report.Response, c.details.retain())
		return c.replayResponse(report.Response), nil
	}
}

// replayResponse returns the response to an earlier attempt.
func (c *call) replayResponse(recorded spokeplain.Response) *spokecore.Response {
	c.server.Counters.replayedOutcomes.Inc()
	response := newResponse(recorded)
	response.Replayed = true
	return response
}

// replayRecord returns the recorded response of a claim.
func (c *call) replayRecord(ctx context.Context, claim *spokeclaim.Claim) (*spokecore.Response, error) {
	response, err := claim.RecordedResponse(ctx, c.holdFunc)
	if errors.Is(err, spokehttp.ErrNotHeld) {
		return nil, c.endNotHeld()
	}
	if err != nil {
		return nil, c.endOutcomeUnknown(KindClaimsUnavailable, shortRetryAfter, "the request ran, but its recorded answer cannot be read now")
	}
	return c.replayResponse(response), nil
}

// waitForRecord waits for the response of an attempt that is in progress elsewhere.
func (c *call) waitForRecord(ctx context.Context, claim *spokeclaim.Claim) (*spokecore.Response, error) {
	for range recordPolls {
		if spokeclock.Sleep(ctx, recordPollInterval) != nil {
			break
		}
		if err := claim.Reload(ctx); err != nil {
			break
		}
		if claim.Record().State == spokeclaim.StateDone {
			return c.replayRecord(ctx, claim)
		}
	}
	return nil, c.endOutcomeUnknown(KindInProgress, shortRetryAfter, "an earlier attempt of this request is still under way")
}

// replaceClaim replaces the claim of an attempt that is certain not to run and sends
// the request.
func (c *call) replaceClaim(ctx context.Context, old *spokeclaim.Claim, attempt spokecore.Attempt) (*spokecore.Response, error) {
	c.claim.requestedAt = c.server.Clock.Now()
	result, err := c.server.Claims.Replace(ctx, old, c.newRecord(attempt))
	if err != nil {
		return nil, c.endNotSent(claimRefusal(err))
	}
	if result.Acquired() == nil {
		return nil, c.endOutcomeUnknown(KindInProgress, shortRetryAfter, "another attempt of this request has begun")
	}
	return c.sendAcquired(ctx, result.Acquired(), attempt)
}
