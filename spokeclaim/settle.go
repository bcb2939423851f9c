package spokeclaim

import (
	"context"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spoketable"
)

// background runs a task that outlives the request.
func (c *Claims) background(task func(context.Context)) {
	c.pending.Add(1)
	go func() {
		defer c.pending.Done()
		task(context.Background())
	}()
}

// WaitPending waits until everything has been recorded, or ctx ends.
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

// persist tries a task until it succeeds, with growing pauses.
func (c *Claims) persist(ctx context.Context, try func(context.Context) bool) {
	pause := settlePause
	for {
		bounded, cancel := context.WithTimeout(ctx, settlePauseMax.Duration())
		succeeded := try(bounded)
		cancel()
		if succeeded || spokeclock.Sleep(ctx, pause) != nil {
			return
		}
		pause = min(2*pause, settlePauseMax)
	}
}

// settleLater releases a row whose attempt will never be sent.
func (c *Claims) settleLater(claim *Claim) {
	c.background(func(ctx context.Context) {
		c.persist(ctx, func(ctx context.Context) bool { return c.releaseOnce(ctx, claim) })
		c.setActive(claim.record.AttemptID, "")
	})
}

// releaseOnce makes sure that the attempt's claim neither stands nor can come
// to stand by a write that is still under way: it gives the row a new version,
// on which such a write's condition fails.
func (c *Claims) releaseOnce(ctx context.Context, claim *Claim) bool {
	rows, err := c.Table.Read(ctx, claim.row)
	if err != nil {
		return false
	}
	next, needed := releasedRow(claim, rows[0])
	if !needed {
		return true
	}
	r := c.writer.put(ctx, spoketable.Condition{Key: claim.row, Version: rows[0].Version}, next)
	return r.committed
}

// releasedRow returns what to write over a row to release a claim, and whether
// anything has to be written.
func releasedRow(claim *Claim, row spoketable.Row) (spoketable.Write, bool) {
	released := claim.record
	released.State = StateReleased
	if row.Version == 0 {
		return spoketable.EncodeWrite(claim.row, released), true
	}
	held, err := spoketable.DecodeRow[Record](row)
	switch {
	case err != nil:
		return spoketable.Write{}, false
	case held.AttemptID == claim.record.AttemptID:
		return spoketable.EncodeWrite(claim.row, released), held.State == StateClaimed
	default:
		return spoketable.Write{Key: claim.row, Value: row.Value}, row.Version == claim.base
	}
}
