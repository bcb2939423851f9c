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
	// Unanswered is whether the poll gets no answer. The next poll distinguishes
	// a dead connection from an outage of the table.
	Unanswered bool `yaml:"unanswered"`
	// Down is whether the table does not answer that poll either.
	Down bool `yaml:"down"`
	// Restored is whether the table has been restored from an older copy since the
	// last step.
	Restored bool `yaml:"restored"`
	// HistoryLost is whether the changes are no longer kept.
	HistoryLost bool `yaml:"history_lost"`
	// Table has the keys of the whole table, for a read of all rows.
	Table []string `yaml:"table"`
	// Set and Removed are the keys of the changed rows.
	Set     []string `yaml:"set"`
	Removed []string `yaml:"gone"`
	// Want has the keys of the copy after the step, Relayed those that its relay passes
	// on. Without Relayed it is not checked.
	Want    []string  `yaml:"want"`
	Relayed *[]string `yaml:"relayed"`
}

type followCase struct {
	Name       string       `yaml:"name"`
	RowsExpire bool         `yaml:"settles"`
	Steps      []followStep `yaml:"steps"`
}

// TestFollower scripts the answers of a table and compares the copy after each
// poll.
func TestFollower(t *testing.T) {
	for _, c := range spokecase.Read[[]followCase](t, "testdata/follows.yaml") {
		t.Run(c.Name, func(t *testing.T) { c.run(t) })
	}
}

func (c followCase) run(t *testing.T) {
	var clock spokeclock.Manual
	clock.Advance(1)
	var current followStep
	era := spoketable.Era(1)
	copied := map[string]spoketable.Row{}
	relay := &spokefeed.Relay{Clock: clock.Clock()}
	f := &spokefeed.Follower{
		Relay: relay, TableName: "table", RowsExpire: c.RowsExpire, Clock: clock.Clock(), Log: zerolog.Nop(),
		ReadAllFunc: func(context.Context) ([]spoketable.Row, spokefeed.Position, error) {
			if current.Down || current.Unanswered {
				return nil, spokefeed.Position{}, spokeerror.New("read", spokefeed.KindUnavailable, nil)
			}
			return rowsOf(current.Table), spokefeed.Position{Era: era, Version: 1, ReadAt: clock.Clock().Now()}, nil
		},
		ChangesFunc: func(context.Context, spokefeed.Position, spokeclock.Millis) ([]spokefeed.Change, spokefeed.Position, error) {
			changes, err := current.changes()
			return changes, spokefeed.Position{Era: era, Version: 2, ReadAt: clock.Clock().Now()}, err
		},
		RowsChangedFunc: func(rows map[string]spoketable.Row) {
			copied = rows
			// The relay has the position of the rows as soon as it has the rows.
			update, err := relay.Changes(context.Background(), spokefeed.RelayRequest{Generation: -1})
			if err == nil {
				require.Equal(t, era, update.Position.Era)
			}
		},
	}
	for i, step := range c.Steps {
		current = step
		if step.Restored {
			era++
		}
		clock.Advance(step.Advance)
		require.Equal(t, !step.Down, f.Poll(context.Background()), "step %d", i+1)
		require.ElementsMatch(t, step.Want, slices.Collect(maps.Keys(copied)), "step %d", i+1)
		if step.Relayed != nil {
			require.ElementsMatch(t, *step.Relayed, relayedKeys(t, relay), "step %d", i+1)
		}
	}
}

// relayedKeys returns the keys that a relay passes on.
func relayedKeys(t *testing.T, relay *spokefeed.Relay) []string {
	update, err := relay.Changes(context.Background(), spokefeed.RelayRequest{Generation: -1})
	require.NoError(t, err)
	var keys []string
	for _, row := range update.Rows {
		keys = append(keys, row.Key)
	}
	return keys
}

func (s followStep) changes() ([]spokefeed.Change, error) {
	switch {
	case s.Down, s.Unanswered:
		return nil, spokeerror.New("read", spokefeed.KindUnavailable, nil)
	case s.HistoryLost, s.Restored:
		return nil, spokeerror.New("read", spokefeed.KindHistoryLost, nil)
	}
	var changes []spokefeed.Change
	for _, row := range rowsOf(s.Set) {
		changes = append(changes, spokefeed.Change{Row: row})
	}
	for _, row := range rowsOf(s.Removed) {
		changes = append(changes, spokefeed.Change{Row: row, Removed: true})
	}
	return changes, nil
}

func rowsOf(keys []string) []spoketable.Row {
	var rows []spoketable.Row
	for _, key := range keys {
		rows = append(rows, spoketable.Row{Key: key, Version: 1})
	}
	return rows
}
