package spokeconfig

import (
	"context"
	"strings"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeerror"
	"mulberryspoke.example/mulberryspoke/spoketable"
)

const (
	headKey        = "config/head"
	itemPrefix     = "config/item/"
	commandPrefix  = "config/command/"
	readBackTries  = 3
	readBackPause  = 200 * spokeclock.Millis(1)
	maxScanRetries = 3
)

// Head is the row that orders all changes.
type Head struct {
	// Revision is the newest accepted revision.
	Revision Revision `json:"revision"`
	// Command is the identity of the command that was accepted last.
	Command string `json:"command"`
}

// Repository reads and writes the configuration in the table service. Set its
// fields before the first call. It is safe for concurrent use.
type Repository struct {
	// Table keeps the rows.
	Table *spoketable.Table
	// Store takes what is read.
	Store *Store
}

// Refresh reads the table's newest configuration if it is newer than the one
// held. It returns an error of kind KindUnavailable.
func (k *Repository) Refresh(ctx context.Context) error {
	head, _, err := k.head(ctx)
	if err != nil {
		return err
	}
	if head.Revision <= k.Store.Revision() {
		return nil
	}
	return k.load(ctx)
}

func (k *Repository) head(ctx context.Context) (Head, spoketable.Version, error) {
	rows, err := k.Table.Read(ctx, headKey)
	if err != nil {
		return Head{}, 0, spokeerror.New("read configuration", KindUnavailable, err)
	}
	if rows[0].Version == 0 {
		return Head{}, 0, nil
	}
	head, err := spoketable.DecodeRow[Head](rows[0])
	if err != nil {
		return Head{}, 0, spokeerror.New("read configuration", KindInvalid, err)
	}
	return head, rows[0].Version, nil
}

// load scans all items between two equal heads, so that pages of different
// moments are never mixed.
func (k *Repository) load(ctx context.Context) error {
	for range maxScanRetries {
		before, _, err := k.head(ctx)
		if err != nil {
			return err
		}
		rows, err := k.Table.ScanAll(ctx, itemPrefix)
		if err != nil {
			return spokeerror.New("read configuration", KindUnavailable, err)
		}
		after, _, err := k.head(ctx)
		if err != nil {
			return err
		}
		if before.Revision != after.Revision {
			continue
		}
		return k.take(rows, after.Revision)
	}
	return spokeerror.Newf("read configuration", KindUnavailable, "it changed during %d scans", maxScanRetries)
}

func (k *Repository) take(rows []spoketable.Row, to Revision) error {
	delta := Delta{To: to}
	for _, row := range rows {
		item, err := spoketable.DecodeRow[Item](row)
		if err != nil {
			return spokeerror.New("read configuration", KindInvalid, err)
		}
		delta.Items = append(delta.Items, item)
	}
	_, err := k.Store.Merge(delta)
	return err
}

// Commit accepts changes as the revision behind base, under the identity of a
// command. The same command again returns the revision it got. It returns an
// error of kind KindConflict when another change came first, KindUnavailable
// when nothing was accepted, and KindUnknown when that could not be found out.
func (k *Repository) Commit(ctx context.Context, base Revision, changes []Change, command string) (Revision, error) {
	if revision, found, err := k.accepted(ctx, command); err != nil || found {
		return revision, err
	}
	head, version, err := k.head(ctx)
	if err != nil {
		return 0, err
	}
	if head.Revision != base {
		return 0, spokeerror.Newf("apply configuration", KindConflict, "it rests on revision %d, in force is %d", base, head.Revision)
	}
	next := head.Revision + 1
	outcome, err := k.Table.Transact(ctx, commitTransaction(next, version, changes, command))
	if err != nil {
		revision, err := k.settle(ctx, command, err)
		if err != nil {
			return 0, err
		}
		return revision, k.adopt(ctx, base, revision, changes)
	}
	if !outcome.Committed {
		return 0, conflict(base, outcome)
	}
	return next, k.adopt(ctx, base, next, changes)
}

// adopt takes an accepted change in without reading it back, since a read may
// answer from the past.
func (k *Repository) adopt(ctx context.Context, base, next Revision, changes []Change) error {
	if k.Store.Revision() < base {
		return k.Refresh(ctx)
	}
	_, err := k.Store.Merge(Delta{From: base, To: next, Items: itemsAt(next, changes)})
	return err
}

func itemsAt(revision Revision, changes []Change) []Item {
	items := make([]Item, 0, len(changes))
	for _, change := range changes {
		item := change.item
		item.Revision = revision
		items = append(items, item)
	}
	return items
}

func conflict(base Revision, outcome spoketable.Outcome) error {
	newest := "a newer one"
	for _, row := range outcome.Conflicts {
		if head, err := spoketable.DecodeRow[Head](row); err == nil {
			return spokeerror.Newf("apply configuration", KindConflict, "it rests on revision %d, in force is %d", base, head.Revision)
		}
	}
	return spokeerror.Newf("apply configuration", KindConflict, "it rests on revision %d, in force is %s", base, newest)
}

func commitTransaction(next Revision, version spoketable.Version, changes []Change, command string) spoketable.Transaction {
	transaction := spoketable.Transaction{
		Conditions: []spoketable.Condition{
			{Key: headKey, Version: version},
			{Key: commandPrefix + command},
		},
		Writes: []spoketable.Write{
			spoketable.EncodeWrite(headKey, Head{Revision: next, Command: command}),
			spoketable.EncodeWrite(commandPrefix+command, Head{Revision: next, Command: command}),
		},
	}
	for _, item := range itemsAt(next, changes) {
		transaction.Writes = append(transaction.Writes, spoketable.EncodeWrite(itemPrefix+item.Key, item))
	}
	return transaction
}

// accepted reports whether a command has been accepted before.
func (k *Repository) accepted(ctx context.Context, command string) (Revision, bool, error) {
	rows, err := k.Table.Read(ctx, commandPrefix+command)
	if err != nil {
		return 0, false, spokeerror.New("apply configuration", KindUnavailable, err)
	}
	if rows[0].Version == 0 {
		return 0, false, nil
	}
	head, err := spoketable.DecodeRow[Head](rows[0])
	if err != nil {
		return 0, false, spokeerror.New("apply configuration", KindInvalid, err)
	}
	return head.Revision, true, nil
}

// settle finds out by reading back what became of a commit without an answer.
func (k *Repository) settle(ctx context.Context, command string, cause error) (Revision, error) {
	if spokeerror.KindOf[spoketable.Kind](cause) == spoketable.KindUnavailable {
		return 0, spokeerror.New("apply configuration", KindUnavailable, cause)
	}
	for range readBackTries {
		revision, found, err := k.accepted(ctx, command)
		if err == nil && found {
			return revision, nil
		}
		if spokeclock.Sleep(ctx, readBackPause) != nil {
			break
		}
	}
	return 0, spokeerror.Newf("apply configuration", KindOutcomeUnknown, "repeat the command as %s: %s", command, strings.TrimSpace(cause.Error()))
}
