package spokeclaim

import (
	"context"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeerror"
	"mulberryspoke.example/mulberryspoke/spoketable"
)

const maxPruneRows = 100

// Prune deletes rows of a workspace whose keys have expired, up to maxPruneRows,
// and returns their number. RowKey rejects such keys, so that their requests
// cannot run again. Rows of opaque keys are not deleted. It returns an error of
// kind KindUnavailable.
func (c *Claims) Prune(ctx context.Context, workspace string, wall spokeclock.Millis) (int, error) {
	prefix := timedKeyPrefix(workspace)
	oldestKept := prefix + formatHour(wall-KeyRetention-maxClockSkew)
	page, err := c.Table.Scan(ctx, prefix, "")
	if err != nil {
		return 0, spokeerror.New("prune claims", KindUnavailable, err)
	}
	var transaction spoketable.Transaction
	var pruned []spoketable.Row
	for _, row := range page.Rows {
		if row.Key >= oldestKept || len(transaction.Writes) == maxPruneRows {
			break
		}
		transaction.Conditions = append(transaction.Conditions, spoketable.Condition{Key: row.Key, Version: row.Version})
		transaction.Writes = append(transaction.Writes, spoketable.Write{Key: row.Key})
		pruned = append(pruned, row)
	}
	if len(transaction.Writes) == 0 {
		return 0, nil
	}
	outcome, err := c.Table.Transact(ctx, transaction)
	if err != nil {
		return 0, spokeerror.New("prune claims", KindUnavailable, err)
	}
	if !outcome.Committed {
		return 0, nil
	}
	// A row must never name an object that is gone.
	for _, row := range pruned {
		c.deleteObject(ctx, row)
	}
	return len(pruned), nil
}

// deleteObject deletes the object with the response body of a claim, if there is
// one.
func (c *Claims) deleteObject(ctx context.Context, row spoketable.Row) {
	record, err := spoketable.DecodeRow[Record](row)
	if err != nil || record.ObjectName == "" {
		return
	}
	if err := c.Objects.Delete(ctx, record.ObjectName); err != nil {
		c.Log.Warn().Err(err).Str("object", record.ObjectName).Msg("Recorded response could not be deleted from the object store.")
	}
}
