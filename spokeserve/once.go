package spokeserve

import (
	"context"

	"mulberryspoke.example/mulberryspoke/gen/types"
	"mulberryspoke.example/mulberryspoke/spokebackend"
	"mulberryspoke.example/mulberryspoke/spokeclaim"
	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeerror"
	"mulberryspoke.example/mulberryspoke/spokeplain"
)

const (
	// sendWithin is how long after its claim an attempt may still be sent.
	sendWithin    = 3 * spokeclock.Second
	moveLimit     = 3
	sealPause     = 100 * spokeclock.Millis(1)
	sealPatience  = 5 * spokeclock.Second
	sealTimeout   = spokeclock.Second
	otherPolls    = 4
	otherPause    = 150 * spokeclock.Millis(1)
	unknownReason = "the request may have run; a repeat with the same key does not run it again"
)

// once runs a request that is not idempotent at most once: it claims the key,
// sends one attempt, and records its outcome.
func (c *call) once(ctx context.Context) (spokeplain.Answer, *types.Refusal) {
	row, err := spokeclaim.RowKey(c.visitor.workspace.Name, c.key, c.visitor.workspace.OpaqueKeys, spokeclock.Wall())
	if err != nil {
		return spokeplain.Answer{}, refuseKey(err)
	}
	work, refused := c.reserve(ctx)
	if refused != nil {
		return spokeplain.Answer{}, refuseAttempt(KindNoServer, retrySoon, "no backend server is live")
	}
	claimed := c.server.Clock.Now()
	outcome, err := c.server.Claims.Make(ctx, row, c.record(work))
	if err != nil {
		work.Leave()
		return spokeplain.Answer{}, refuseClaim(err)
	}
	if outcome.Own() == nil {
		work.Leave()
		return c.other(ctx, outcome.Other())
	}
	return c.own(ctx, outcome.Own(), work, claimed)
}

func (c *call) record(work *spokebackend.Work) spokeclaim.Record {
	return spokeclaim.Record{
		Attempt: newAttempt(),
		Server:  work.Instance().Name,
		Request: spokeclaim.HashRequest(c.request.Method, c.visitor.service.Name+c.request.Path, c.request.Body),
	}
}

func refuseKey(err error) *types.Refusal {
	kind := KindKey
	if spokeerror.KindOf[spokeclaim.Kind](err) == spokeclaim.KindExpired {
		kind = KindExpired
	}
	return refuseAttempt(kind, retrySlow, "the Idempotency-Key header is not usable: "+err.Error())
}

func refuseClaim(err error) *types.Refusal {
	if spokeerror.KindOf[spokeclaim.Kind](err) == spokeclaim.KindMismatch {
		return refuseAttempt(KindMismatch, retrySlow, "the Idempotency-Key belongs to another request")
	}
	return refuseAttempt(KindClaims, retrySoon, "the table service takes no claims now, so nothing was sent")
}

// own sends the attempt that holds the claim. While it is certain not to have
// been sent, it may move to another server.
func (c *call) own(ctx context.Context, claim *spokeclaim.Claim, work *spokebackend.Work, claimed spokeclock.Millis) (spokeplain.Answer, *types.Refusal) {
	for range moveLimit {
		if c.server.Clock.Now()-claimed > sendWithin {
			work.Leave()
			claim.Release()
			return spokeplain.Answer{}, refuse(KindTimeout, retrySoon, "the claim had grown too old to be sent")
		}
		answer, err := c.send(ctx, work, claim.Record().Attempt, c.server.SingleClient)
		kind := spokeerror.KindOf[spokeplain.Kind](err)
		if err == nil {
			claim.Finish(ctx, answer)
			return answer, nil
		}
		if kind == spokeplain.KindSealed {
			claim.Abandon()
			return spokeplain.Answer{}, unsure(KindOutcomeUnknown, retrySoon, "another attempt has taken over; repeat with the same key")
		}
		if kind != spokeplain.KindNotSent {
			return c.uncertain(ctx, claim)
		}
		c.avoid = append(c.avoid, work.Instance().Name)
		next, refused := c.reserve(ctx)
		if refused != nil {
			claim.Release()
			return spokeplain.Answer{}, refused
		}
		if err := claim.Move(ctx, newAttempt(), next.Instance().Name); err != nil {
			next.Leave()
			claim.Release()
			return spokeplain.Answer{}, refuse(KindClaims, retrySoon, "no backend server was reached, and nothing was sent")
		}
		work = next
	}
	work.Leave()
	claim.Release()
	return spokeplain.Answer{}, refuse(KindServerFailed, retrySoon, "no backend server was reached, and nothing was sent")
}

