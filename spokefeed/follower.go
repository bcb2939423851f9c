package spokefeed

import (
	"context"
	"maps"

	"github.com/rs/zerolog"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeerror"
	"mulberryspoke.example/mulberryspoke/spoketable"
)

// Kind is the kind of an error of this package.
type Kind string

const (
	// KindHistoryLost means that the requested changes are no longer kept.
	KindHistoryLost Kind = "history_lost"
	// KindUnavailable means that the table did not answer.
	KindUnavailable Kind = "unavailable"
	// KindSourceChanged means that the table is now read in another way, so that the
	// whole of it has to be read.
	KindSourceChanged Kind = "source_changed"
)

const (
	// outageGrace is how long rows are kept that were removed during an outage
	// of the table. Most rows that expired in the outage are written again
	// within it. The time to detect the end of the outage, the pause between
	// polls and outageGrace together end before the latest time at which a
	// server being removed may still get requests.
	outageGrace = 1500 * spokeclock.Millis(1)
	// massRemovalGrace is how long rows are kept that are removed in a mass
	// without an observed outage. It ends before the latest time at which a
	// server being removed may still get requests.
	massRemovalGrace = 1300 * spokeclock.Millis(1)
	// massRemovalShare is the share of the rows above which removals count as a
	// mass.
	massRemovalShare = 0.34
	// massRemovalMin is the number of removals below which none count as a mass.
	massRemovalMin = 3
	// removalMargin is the time for the poll that ends when removals are due.
	removalMargin = 600 * spokeclock.Millis(1)
	// defaultMaxWait is the longest wait of one poll if Follower.MaxWait is zero.
	defaultMaxWait = 3 * spokeclock.Second
	// probeWait is the wait of a poll that only checks whether the table
	// answers.
	probeWait = spokeclock.Millis(1)
	// defaultReturnDelay is the delay of a row that a restore of the table has
	// brought back if Follower.ReturnDelay is zero.
	defaultReturnDelay = 5 * spokeclock.Second
	// removedRetention is how long a removed row is remembered. A table is restored
	// from a copy that is only seconds old.
	removedRetention = 60 * spokeclock.Second
	initialRetry     = 100 * spokeclock.Millis(1)
	maxRetry         = spokeclock.Second
)

// Position is a place in the history of a table.
type Position struct {
	// Era is the table's era. Versions of different eras can't be compared.
	Era spoketable.Era `json:"era,omitempty"`
	// Version is the version of the last change.
	Version spoketable.Version `json:"version"`
	// ReadAt is the latest time, by the clock of this process, at which the rows were
	// certainly those of the table.
	ReadAt spokeclock.Millis `json:"-"`
	// Relay is the peer through which the table is read, or empty. RelayGeneration
	// and RelaySequence are then the place in its history.
	Relay           string `json:"-"`
	RelayGeneration int64  `json:"-"`
	RelaySequence   int64  `json:"-"`
}

// isBehind reports whether a position is before another one in the history of the
// table.
func (p Position) isBehind(other Position) bool {
	if p.Era != other.Era {
		return p.Era < other.Era
	}
	return p.Version < other.Version
}

// Change is the new state of a row.
type Change struct {
	// Row is the row. It has no value if it was removed.
	Row spoketable.Row
	// Removed is whether the row was removed.
	Removed bool
}

