package spokeserve

import (
	"context"

	"mulberryspoke.example/mulberryspoke/gen/types"
	"mulberryspoke.example/mulberryspoke/spokeclaim"
	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokecore"
	"mulberryspoke.example/mulberryspoke/spokeerror"
	"mulberryspoke.example/mulberryspoke/spokeplain"
)

const (
	// sendWithin is how long after its claim an attempt may still be sent.
	sendWithin = 3 * spokeclock.Second
	// sealPause is the pause between two questions about a running attempt.
	sealPause = 100 * spokeclock.Millis(1)
	// sealPatience is how long a running attempt is waited for; most bookings
	// take a fraction of it.
	sealPatience = 5 * spokeclock.Second
	// sealTimeout bounds one question.
	sealTimeout = spokeclock.Second
	// otherPolls and otherPause are how often and at which distance an attempt
	// under way elsewhere is looked for: about as long as a usual booking.
	otherPolls = 4
	otherPause = 150 * spokeclock.Millis(1)

	unknownReason = "the request may have run; a repeat with the same key does not run it again"
)

// claimState is what a call knows of the claim of its key.
type claimState struct {
	key string
	// held is the claim while the request may still be sent under it.
	held *spokeclaim.Claim
	at   spokeclock.Millis
	// made says that the claim was made, or another one found in its place.
	made bool
	// refused is the final answer, once there is one.
	refused *types.Refusal
}

// sendClaimed sends a request that may run at most once: it claims the key,
// sends one attempt, and records its outcome. While the attempt is certain not
// to have been sent, the core may have it sent to another server.
func (c *call) sendClaimed(ctx context.Context, attempt spokecore.Attempt) (*spokecore.Response, error) {
	if c.claim.held != nil {
		return c.sendMoved(ctx, attempt)
	}
	row, err := spokeclaim.RowKey(c.access.workspace.Name, c.claim.key, c.access.workspace.OpaqueIdempotencyKeys, spokeclock.Wall())
	if err != nil {
		return nil, c.refuse(refuseKey(err))
	}
	c.claim.at = c.server.Clock.Now()
	outcome, err := c.server.Claims.Acquire(ctx, row, c.record(attempt))
	if err != nil {
		return nil, c.refuse(refuseClaim(err))
	}
	c.claim.made = true
	if outcome.Acquired() == nil {
		return c.sendOther(ctx, outcome.Existing(), attempt)
	}
	return c.sendHeld(ctx, outcome.Acquired(), attempt)
}

// refuse notes the final answer to a request of which nothing was sent now, and
// returns the error that makes the core end it.
func (c *call) refuse(refused *types.Refusal) error {
	c.claim.refused = refused
	return spokeerror.New("claim request", spokecore.Kind(refused.Detail.Type), refused)
}

// refuseUnsure is the same for a request that may have run.
func (c *call) refuseUnsure(kind Kind, after spokeclock.Millis, message string) error {
	c.claim.refused = unsure(kind, after, message)
	return spokeerror.New("claim request", spokecore.KindNoAnswer, c.claim.refused)
}

func (c *call) record(attempt spokecore.Attempt) spokeclaim.Record {
	return spokeclaim.Record{
		AttemptID:   newAttempt(),
		Server:      attempt.Server.Name,
		RequestHash: spokeclaim.HashRequest(c.request.Method, c.access.service.Name+c.request.Path, c.request.Body),
	}
}

func refuseKey(err error) *types.Refusal {
	kind := KindInvalidKey
	if spokeerror.KindOf[spokeclaim.Kind](err) == spokeclaim.KindExpiredKey {
		kind = KindExpiredKey
	}
	return refuseAttempt(kind, retrySlow, "the Idempotency-Key header is not usable: "+err.Error())
}

func refuseClaim(err error) *types.Refusal {
	if spokeerror.KindOf[spokeclaim.Kind](err) == spokeclaim.KindKeyReused {
		return refuseAttempt(KindKeyReused, retrySlow, "the Idempotency-Key belongs to another request")
	}
	return refuseAttempt(KindClaimsUnavailable, retrySoon, "the table service takes no claims now, so nothing was sent")
}

// sendMoved sends the attempt to another server, as nothing was sent so far.
func (c *call) sendMoved(ctx context.Context, attempt spokecore.Attempt) (*spokecore.Response, error) {
	if err := c.claim.held.Reassign(ctx, newAttempt(), attempt.Server.Name); err != nil {
		return nil, c.refuse(refuse(KindClaimsUnavailable, retrySoon, "no backend server was reached, and nothing was sent"))
	}
	return c.sendHeld(ctx, c.claim.held, attempt)
}

// sendHeld sends the attempt that holds the claim.
func (c *call) sendHeld(ctx context.Context, claim *spokeclaim.Claim, attempt spokecore.Attempt) (*spokecore.Response, error) {
	c.claim.held = claim
	if c.server.Clock.Now()-c.claim.at > sendWithin {
		return nil, c.refuse(refuse(KindTimeout, retrySoon, "the claim had grown too old to be sent"))
	}
	answer, err := c.send(ctx, attempt, claim.Record().AttemptID, c.server.NoKeepAliveClient)
	switch {
	case err == nil:
		c.claim.held = nil
		claim.RecordResponse(ctx, answer)
		return replyOf(answer), nil
	case spokeerror.KindOf[spokeplain.Kind](err) == spokeplain.KindNotSent:
		return nil, spokeerror.New("send attempt", spokecore.KindNotSent, err)
	case spokeerror.KindOf[spokeplain.Kind](err) == spokeplain.KindSealed:
		c.claim.held = nil
		claim.Abandon()
		return nil, c.refuseUnsure(KindOutcomeUnknown, retrySoon, "another attempt has taken over; repeat with the same key")
	default:
		c.claim.held = nil
		return c.uncertain(ctx, claim)
	}
}

