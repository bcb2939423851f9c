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
	// defaultMaxWait is the longest wait of one poll if Follower.MaxWait is zero.
	defaultMaxWait = 3 * spokeclock.Second
	// probeWait is the wait of a poll that only checks whether the table
	// answers.
	probeWait    = spokeclock.Millis(1)
	initialRetry = 100 * spokeclock.Millis(1)
	maxRetry     = spokeclock.Second
)

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
	// ReadAllFunc reads the whole table and its version.
	ReadAllFunc func(ctx context.Context) ([]spoketable.Row, spoketable.Version, error)
	// ChangesFunc returns the changes after a version and the version that they
	// lead to. It waits until there are changes or the wait has passed. Its
	// errors are of KindHistoryLost or KindUnavailable.
	ChangesFunc func(ctx context.Context, after spoketable.Version, wait spokeclock.Millis) ([]Change, spoketable.Version, error)
	// RowsChangedFunc is called with the whole copy, by key, after each change.
	// It must not keep the map.
	RowsChangedFunc func(rows map[string]spoketable.Row)
	// PauseFunc returns the pause between two polls. Nil means none.
	PauseFunc func() spokeclock.Millis
	// MaxWait is the longest wait of one poll. It bounds the time without
	// changes when a connection dies silently. Zero means three seconds.
	MaxWait spokeclock.Millis
	// RowsExpire is whether rows can expire during an outage of the table.
	RowsExpire bool
	// Clock is the time source. Nil means the system clock.
	Clock *spokeclock.Clock
	// Log is the logger.
	Log zerolog.Logger

	rows     map[string]spoketable.Row
	version  spoketable.Version
	loaded   bool
	inOutage bool
	// probing is whether the last poll got no answer.
	probing     bool
	outageSince spokeclock.Millis
	// recovered is whether an outage has ended since the last changes.
	recovered bool
	// pendingRemovals is when removed rows that are kept for now are removed
	// from the copy, by key.
	pendingRemovals map[string]spokeclock.Millis
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
	}
}

func (f *Follower) pause() spokeclock.Millis {
	if f.PauseFunc == nil {
		return 0
	}
	return f.PauseFunc()
}

// poll polls once and reports whether the table is available. It also returns
// true after the first poll without an answer.
func (f *Follower) poll(ctx context.Context) bool {
	if !f.loaded {
		return f.load(ctx)
	}
	changes, version, err := f.ChangesFunc(ctx, f.version, f.pollWait())
	switch {
	case err == nil:
		f.recordAnswer()
		f.version = version
		f.applyChanges(changes)
		return true
	case spokeerror.KindOf[Kind](err) == KindHistoryLost:
		f.Log.Info().Str("table", f.TableName).Int64("version", int64(f.version)).Msg("History of changes lost, reading the whole table.")
		f.loaded = false
		return f.load(ctx)
	case !f.probing:
		// A single poll without an answer may be due to a dead connection.
		f.probing = true
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
	if wait == 0 {
		wait = defaultMaxWait
	}
	now := f.Clock.Now()
	for _, due := range f.pendingRemovals {
		wait = min(wait, max(1, due-now))
	}
	return wait
}

// load reads the whole table and applies its differences from the copy.
func (f *Follower) load(ctx context.Context) bool {
	rows, version, err := f.ReadAllFunc(ctx)
	if err != nil {
		f.recordFailure(ctx, err)
		return false
	}
	f.recordAnswer()
	f.loaded = true
	f.version = version
	changes := make([]Change, 0, len(rows))
	present := make(map[string]bool, len(rows))
	for _, row := range rows {
		present[row.Key] = true
		changes = append(changes, Change{Row: row})
	}
	for key := range f.rows {
		if !present[key] {
			changes = append(changes, Change{Row: spoketable.Row{Key: key}, Removed: true})
		}
	}
	f.applyChanges(changes)
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

// applyChanges applies changes to the copy, and the pending removals that are
// due.
func (f *Follower) applyChanges(changes []Change) {
	now := f.Clock.Now()
	removalDue := f.removalDue(changes, now)
	changed := false
	for _, change := range changes {
		key := change.Row.Key
		delete(f.pendingRemovals, key)
		_, present := f.rows[key]
		switch {
		case !change.Removed:
			f.rows[key] = change.Row
			changed = true
		case !present:
		case removalDue > now:
			f.pendingRemovals[key] = removalDue
		default:
			delete(f.rows, key)
			changed = true
		}
	}
	for key, due := range f.pendingRemovals {
		if now >= due {
			delete(f.pendingRemovals, key)
			delete(f.rows, key)
			changed = true
		}
	}
	if changed {
		f.RowsChangedFunc(maps.Clone(f.rows))
	}
}

// removalDue returns when the removals among the changes are applied. Rows
// removed during an outage of the table may only have expired. Rows removed
// afterwards have not, unless many are removed at once.
func (f *Follower) removalDue(changes []Change, now spokeclock.Millis) spokeclock.Millis {
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
		return now + massRemovalGrace
	}
	return now
}