// Follower keeps a copy of a table up to date. Set its fields before Run.
type Follower struct {
	// TableName is the name of the table in log messages.
	TableName string
	// ReadAllFunc reads the whole table and its position.
	ReadAllFunc func(ctx context.Context) ([]spoketable.Row, Position, error)
	// ChangesFunc returns the changes after a position and the position that they
	// lead to. It waits until there are changes, the wait has passed or the era has
	// ended. Its errors are of KindHistoryLost, also if the era has ended,
	// KindSourceChanged or KindUnavailable.
	ChangesFunc func(ctx context.Context, after Position, wait spokeclock.Millis) ([]Change, Position, error)
	// Relay, if set, passes the rows on while the table is read directly.
	Relay *Relay
	// RowsChangedFunc is called with the whole copy, by key, after each change.
	// It must not keep the map.
	RowsChangedFunc func(rows map[string]spoketable.Row)
	// PauseFunc returns the pause between two polls. IsRelayed is whether the table
	// is read through a relay. Nil means none.
	PauseFunc func(isRelayed bool) spokeclock.Millis
	// MaxWait is the longest wait of one poll. It bounds the time without
	// changes when a connection dies silently. Zero means that of Bounds.
	MaxWait spokeclock.Millis
	// Bounds are the times in which changes must be known. Zeros leave the waits of
	// polls at three seconds.
	Bounds Bounds
	// RowsExpire is whether rows can expire during an outage of the table.
	RowsExpire bool
	// ReturnDelay is how long a removed row that a restore of the table has brought
	// back is left out unless it is written again. It is above the time after which
	// the row of a dead owner expires. Zero means five seconds. It applies to rows
	// that expire.
	ReturnDelay spokeclock.Millis
	// Clock is the time source. Nil means the system clock.
	Clock *spokeclock.Clock
	// Log is the logger.
	Log zerolog.Logger

	rows     map[string]spoketable.Row
	position Position
	loaded   bool
	inOutage bool
	// probing is whether the last poll got no answer.
	probing     bool
	outageSince spokeclock.Millis
	// readAt is the latest time at which the copy was certainly that of the table.
	readAt spokeclock.Millis
	// recovered is whether an outage has ended since the last changes.
	recovered bool
	// pendingRemovals is when removed rows that are kept for now are removed
	// from the copy, by key.
	pendingRemovals map[string]spokeclock.Millis
	// removedAt is when rows were removed from the copy, by key.
	removedAt map[string]spokeclock.Millis
	// pendingReturns are rows that a restore of the table has brought back, by key.
	pendingReturns map[string]pendingReturn
}

// pendingReturn is a removed row that is added to the copy again when it is due.
type pendingReturn struct {
	row spoketable.Row
	due spokeclock.Millis
}

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	f.initialise()
	retry := initialRetry
	for ctx.Err() == nil {
		var pause spokeclock.Millis
		if f.poll(ctx) {
			retry = initialRetry
			pause = f.pause()
		} else {
			pause = retry
			retry = min(2*retry, maxRetry)
		}
		if pause > 0 && spokeclock.Sleep(ctx, pause) != nil {
			return
		}
	}
}

func (f *Follower) initialise() {
	if f.rows == nil {
		f.rows = make(map[string]spoketable.Row)
		f.pendingRemovals = make(map[string]spokeclock.Millis)
		f.removedAt = make(map[string]spokeclock.Millis)
		f.pendingReturns = make(map[string]pendingReturn)
	}
}

// pause returns the pause before the next poll, none before one that finds out whether
// the table answers at all.
func (f *Follower) pause() spokeclock.Millis {
	if f.PauseFunc == nil || f.probing {
		return 0
	}
	return f.untilPending(f.PauseFunc(f.position.Relay != ""))
}

// poll polls once and reports whether the table is available. It also returns
// true after the first poll without an answer.
func (f *Follower) poll(ctx context.Context) bool {
	if !f.loaded {
		return f.load(ctx)
	}
	startedAt := f.Clock.Now()
	changes, position, err := f.ChangesFunc(ctx, f.position, f.pollWait())
	switch {
	case err == nil:
		f.recordAnswer()
		f.position = position
		f.applyChanges(changes, false)
		f.confirmRelay()
		return true
	case spokeerror.KindOf[Kind](err) == KindSourceChanged:
		f.Log.Info().Str("table", f.TableName).Str("relay", f.position.Relay).Int64("version", int64(f.position.Version)).Err(err).Msg("Reading the whole table from another source.")
		f.loaded = false
		return f.load(ctx)
	case spokeerror.KindOf[Kind](err) == KindHistoryLost:
		f.Log.Info().Str("table", f.TableName).Int64("version", int64(f.position.Version)).Int64("era", int64(f.position.Era)).Err(err).Msg("History of changes lost, reading the whole table.")
		f.loaded = false
		return f.load(ctx)
	case !f.probing:
		// A single poll without an answer may be due to a dead connection.
		f.probing = true
		f.Log.Info().Str("table", f.TableName).Int64("waited_millis", int64(f.Clock.Now()-startedAt)).Err(err).Msg("Poll got no answer, trying once more.")
		return true
	default:
		f.recordFailure(ctx, err)
		return false
	}
}