// uncertain resolves an attempt that brought no answer of its own, by asking
// the server about it if it can tell.
func (c *call) uncertain(ctx context.Context, claim *spokeclaim.Claim) (spokeplain.Answer, *types.Refusal) {
	record := claim.Record()
	report, known := c.seal(ctx, record.Server, record.Attempt)
	switch {
	case !known || (report.Ran && !report.Finished):
		claim.Abandon()
		return spokeplain.Answer{}, unsure(KindOutcomeUnknown, retrySoon, unknownReason)
	case !report.Ran:
		claim.Release()
		return spokeplain.Answer{}, refuse(KindServerFailed, retrySoon, "the backend server was cut off before the request ran")
	default:
		claim.Finish(ctx, report.Answer)
		return report.Answer, nil
	}
}

// seal asks a server what became of an attempt and forbids it from then on. It
// waits a while for an attempt that is running.
func (c *call) seal(ctx context.Context, name, attempt string) (spokeplain.Report, bool) {
	instance, listed := c.server.Registry.Lookup(name)
	if !c.visitor.service.ReportsOutcomes || !listed {
		return spokeplain.Report{}, false
	}
	server := spokeplain.Server{URL: "http://" + instance.Address, Client: c.server.Client}
	until := c.server.Clock.Now() + sealPatience
	for {
		report, err := sealOnce(ctx, server, attempt)
		decided := err == nil && (!report.Ran || report.Finished)
		if decided || c.server.Clock.Now() > until || spokeclock.Sleep(ctx, sealPause) != nil {
			return report, err == nil
		}
	}
}

func sealOnce(ctx context.Context, server spokeplain.Server, attempt string) (spokeplain.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, sealTimeout.Duration())
	defer cancel()
	return server.Seal(ctx, attempt)
}

// other answers a repeat whose key another attempt has claimed.
func (c *call) other(ctx context.Context, claim *spokeclaim.Claim) (spokeplain.Answer, *types.Refusal) {
	if claim.Record().State == spokeclaim.StateDone {
		return c.replay(ctx, claim)
	}
	state, err := c.server.AttemptStateFunc(ctx, claim.Record().Owner, claim.Record().Attempt)
	switch {
	case err == nil && state == spokeclaim.StateClaimed:
		return c.waitFor(ctx, claim)
	case err == nil && state == spokeclaim.StateReleased:
		return c.replace(ctx, claim)
	}
	record := claim.Record()
	report, known := c.seal(ctx, record.Server, record.Attempt)
	switch {
	case !known || (report.Ran && !report.Finished):
		return spokeplain.Answer{}, unsure(KindOutcomeUnknown, retrySlow, unknownReason)
	case !report.Ran:
		return c.replace(ctx, claim)
	default:
		claim.Finish(ctx, report.Answer)
		c.server.Counters.replayed.Inc()
		return report.Answer, nil
	}
}

func (c *call) replay(ctx context.Context, claim *spokeclaim.Claim) (spokeplain.Answer, *types.Refusal) {
	answer, err := claim.Answer(ctx)
	if err != nil {
		return answer, unsure(KindClaims, retrySoon, "the request ran, but its recorded answer cannot be read now")
	}
	c.server.Counters.replayed.Inc()
	return answer, nil
}

// waitFor looks for the outcome of an attempt that is under way elsewhere.
func (c *call) waitFor(ctx context.Context, claim *spokeclaim.Claim) (spokeplain.Answer, *types.Refusal) {
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
	return spokeplain.Answer{}, unsure(KindInProgress, retrySoon, "an earlier attempt of this request is still under way")
}

// replace claims the key in place of an attempt that is certain not to run.
func (c *call) replace(ctx context.Context, old *spokeclaim.Claim) (spokeplain.Answer, *types.Refusal) {
	work, refused := c.reserve(ctx)
	if refused != nil {
		return spokeplain.Answer{}, refused
	}
	claimed := c.server.Clock.Now()
	outcome, err := c.server.Claims.Replace(ctx, old, c.record(work))
	if err != nil {
		work.Leave()
		return spokeplain.Answer{}, refuseClaim(err)
	}
	if outcome.Own() == nil {
		work.Leave()
		return spokeplain.Answer{}, unsure(KindInProgress, retrySoon, "another attempt of this request has begun")
	}
	return c.own(ctx, outcome.Own(), work, claimed)
}
