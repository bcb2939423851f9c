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
	// KindHistoryLost says that the changes asked for are no longer kept.
	KindHistoryLost Kind = "history_lost"
	// KindUnavailable says that the table did not answer.
	KindUnavailable Kind = "unavailable"
)

const (
	// settleTime is the time within which most rows come back that lapsed while
	// the table was away. With the time until an absence is noticed to be over,
	// and the pause between questions, it ends before a leaving server must be
	// left alone.
	settleTime = 1500 * spokeclock.Millis(1)
	// doubtTime is how long rows are kept that vanish in a mass although the
	// table seemed well. It ends before a leaving server must be left alone.
	doubtTime = 1300 * spokeclock.Millis(1)
	// massShare is the part of the rows that vanish in a mass.
	massShare = 0.34
	// massLeast is the number of rows below which nothing counts as a mass.
	massLeast = 3
	// defaultWait bounds one question for changes.
	defaultWait = 3 * spokeclock.Second
	// probeWait is the wait of a question that only asks whether the table
	// answers.
	probeWait  = spokeclock.Millis(1)
	retryStart = 100 * spokeclock.Millis(1)
	retryLimit = spokeclock.Second
)

// Change is a row as it became. A row that is gone has no value.
type Change struct {
	// Row is the row.
	Row spoketable.Row
	// Removed says that the row was removed.
	Removed bool
}

// Follower keeps the copy. Set its fields before Run.
type Follower struct {
	// TableName names what is followed, for the log.
	TableName string
	// ReadAllFunc reads the whole table and its version.
	ReadAllFunc func(ctx context.Context) ([]spoketable.Row, spoketable.Version, error)
	// ChangesFunc returns what changed behind a version, once something has or
	// the wait is over, and the version that leads to. Its errors are of the
	// kinds KindHistoryLost and KindUnavailable.
	ChangesFunc func(ctx context.Context, after spoketable.Version, wait spokeclock.Millis) ([]Change, spoketable.Version, error)
	// RowsChangedFunc is called with the whole copy after each change. It must not
	// keep the map.
	RowsChangedFunc func(rows map[string]spoketable.Row)
	// PauseFunc returns the time between two questions. Nil means none.
	PauseFunc func() spokeclock.Millis
	// MaxWait is the longest wait of one question. A connection may fall silent for
	// good, so that nothing is heard for as long. Zero means three seconds.
	MaxWait spokeclock.Millis
	// RowsExpire says that rows may lapse while the table is away.
	RowsExpire bool
	// Clock tells the time. Nil means the real one.
	Clock *spokeclock.Clock
	// Log takes the log lines.
	Log zerolog.Logger

	rows        map[string]spoketable.Row
	version     spoketable.Version
	loaded      bool
	away        bool
	probing     bool
	failedSince spokeclock.Millis
	justBack    bool
	doubted     map[string]spokeclock.Millis
}

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	f.fill()
	retry := retryStart
	for ctx.Err() == nil {
		var pause spokeclock.Millis
		if f.step(ctx) {
			retry = retryStart
			pause = f.pause()
		} else {
			pause = retry
			retry = min(2*retry, retryLimit)
		}
		if pause > 0 && spokeclock.Sleep(ctx, pause) != nil {
			return
		}
	}
}

func (f *Follower) fill() {
	if f.rows == nil {
		f.rows = make(map[string]spoketable.Row)
		f.doubted = make(map[string]spokeclock.Millis)
	}
}

func (f *Follower) pause() spokeclock.Millis {
	if f.PauseFunc == nil {
		return 0
	}
	return f.PauseFunc()
}

// step asks once and reports whether the table answered.
func (f *Follower) step(ctx context.Context) bool {
	if !f.loaded {
		return f.load(ctx)
	}
	changes, version, err := f.ChangesFunc(ctx, f.version, f.wait())
	switch {
	case err == nil:
		f.answered()
		f.version = version
		f.take(changes)
		return true
	case spokeerror.KindOf[Kind](err) == KindHistoryLost:
		f.Log.Info().Str("table", f.TableName).Int64("version", int64(f.version)).Msg("History lost, reading the whole table.")
		f.loaded = false
		return f.load(ctx)
	case !f.probing:
		// One question without an answer may be a dead connection.
		f.probing = true
		return true
	default:
		f.failed(ctx, err)
		return false
	}
}

// wait is how long to wait for changes: not beyond the end of a doubt, and not
// at all while it is not known whether the table answers.
func (f *Follower) wait() spokeclock.Millis {
	if f.probing {
		return probeWait
	}
	wait := f.MaxWait
	if wait == 0 {
		wait = defaultWait
	}
	now := f.Clock.Now()
	for _, until := range f.doubted {
		wait = min(wait, max(1, until-now))
	}
	return wait
}

func (f *Follower) load(ctx context.Context) bool {
	rows, version, err := f.ReadAllFunc(ctx)
	if err != nil {
		f.failed(ctx, err)
		return false
	}
	f.answered()
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
	f.take(changes)
	return true
}

func (f *Follower) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	f.probing = true
	if !f.away {
		f.away = true
		f.failedSince = f.Clock.Now()
		f.Log.Warn().Str("table", f.TableName).Err(err).Msg("Table lost.")
	}
}

func (f *Follower) answered() {
	f.probing = false
	if !f.away {
		return
	}
	f.away = false
	now := f.Clock.Now()
	f.justBack = true
	f.Log.Info().Str("table", f.TableName).Int64("away_millis", int64(now-f.failedSince)).Msg("Table regained.")
}

// take applies changes, and removals that have been doubted for long enough.
func (f *Follower) take(changes []Change) {
	now := f.Clock.Now()
	until := f.doubtUntil(changes, now)
	changed := false
	for _, change := range changes {
		key := change.Row.Key
		delete(f.doubted, key)
		_, held := f.rows[key]
		switch {
		case !change.Removed:
			f.rows[key] = change.Row
			changed = true
		case !held:
		case until > now:
			f.doubted[key] = until
		default:
			delete(f.rows, key)
			changed = true
		}
	}
	for key, until := range f.doubted {
		if now >= until {
			delete(f.doubted, key)
			delete(f.rows, key)
			changed = true
		}
	}
	if changed {
		f.RowsChangedFunc(maps.Clone(f.rows))
	}
}

// doubtUntil returns until when removals are not believed. What was removed
// while the table was away may only have lapsed. What is removed afterwards has
// not, unless it is a mass.
func (f *Follower) doubtUntil(changes []Change, now spokeclock.Millis) spokeclock.Millis {
	justBack := f.justBack
	f.justBack = false
	if !f.RowsExpire {
		return now
	}
	if justBack {
		return now + settleTime
	}
	gone := 0
	for _, change := range changes {
		if change.Removed {
			gone++
		}
	}
	if gone >= massLeast && float64(gone) > massShare*float64(len(f.rows)) {
		return now + doubtTime
	}
	return now
}