// pollWait returns how long the next poll waits for changes: at most until the
// next pending removal is due, and only probeWait after a failed poll.
func (f *Follower) pollWait() spokeclock.Millis {
	if f.probing {
		return probeWait
	}
	wait := f.MaxWait
	switch {
	case wait == 0 && f.Bounds.News > 0:
		wait = f.Bounds.ChangesWait()
	case wait == 0:
		wait = defaultMaxWait
	}
	return f.untilPending(wait)
}

// untilPending shortens a wait so that it ends when the next pending removal or return
// is due.
func (f *Follower) untilPending(wait spokeclock.Millis) spokeclock.Millis {
	now := f.Clock.Now()
	for _, due := range f.pendingRemovals {
		wait = min(wait, max(1, due-now))
	}
	for _, pending := range f.pendingReturns {
		wait = min(wait, max(1, pending.due-now))
	}
	return wait
}

// load reads the whole table and applies its differences from the copy.
func (f *Follower) load(ctx context.Context) bool {
	rows, position, err := f.ReadAllFunc(ctx)
	if err != nil {
		f.recordFailure(ctx, err)
		return false
	}
	f.recordAnswer()
	isRestored := position.Era > f.position.Era && f.position.Version > 0
	f.loaded = true
	f.position = position
	changes := make([]Change, 0, len(rows))
	present := make(map[string]bool, len(rows))
	for _, row := range rows {
		present[row.Key] = true
		if !f.delayReturn(row, isRestored) {
			changes = append(changes, Change{Row: row})
		}
	}
	for key := range f.rows {
		if !present[key] {
			changes = append(changes, Change{Row: spoketable.Row{Key: key}, Removed: true})
		}
	}
	for key := range f.pendingReturns {
		if !present[key] {
			delete(f.pendingReturns, key)
		}
	}
	if isRestored {
		f.Log.Warn().Str("table", f.TableName).Int64("era", int64(position.Era)).Int("delayed", len(f.pendingReturns)).Msg("Table was restored from an older copy.")
	}
	f.applyChanges(changes, isRestored)
	f.confirmRelay()
	return true
}

// confirmRelay allows the relay to pass the rows on if they were read directly.
func (f *Follower) confirmRelay() {
	switch {
	case f.Relay == nil:
	case f.position.Relay == "":
		f.Relay.confirm(f.position)
	default:
		f.Relay.revoke()
	}
}

// delayReturn reports whether a row of the whole table is left out of the copy for
// now: it was removed, and a restore of the table has brought it back. If its owner
// lives, the row changes or outlasts ReturnDelay.
func (f *Follower) delayReturn(row spoketable.Row, isRestored bool) bool {
	now := f.Clock.Now()
	pending, isPending := f.pendingReturns[row.Key]
	if isPending && !isRestored {
		return row.Version == pending.row.Version
	}
	removedAt, isRemoved := f.removedAt[row.Key]
	if !isRestored || !f.RowsExpire || !isRemoved || now-removedAt > removedRetention {
		return false
	}
	delay := f.ReturnDelay
	if delay == 0 {
		delay = defaultReturnDelay
	}
	f.pendingReturns[row.Key] = pendingReturn{row: row, due: now + delay}
	return true
}

func (f *Follower) recordFailure(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	f.probing = true
	if !f.inOutage {
		f.inOutage = true
		f.outageSince = f.Clock.Now()
		f.Log.Warn().Str("table", f.TableName).Err(err).Msg("Table is unavailable.")
	}
}

