package spokeclaim

import (
	"context"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spoketable"
)

// runInBackground runs a task that may outlive its request.
func (c *Claims) runInBackground(task func(context.Context)) {
	c.pending.Add(1)
	go func() {
		defer c.pending.Done()
		task(context.Background())
	}()
}

// WaitPending waits until all background writes of claims are done. It returns
// the error of ctx if ctx ends first.
func (c *Claims) WaitPending(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		c.pending.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// retryUntilDone calls try until it returns true, with an exponential delay up
// to maxRetryDelay. Each call is limited to maxRetryDelay.
func (c *Claims) retryUntilDone(ctx context.Context, try func(context.Context) bool) {
	delay := minRetryDelay
	for {
		bounded, cancel := context.WithTimeout(ctx, maxRetryDelay.Duration())
		succeeded := try(bounded)
		cancel()
		if succeeded || spokeclock.Sleep(ctx, delay) != nil {
			return
		}
		delay = min(2*delay, maxRetryDelay)
	}
}

// releaseInBackground releases a claim whose attempt will never be sent.
func (c *Claims) releaseInBackground(claim *Claim) {
	c.runInBackground(func(ctx context.Context) {
		c.retryUntilDone(ctx, func(ctx context.Context) bool { return c.tryRelease(ctx, claim) })
		c.setAttemptState(claim.record.AttemptID, "")
		c.setAttemptState(claim.uncertainAttempt, "")
	})
}

// tryRelease tries once to release a claim. A write of the claim whose outcome is
// unknown may still be applied later. Giving the row a new version makes the
// condition of that write fail.
func (c *Claims) tryRelease(ctx context.Context, claim *Claim) bool {
	rows, err := c.Table.Read(ctx, claim.row)
	if err != nil {
		return false
	}
	next, needed := releasedRow(claim, rows[0])
	if !needed {
		return true
	}
	r := c.writer.writeRow(ctx, spoketable.Condition{Key: claim.row, Version: rows[0].Version}, next)
	return r.committed
}

// releasedRow returns the write that releases a claim in a row as last read, and
// whether it is needed. If the row still has the content from before the claim,
// the write repeats that content to change only the version.
func releasedRow(claim *Claim, row spoketable.Row) (spoketable.Write, bool) {
	released := claim.record
	released.State = StateReleased
	if row.Version == 0 {
		return spoketable.EncodeWrite(claim.row, released), true
	}
	stored, err := spoketable.DecodeRow[Record](row)
	switch {
	case err != nil:
		return spoketable.Write{}, false
	case stored.AttemptID == claim.record.AttemptID, claim.uncertainAttempt != "" && stored.AttemptID == claim.uncertainAttempt:
		return spoketable.EncodeWrite(claim.row, released), stored.State == StateClaimed
	default:
		return spoketable.Write{Key: claim.row, Value: row.Value}, row.Version == claim.baseVersion
	}
}
