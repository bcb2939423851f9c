package spokefeed_test

import (
	"context"
	"maps"
	"slices"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"mulberryspoke.example/mulberryspoke/spokecase"
	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeerror"
	"mulberryspoke.example/mulberryspoke/spokefeed"
	"mulberryspoke.example/mulberryspoke/spoketable"
)

type followStep struct {
	Advance spokeclock.Millis `yaml:"advance_millis"`
	// Unanswered says that a question gets no answer. The next one tells a dead
	// connection from a table that is away.
	Unanswered bool `yaml:"unanswered"`
	// Down says that the table does not answer then either.
	Down bool `yaml:"down"`
	// HistoryLost says that the changes are no longer kept.
	HistoryLost bool `yaml:"history_lost"`
	// Table is the whole table, when it is read.
	Table []string `yaml:"table"`
	// Set and Gone are what changed.
	Set  []string `yaml:"set"`
	Gone []string `yaml:"gone"`
	// Want are the rows of the copy afterwards.
	Want []string `yaml:"want"`
}

type followCase struct {
	Name    string       `yaml:"name"`
	Settles bool         `yaml:"settles"`
	Steps   []followStep `yaml:"steps"`
}

// TestFollower plays what a table answers and compares the copy.
func TestFollower(t *testing.T) {
	for _, c := range spokecase.Read[[]followCase](t, "testdata/follows.yaml") {
		t.Run(c.Name, func(t *testing.T) { c.play(t) })
	}
}

func (c followCase) play(t *testing.T) {
	var clock spokeclock.Manual
	clock.Advance(1)
	var now followStep
	copied := map[string]spoketable.Row{}
	f := &spokefeed.Follower{
		TableName: "table", RowsExpire: c.Settles, Clock: clock.Clock(), Log: zerolog.Nop(),
		ReadAllFunc: func(context.Context) ([]spoketable.Row, spoketable.Version, error) {
			if now.Down || now.Unanswered {
				return nil, 0, spokeerror.New("read", spokefeed.KindUnavailable, nil)
			}
			return rowsOf(now.Table), 1, nil
		},
		ChangesFunc: func(context.Context, spoketable.Version, spokeclock.Millis) ([]spokefeed.Change, spoketable.Version, error) {
			return now.changes()
		},
		RowsChangedFunc: func(rows map[string]spoketable.Row) { copied = rows },
	}
	for i, step := range c.Steps {
		now = step
		clock.Advance(step.Advance)
		require.Equal(t, !step.Down, f.Step(context.Background()), "step %d", i+1)
		require.ElementsMatch(t, step.Want, slices.Collect(maps.Keys(copied)), "step %d", i+1)
	}
}

func (s followStep) changes() ([]spokefeed.Change, spoketable.Version, error) {
	switch {
	case s.Down, s.Unanswered:
		return nil, 0, spokeerror.New("read", spokefeed.KindUnavailable, nil)
	case s.HistoryLost:
		return nil, 0, spokeerror.New("read", spokefeed.KindHistoryLost, nil)
	}
	var changes []spokefeed.Change
	for _, row := range rowsOf(s.Set) {
		changes = append(changes, spokefeed.Change{Row: row})
	}
	for _, row := range rowsOf(s.Gone) {
		changes = append(changes, spokefeed.Change{Row: row, Removed: true})
	}
	return changes, 2, nil
}

func rowsOf(keys []string) []spoketable.Row {
	var rows []spoketable.Row
	for _, key := range keys {
		rows = append(rows, spoketable.Row{Key: key, Version: 1})
	}
	return rows
}
