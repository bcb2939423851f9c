package spokeclaim

import (
	"context"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeerror"
	"mulberryspoke.example/mulberryspoke/spoketable"
)

const pruneBatch = 100

// Prune deletes a workspace's rows that are older than keys are taken, up to a
// batch, and returns how many. A key of that age is refused by RowKey, so that
// it cannot run again. It returns an error of kind KindUnavailable.
func (c *Claims) Prune(ctx context.Context, workspace string, wall spokeclock.Millis) (int, error) {
	prefix := timedPrefix(workspace)
	oldest := prefix + hour(wall-KeyRetention-pruneMargin)
	page, err := c.Table.Scan(ctx, prefix, "")
	if err != nil {
		return 0, spokeerror.New("prune claims", KindUnavailable, err)
	}
	var transaction spoketable.Transaction
	for _, row := range page.Rows {
		if row.Key >= oldest || len(transaction.Writes) == pruneBatch {
			break
		}
		transaction.Conditions = append(transaction.Conditions, spoketable.Condition{Key: row.Key, Version: row.Version})
		transaction.Writes = append(transaction.Writes, spoketable.Write{Key: row.Key})
		c.dropObject(ctx, row)
	}
	if len(transaction.Writes) == 0 {
		return 0, nil
	}
	if _, err := c.Table.Transact(ctx, transaction); err != nil {
		return 0, spokeerror.New("prune claims", KindUnavailable, err)
	}
	return len(transaction.Writes), nil
}

func (c *Claims) dropObject(ctx context.Context, row spoketable.Row) {
	record, err := spoketable.DecodeRow[Record](row)
	if err != nil || record.ObjectName == "" {
		return
	}
	if err := c.Objects.Delete(ctx, record.ObjectName); err != nil {
		c.Log.Warn().Err(err).Str("object", record.ObjectName).Msg("Object could not be deleted.")
	}
}
