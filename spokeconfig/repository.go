package spokeconfig

import (
	"context"
	"strings"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeerror"
	"mulberryspoke.example/mulberryspoke/spoketable"
)

const (
	headKey          = "config/head"
	itemPrefix       = "config/item/"
	commandPrefix    = "config/command/"
	readBackAttempts = 3
	readBackInterval = 200 * spokeclock.Millis(1)
	maxScans         = 3
)

// Head is the row whose version orders all changes: a commit replaces it under
// compare-and-set.
type Head struct {
	// Revision is the newest accepted revision.
	Revision Revision `json:"revision"`
	// Command is the identity of the command behind that revision.
	Command string `json:"command"`
}

// Repository reads and writes the configuration in the table service. Set its
// fields before the first call. It is safe for concurrent use.
type Repository struct {
	// Table is the table service.
	Table *spoketable.Table
	// Store receives the configuration that was read or committed.
	Store *Store
}

// Refresh reads the configuration from the table service if it is newer than
// the store's. It returns an error of kind KindUnavailable if the table service
// does not answer or the configuration keeps changing, and of kind KindInvalid
// if a row is malformed.
func (r *Repository) Refresh(ctx context.Context) error {
	head, _, err := r.head(ctx)
	if err != nil {
		return err
	}
	if head.Revision <= r.Store.Revision() {
		return nil
	}
	return r.load(ctx)
}

func (r *Repository) head(ctx context.Context) (Head, spoketable.Version, error) {
	rows, err := r.Table.Read(ctx, headKey)
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

// load scans all items and accepts them if the head is the same before and after
// the scan, so that pages of different revisions are never mixed. It relies on reads that
// follow one another not to go back in time.
func (r *Repository) load(ctx context.Context) error {
	for range maxScans {
		before, _, err := r.head(ctx)
		if err != nil {
			return err
		}
		rows, err := r.Table.ScanAll(ctx, itemPrefix)
		if err != nil {
			return spokeerror.New("read configuration", KindUnavailable, err)
		}
		after, _, err := r.head(ctx)
		if err != nil {
			return err
		}
		if before.Revision != after.Revision {
			continue
		}
		items, err := decodeItems(rows)
		if err != nil {
			return err
		}
		_, err = r.Store.Merge(Delta{To: after.Revision, Items: items})
		return err
	}
	return spokeerror.Newf("read configuration", KindUnavailable, "the configuration changed during each of %d scans", maxScans)
}

func decodeItems(rows []spoketable.Row) ([]Item, error) {
	items := make([]Item, 0, len(rows))
	for _, row := range rows {
		item, err := spoketable.DecodeRow[Item](row)
		if err != nil {
			return nil, spokeerror.New("read configuration", KindInvalid, err)
		}
		items = append(items, item)
	}
	return items, nil
}

// Commit writes the changes of a proposal as the revision after base, under the identity of
// a command. A repeated command returns the revision that it got the first time.
// Commit returns an error of kind KindConflict if another change was accepted
// first, KindUnavailable if nothing was accepted, also because the content at base has not
// been read here yet, and KindOutcomeUnknown if the changes may or may not have been accepted.
func (r *Repository) Commit(ctx context.Context, base Revision, proposal Proposal, command string) (Revision, error) {
	if revision, found, err := r.acceptedRevision(ctx, command); err != nil || found {
		return revision, err
	}
	head, version, err := r.head(ctx)
	if err != nil {
		return 0, err
	}
	if newest := max(head.Revision, proposal.base); newest != base {
		return 0, spokeerror.Newf("apply configuration", KindConflict, "the change is based on revision %d, but revision %d is in force", base, newest)
	}
	if proposal.base != base {
		// Changes from one content don't lead to the same result from another one.
		return 0, spokeerror.Newf("apply configuration", KindUnavailable, "the change is based on revision %d, but this instance is at revision %d", base, proposal.base)
	}
	next := head.Revision + 1
	outcome, err := r.Table.Transact(ctx, commitTransaction(next, version, proposal.changes, command))
	if err != nil {
		revision, err := r.resolveOutcome(ctx, command, err)
		if err != nil {
			return 0, err
		}
		// A repetition of the command elsewhere may have been accepted in place of this
		// one, with another base.
		return revision, r.Refresh(ctx)
	}
	if !outcome.Committed {
		return 0, conflictError(base, outcome)
	}
	return next, r.mergeAccepted(ctx, proposal, next)
}

// mergeAccepted merges accepted changes into the store. It reads them back only
// if the store is not at their base, since a read may return an older state.
func (r *Repository) mergeAccepted(ctx context.Context, proposal Proposal, next Revision) error {
	_, err := r.Store.Merge(Delta{From: proposal.base, To: next, Items: itemsAt(next, proposal.changes)})
	if spokeerror.KindOf[Kind](err) == KindGap {
		return r.Refresh(ctx)
	}
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

func conflictError(base Revision, outcome spoketable.Outcome) error {
	inForce := "a newer revision"
	for _, row := range outcome.Conflicts {
		if head, err := spoketable.DecodeRow[Head](row); err == nil {
			return spokeerror.Newf("apply configuration", KindConflict, "the change is based on revision %d, but revision %d is in force", base, head.Revision)
		}
	}
	return spokeerror.Newf("apply configuration", KindConflict, "the change is based on revision %d, but %s is in force", base, inForce)
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

// acceptedRevision returns the revision of a command, and whether the command
// has been accepted.
func (r *Repository) acceptedRevision(ctx context.Context, command string) (Revision, bool, error) {
	rows, err := r.Table.Read(ctx, commandPrefix+command)
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

// resolveOutcome reads back whether a commit whose response was lost has been
// accepted.
func (r *Repository) resolveOutcome(ctx context.Context, command string, cause error) (Revision, error) {
	if spokeerror.KindOf[spoketable.Kind](cause) == spoketable.KindUnavailable {
		return 0, spokeerror.New("apply configuration", KindUnavailable, cause)
	}
	for range readBackAttempts {
		revision, found, err := r.acceptedRevision(ctx, command)
		if err == nil && found {
			return revision, nil
		}
		if spokeclock.Sleep(ctx, readBackInterval) != nil {
			break
		}
	}
	return 0, spokeerror.Newf("apply configuration", KindOutcomeUnknown, "the change may have been accepted; repeat the command as %s: %s", command, strings.TrimSpace(cause.Error()))
}
