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
	ringSize      = 4096
	batchRows     = 64
	writersCount  = 4
	defaultGather = 4 * spokeclock.Millis(1)
	// MaxTransactionsPerSecond is the transactions for each second that the claims of all
	// entry instances together may take of the table service.
	MaxTransactionsPerSecond = 300.0
	// paceBurst is how many transactions may follow each other at once.
	paceBurst = 8
)

// change is one conditional write of one row.
type change struct {
	condition spoketable.Condition
	write     spoketable.Write
	result    chan result
}

// result tells what became of a change.
type result struct {
	committed bool
	version   spoketable.Version
	current   spoketable.Row
	err       error
}

// writer gathers changes of separate rows into transactions.
type writer struct {
	table  *spoketable.Table
	ring   *spokering.Queue[change]
	gather spokeclock.Millis
	count  func(rows int)
	pace   *rate.Limiter
	share  func() int
}

// newWriter returns a writer that keeps to its part of TableBudget.
func newWriter(c *Claims) *writer {
	gather := c.BatchDelay
	if gather == 0 {
		gather = defaultGather
	}
	return &writer{
		table:  c.Table,
		ring:   spokering.New[change](ringSize),
		gather: gather,
		count:  c.TransactionFunc,
		pace:   rate.NewLimiter(MaxTransactionsPerSecond, paceBurst),
		share:  c.MemberCountFunc,
	}
}

// wait holds a batch back until the writer's part of the table's budget allows
// another transaction. Meanwhile the batch that follows grows.
func (w *writer) wait(ctx context.Context) {
	w.pace.SetLimit(rate.Limit(MaxTransactionsPerSecond / float64(max(1, w.share()))))
	_ = w.pace.Wait(ctx)
	_ = spokeclock.Sleep(ctx, w.gather)
}

// put hands a change in and waits for its result.
func (w *writer) put(ctx context.Context, condition spoketable.Condition, write spoketable.Write) result {
	c := change{condition: condition, write: write, result: make(chan result, 1)}
	if !w.ring.TryPush(c) {
		return result{err: spokeerror.Newf("write claim", KindQueueFull, "%d changes are waiting", ringSize)}
	}
	select {
	case r := <-c.result:
		return r
	case <-ctx.Done():
		return result{err: spokeerror.New("write claim", spoketable.KindOutcomeUnknown, ctx.Err())}
	}
}

// run writes batches until ctx ends.
func (w *writer) run(ctx context.Context) {
	for {
		first, ok := w.ring.Pop(ctx)
		if !ok {
			return
		}
		w.wait(ctx)
		w.write(ctx, w.collect(first))
	}
}

// collect takes further changes. Those of a row that is in the batch already
// go into a later one.
func (w *writer) collect(first change) []change {
	batch := []change{first}
	var later []change
	defer func() { w.putBack(later) }()
	rows := map[string]struct{}{first.write.Key: {}}
	for len(batch) < batchRows {
		next, ok := w.ring.TryPop()
		if !ok {
			return batch
		}
		if _, twice := rows[next.write.Key]; twice {
			later = append(later, next)
			continue
		}
		rows[next.write.Key] = struct{}{}
		batch = append(batch, next)
	}
	return batch
}

func (w *writer) putBack(changes []change) {
	for _, c := range changes {
		if !w.ring.TryPush(c) {
			c.result <- result{err: spokeerror.Newf("write claim", KindQueueFull, "%d changes are waiting", ringSize)}
		}
	}
}

// write tries a batch, and again without the changes whose condition failed.
func (w *writer) write(ctx context.Context, batch []change) {
	for len(batch) > 0 {
		w.count(len(batch))
		outcome, err := w.table.Transact(ctx, transactionOf(batch))
		if err != nil {
			answer(batch, result{err: err})
			return
		}
		if outcome.Committed {
			answer(batch, result{committed: true, version: outcome.Version})
			return
		}
		batch = withoutConflicts(batch, outcome.Conflicts)
	}
}

func transactionOf(batch []change) spoketable.Transaction {
	var transaction spoketable.Transaction
	for _, c := range batch {
		transaction.Conditions = append(transaction.Conditions, c.condition)
		transaction.Writes = append(transaction.Writes, c.write)
	}
	return transaction
}

func answer(batch []change, r result) {
	for _, c := range batch {
		c.result <- r
	}
}

func withoutConflicts(batch []change, conflicts []spoketable.Row) []change {
	current := make(map[string]spoketable.Row, len(conflicts))
	for _, row := range conflicts {
		current[row.Key] = row
	}
	var rest []change
	for _, c := range batch {
		row, conflicting := current[c.write.Key]
		if conflicting {
			c.result <- result{current: row}
			continue
		}
		rest = append(rest, c)
	}
	return rest
}
