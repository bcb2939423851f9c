package spokeorigin

import (
	"context"
	"sync"

	"mulberryspoke.example/mulberryspoke/spokeerror"
	"mulberryspoke.example/mulberryspoke/spoketable"
)

// maxBatch is the number of records in a transaction.
const maxBatch = 100

// batchWriter writes the records of a shard, those that arrive during a transaction
// together in the next one.
type batchWriter struct {
	table Table
	// finishedFunc is called with the result of each transaction.
	finishedFunc func(err error)

	mutex     sync.Mutex
	pending   []pendingWrite
	isWriting bool
}

type pendingWrite struct {
	write  spoketable.Write
	result chan error
}

// write writes a record and returns once it is committed. Its errors are of
// KindUnavailable or KindOutcomeUnknown.
func (b *batchWriter) write(ctx context.Context, write spoketable.Write) error {
	result := make(chan error, 1)
	b.mutex.Lock()
	b.pending = append(b.pending, pendingWrite{write: write, result: result})
	if !b.isWriting {
		b.isWriting = true
		go b.writeBatches()
	}
	b.mutex.Unlock()
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return spokeerror.New("record stream", KindOutcomeUnknown, ctx.Err())
	}
}

func (b *batchWriter) writeBatches() {
	for {
		b.mutex.Lock()
		batch := b.pending[:min(len(b.pending), maxBatch)]
		b.pending = b.pending[len(batch):]
		b.isWriting = len(batch) > 0
		b.mutex.Unlock()
		if len(batch) == 0 {
			return
		}
		err := b.transact(batch)
		b.finishedFunc(err)
		for _, p := range batch {
			p.result <- err
		}
	}
}

func (b *batchWriter) transact(batch []pendingWrite) error {
	var transaction spoketable.Transaction
	for _, p := range batch {
		transaction.Writes = append(transaction.Writes, p.write)
	}
	outcome, err := b.table.TransactFunc(context.Background(), transaction)
	switch {
	case spokeerror.KindOf[spoketable.Kind](err) == spoketable.KindUnavailable:
		return spokeerror.New("record stream", KindUnavailable, err)
	case err != nil || !outcome.Committed:
		return spokeerror.New("record stream", KindOutcomeUnknown, err)
	default:
		return nil
	}
}
