package spokeclaim

import (
	"context"

	"golang.org/x/time/rate"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeerror"
	"mulberryspoke.example/mulberryspoke/spokering"
	"mulberryspoke.example/mulberryspoke/spoketable"
)

const (
	queueSize         = 4096
	maxBatchRows      = 64
	writerCount       = 4
	defaultBatchDelay = 4 * spokeclock.Millis(1)
	// MaxTransactionsPerSecond is the rate of transactions that the claims of all
	// entry instances together may send to the table service.
	MaxTransactionsPerSecond = 300.0
	// transactionBurst is the number of transactions that may be sent at once.
	transactionBurst = 8
)

// change is a conditional write of one row that waits in the queue.
type change struct {
	condition spoketable.Condition
	write     spoketable.Write
	result    chan result
}

// result is the outcome of a change. If the change is not committed and err is
// nil, its condition failed and current is the row's content.
type result struct {
	committed bool
	version   spoketable.Version
	current   spoketable.Row
	err       error
}

// writer combines changes of different rows into transactions. It is safe for
// concurrent use.
type writer struct {
	table           *spoketable.Table
	queue           *spokering.Queue[change]
	batchDelay      spokeclock.Millis
	transactionFunc func(rows int)
	limiter         *rate.Limiter
	memberCountFunc func() int
}

// newWriter returns a writer that keeps to this instance's share of
// MaxTransactionsPerSecond.
func newWriter(c *Claims) *writer {
	batchDelay := c.BatchDelay
	if batchDelay == 0 {
		batchDelay = defaultBatchDelay
	}
	return &writer{
		table:           c.Table,
		queue:           spokering.New[change](queueSize),
		batchDelay:      batchDelay,
		transactionFunc: c.TransactionFunc,
		limiter:         rate.NewLimiter(MaxTransactionsPerSecond, transactionBurst),
		memberCountFunc: c.MemberCountFunc,
	}
}

// waitForBudget waits until this instance's share of MaxTransactionsPerSecond
// allows another transaction, and then for batchDelay. Changes that are queued
// meanwhile join the batch.
func (w *writer) waitForBudget(ctx context.Context) {
	w.limiter.SetLimit(rate.Limit(MaxTransactionsPerSecond / float64(max(1, w.memberCountFunc()))))
	_ = w.limiter.Wait(ctx)
	_ = spokeclock.Sleep(ctx, w.batchDelay)
}

// writeRow queues a change and waits for its result.
func (w *writer) writeRow(ctx context.Context, condition spoketable.Condition, write spoketable.Write) result {
	c := change{condition: condition, write: write, result: make(chan result, 1)}
	if !w.queue.TryPush(c) {
		return result{err: spokeerror.Newf("write claim", KindQueueFull, "the queue holds %d row writes", queueSize)}
	}
	select {
	case r := <-c.result:
		return r
	case <-ctx.Done():
		return result{err: spokeerror.New("write claim", spoketable.KindOutcomeUnknown, ctx.Err())}
	}
}

// run commits batches until ctx ends. Several calls may run at once and share the
// queue and the rate limit.
func (w *writer) run(ctx context.Context) {
	for {
		first, ok := w.queue.Pop(ctx)
		if !ok {
			return
		}
		w.waitForBudget(ctx)
		w.commitBatch(ctx, w.collectBatch(first))
	}
}

// collectBatch returns a batch of the first change and further ones from the
// queue. A second change of the same row goes back to the queue, because a
// transaction writes each row once.
func (w *writer) collectBatch(first change) []change {
	batch := []change{first}
	var later []change
	defer func() { w.requeue(later) }()
	rows := map[string]struct{}{first.write.Key: {}}
	for len(batch) < maxBatchRows {
		next, ok := w.queue.TryPop()
		if !ok {
			return batch
		}
		if _, duplicate := rows[next.write.Key]; duplicate {
			later = append(later, next)
			continue
		}
		rows[next.write.Key] = struct{}{}
		batch = append(batch, next)
	}
	return batch
}

// requeue puts changes back into the queue. A change that doesn't fit fails with
// KindQueueFull.
func (w *writer) requeue(changes []change) {
	for _, c := range changes {
		if !w.queue.TryPush(c) {
			c.result <- result{err: spokeerror.Newf("write claim", KindQueueFull, "the queue holds %d row writes", queueSize)}
		}
	}
}

// commitBatch commits a batch. If conditions fail, it repeats the transaction
// without their changes.
func (w *writer) commitBatch(ctx context.Context, batch []change) {
	for len(batch) > 0 {
		w.transactionFunc(len(batch))
		outcome, err := w.table.Transact(ctx, newTransaction(batch))
		if err != nil {
			sendResults(batch, result{err: err})
			return
		}
		if outcome.Committed {
			sendResults(batch, result{committed: true, version: outcome.Version})
			return
		}
		batch = dropConflicts(batch, outcome.Conflicts)
	}
}

func newTransaction(batch []change) spoketable.Transaction {
	var transaction spoketable.Transaction
	for _, c := range batch {
		transaction.Conditions = append(transaction.Conditions, c.condition)
		transaction.Writes = append(transaction.Writes, c.write)
	}
	return transaction
}

// sendResults sends the same result to all changes of a batch.
func sendResults(batch []change, r result) {
	for _, c := range batch {
		c.result <- r
	}
}

// dropConflicts sends the current row to each change whose condition failed, and
// returns the other changes.
func dropConflicts(batch []change, conflicts []spoketable.Row) []change {
	current := make(map[string]spoketable.Row, len(conflicts))
	for _, row := range conflicts {
		current[row.Key] = row
	}
	var remaining []change
	for _, c := range batch {
		row, conflicting := current[c.write.Key]
		if conflicting {
			c.result <- result{current: row}
			continue
		}
		remaining = append(remaining, c)
	}
	return remaining
}
