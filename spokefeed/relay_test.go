package spokefeed_test

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"mulberryspoke.example/mulberryspoke/spokecase"
	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeerror"
	"mulberryspoke.example/mulberryspoke/spokefeed"
	"mulberryspoke.example/mulberryspoke/spoketable"
)

type relayCase struct {
	Name  string `yaml:"name"`
	Steps []struct {
		Note    string            `yaml:"note"`
		Advance spokeclock.Millis `yaml:"advance_millis"`
		// Restarted replaces the relay by that of a later run.
		Restarted bool `yaml:"restarted"`
		// Rows are the versions of all rows, nil if they have not changed. Rewrites is
		// how often one more row is changed before.
		Rows     map[string]spoketable.Version `yaml:"rows"`
		Rewrites int                           `yaml:"rewrites"`
		// Confirmed is whether the table answers.
		Confirmed bool `yaml:"confirmed"`
		// From is the step, counted from 1, to whose update the request refers.
		From        int      `yaml:"from"`
		Unavailable bool     `yaml:"unavailable"`
		Whole       bool     `yaml:"whole"`
		Got         []string `yaml:"got"`
		Removed     []string `yaml:"removed"`
	} `yaml:"steps"`
}

// TestRelay changes the rows of a relay and checks the answers to requests.
func TestRelay(t *testing.T) {
	for _, c := range spokecase.Read[[]relayCase](t, "testdata/relays.yaml") {
		t.Run(c.Name, func(t *testing.T) { c.run(t) })
	}
}

func (c relayCase) run(t *testing.T) {
	var clock spokeclock.Manual
	clock.Advance(1)
	relay := &spokefeed.Relay{Generation: 1, Clock: clock.Clock()}
	requests := []spokefeed.RelayRequest{{}}
	for i, step := range c.Steps {
		clock.Advance(step.Advance)
		if step.Restarted {
			relay = &spokefeed.Relay{Generation: 2, Clock: clock.Clock()}
		}
		for n := range step.Rewrites {
			relay.Set(map[string]spoketable.Row{"x": {Key: "x", Version: spoketable.Version(n + 1)}})
		}
		if step.Rows != nil {
			rows := make(map[string]spoketable.Row)
			for key, version := range step.Rows {
				rows[key] = spoketable.Row{Key: key, Version: version}
			}
			relay.Set(rows)
		}
		if step.Confirmed {
			relay.Confirm(spokefeed.Position{Version: 1, ReadAt: clock.Clock().Now()})
		}
		update, err := relay.Changes(context.Background(), requests[step.From])
		requests = append(requests, spokefeed.RelayRequest{Generation: update.Generation, Sequence: update.Sequence})
		if step.Unavailable {
			require.Equal(t, spokefeed.KindUnavailable, spokeerror.KindOf[spokefeed.Kind](err), "step %d", i+1)
			continue
		}
		require.NoError(t, err, "step %d", i+1)
		require.Equal(t, step.Whole, update.IsWhole, "step %d", i+1)
		var got []string
		for _, row := range update.Rows {
			got = append(got, row.Key)
		}
		require.ElementsMatch(t, step.Got, got, "step %d", i+1)
		require.ElementsMatch(t, step.Removed, update.Removed, "step %d", i+1)
	}
}

// TestLargeRelay guards against an update so long that the link to the peer refuses it.
func TestLargeRelay(t *testing.T) {
	var clock spokeclock.Manual
	clock.Advance(1)
	relay := &spokefeed.Relay{Generation: 1, Clock: clock.Clock()}
	rows := make(map[string]spoketable.Row)
	for i := range 9 {
		key := string(rune('a' + i))
		rows[key] = spoketable.Row{Key: key, Value: make([]byte, 1<<20), Version: 1}
	}
	relay.Set(rows)
	relay.Confirm(spokefeed.Position{Version: 1, ReadAt: clock.Clock().Now()})
	_, err := relay.Changes(context.Background(), spokefeed.RelayRequest{})
	require.Equal(t, spokefeed.KindUnavailable, spokeerror.KindOf[spokefeed.Kind](err))
	rows["a"] = spoketable.Row{Key: "a", Version: 2}
	delete(rows, "b")
	relay.Set(rows)
	update, err := relay.Changes(context.Background(), spokefeed.RelayRequest{})
	require.NoError(t, err)
	require.Len(t, update.Rows, 8)
}