// releaseUnsent gives the claim back when the core has ended a request that was
// not sent.
func (c *call) releaseUnsent() {
	if c.claim.held != nil {
		c.claim.held.Release()
		c.claim.held = nil
	}
}

// uncertain resolves an attempt that brought no answer of its own, by asking
// the server about it if it can tell.
func (c *call) uncertain(ctx context.Context, claim *spokeclaim.Claim) (*spokecore.Response, error) {
	record := claim.Record()
	report, known := c.seal(ctx, record.Server, record.AttemptID)
	switch {
	case !known || (report.Started && !report.Finished):
		claim.Abandon()
		return nil, c.refuseUnsure(KindOutcomeUnknown, retrySoon, unknownReason)
	case !report.Started:
		claim.Release()
		return nil, c.refuse(refuse(KindServerFailed, retrySoon, "the backend server was cut off before the request ran"))
	default:
		claim.RecordResponse(ctx, report.Response)
		return replyOf(report.Response), nil
	}
}

// seal asks a server what became of an attempt and forbids it from then on. It
// waits a while for an attempt that is running.
func (c *call) seal(ctx context.Context, name, attempt string) (spokeplain.AttemptReport, bool) {
	instance, listed := c.server.Core.Registry.Lookup(name)
	if !c.access.service.ReportsOutcomes || !listed {
		return spokeplain.AttemptReport{}, false
	}
	server := spokeplain.Client{URL: "http://" + instance.Address, HTTPClient: c.server.Client}
	until := c.server.Clock.Now() + sealPatience
	for {
		report, err := sealOnce(ctx, server, attempt)
		decided := err == nil && (!report.Started || report.Finished)
		if decided || c.server.Clock.Now() > until || spokeclock.Sleep(ctx, sealPause) != nil {
			return report, err == nil
		}
	}
}

func sealOnce(ctx context.Context, server spokeplain.Client, attempt string) (spokeplain.AttemptReport, error) {
	ctx, cancel := context.WithTimeout(ctx, sealTimeout.Duration())
	defer cancel()
	return server.SealAttempt(ctx, attempt)
}

// sendOther answers a repeat whose key another attempt has claimed.
func (c *call) sendOther(ctx context.Context, claim *spokeclaim.Claim, attempt spokecore.Attempt) (*spokecore.Response, error) {
	if claim.Record().State == spokeclaim.StateDone {
		return c.replay(ctx, claim)
	}
	state, err := c.server.AttemptStateFunc(ctx, claim.Record().Owner, claim.Record().AttemptID)
	switch {
	case err == nil && state == spokeclaim.StateClaimed:
		return c.waitFor(ctx, claim)
	case err == nil && state == spokeclaim.StateReleased:
		return c.replace(ctx, claim, attempt)
	}
	record := claim.Record()
	report, known := c.seal(ctx, record.Server, record.AttemptID)
	switch {
	case !known || (report.Started && !report.Finished):
		return nil, c.refuseUnsure(KindOutcomeUnknown, retrySlow, unknownReason)
	case !report.Started:
		return c.replace(ctx, claim, attempt)
	default:
		claim.RecordResponse(ctx, report.Response)
		return c.recorded(report.Response), nil
	}
}

// recorded returns the answer that an earlier attempt got.
func (c *call) recorded(answer spokeplain.Response) *spokecore.Response {
	c.server.Counters.replayed.Inc()
	reply := replyOf(answer)
	reply.Replayed = true
	return reply
}

func (c *call) replay(ctx context.Context, claim *spokeclaim.Claim) (*spokecore.Response, error) {
	answer, err := claim.RecordedResponse(ctx)
	if err != nil {
		return nil, c.refuseUnsure(KindClaimsUnavailable, retrySoon, "the request ran, but its recorded answer cannot be read now")
	}
	return c.recorded(answer), nil
}

// waitFor looks for the outcome of an attempt that is under way elsewhere.
func (c *call) waitFor(ctx context.Context, claim *spokeclaim.Claim) (*spokecore.Response, error) {
	for range otherPolls {
		if spokeclock.Sleep(ctx, otherPause) != nil {
			break
		}
		if err := claim.Reload(ctx); err != nil {
			break
		}
		if claim.Record().State == spokeclaim.StateDone {
			return c.replay(ctx, claim)
		}
	}
	return nil, c.refuseUnsure(KindInProgress, retrySoon, "an earlier attempt of this request is still under way")
}

// replace claims the key in place of an attempt that is certain not to run.
func (c *call) replace(ctx context.Context, old *spokeclaim.Claim, attempt spokecore.Attempt) (*spokecore.Response, error) {
	c.claim.at = c.server.Clock.Now()
	outcome, err := c.server.Claims.Replace(ctx, old, c.record(attempt))
	if err != nil {
		return nil, c.refuse(refuseClaim(err))
	}
	if outcome.Acquired() == nil {
		return nil, c.refuseUnsure(KindInProgress, retrySoon, "another attempt of this request has begun")
	}
	return c.sendHeld(ctx, outcome.Acquired(), attempt)
}