func (f *Follower) recordAnswer() {
	f.probing = false
	if !f.inOutage {
		return
	}
	f.inOutage = false
	now := f.Clock.Now()
	f.recovered = true
	f.Log.Info().Str("table", f.TableName).Int64("away_millis", int64(now-f.outageSince)).Msg("Table is available again.")
}

// applyChanges applies changes to the copy, its removals when they are due, and
// pending removals and returns that are due now. IsRestored is whether the changes are
// the differences from a restored table.
func (f *Follower) applyChanges(changes []Change, isRestored bool) {
	now := f.Clock.Now()
	// An earlier time holds, unless the owners were kept from writing since.
	isNewGrace := f.recovered || isRestored
	removalDue := f.removalDue(changes)
	if isRestored {
		removalDue = now + outageGrace
	}
	f.readAt = f.position.ReadAt
	changed := false
	kept := 0
	for _, change := range changes {
		key := change.Row.Key
		due := removalDue
		if earlier, isPending := f.pendingRemovals[key]; isPending && !isNewGrace {
			due = min(due, earlier)
		}
		delete(f.pendingRemovals, key)
		delete(f.pendingReturns, key)
		_, present := f.rows[key]
		switch {
		case !change.Removed:
			f.rows[key] = change.Row
			delete(f.removedAt, key)
			changed = true
		case !present:
		case due > now:
			f.pendingRemovals[key] = due
			kept++
		default:
			f.remove(key, now)
			changed = true
		}
	}
	if kept > 0 {
		f.Log.Info().Str("table", f.TableName).Int("rows", kept).Int64("due_in_millis", int64(removalDue-now)).Str("relay", f.position.Relay).Msg("Removed rows are kept for now.")
	}
	changed = f.applyPending(now) || changed
	if f.Relay != nil && (changed || len(changes) > 0) {
		f.Relay.set(f.relayedRows(), f.position)
	}
	if changed {
		f.RowsChangedFunc(maps.Clone(f.rows))
	}
}

// relayedRows returns the rows to pass on. Those that are kept although they were
// removed are left out: a follower of the relay that has applied their removal would
// otherwise take them back, and one that has not keeps them for a time of its own.
func (f *Follower) relayedRows() map[string]spoketable.Row {
	rows := maps.Clone(f.rows)
	for key := range f.pendingRemovals {
		delete(rows, key)
	}
	return rows
}

// applyPending applies the pending removals and returns that are due, and reports
// whether there were any.
func (f *Follower) applyPending(now spokeclock.Millis) bool {
	changed := false
	for key, due := range f.pendingRemovals {
		if now >= due {
			delete(f.pendingRemovals, key)
			f.remove(key, now)
			changed = true
		}
	}
	for key, pending := range f.pendingReturns {
		if now >= pending.due {
			delete(f.pendingReturns, key)
			delete(f.removedAt, key)
			f.rows[key] = pending.row
			changed = true
		}
	}
	return changed
}

// remove removes a row from the copy and forgets rows removed long ago.
func (f *Follower) remove(key string, now spokeclock.Millis) {
	delete(f.rows, key)
	for other, removedAt := range f.removedAt {
		if now-removedAt > removedRetention {
			delete(f.removedAt, other)
		}
	}
	f.removedAt[key] = now
}

// removalDue returns when the removals among the changes are applied. Rows
// removed during an outage of the table may only have expired. Rows removed
// afterwards have not, unless many are removed at once. Those may have been removed
// at any time since the copy was last that of the table.
func (f *Follower) removalDue(changes []Change) spokeclock.Millis {
	now := f.Clock.Now()
	recovered := f.recovered
	f.recovered = false
	if !f.RowsExpire {
		return now
	}
	if recovered {
		return now + outageGrace
	}
	removed := 0
	for _, change := range changes {
		if change.Removed {
			removed++
		}
	}
	if removed >= massRemovalMin && float64(removed) > massRemovalShare*float64(len(f.rows)) {
		due := now + massRemovalGrace
		if f.Bounds.News > 0 {
			due = min(due, f.readAt+f.Bounds.News-removalMargin)
		}
		return due
	}
	return now
}
