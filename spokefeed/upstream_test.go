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

type upstreamStep struct {
	Advance spokeclock.Millis `yaml:"advance_millis"`
	// Read is "whole" for the whole table. Otherwise changes are read.
	Read     string                        `yaml:"read"`
	Relays   map[string]spoketable.Version `yaml:"relays"`
	RelayEra spoketable.Era                `yaml:"relay_era"`
	// Restarted means that the relays have another history than before.
	Restarted bool `yaml:"restarted"`
	// From is the relay that the rows are from, empty for the table itself.
	From          string `yaml:"from"`
	SourceChanged bool   `yaml:"source_changed"`
	// Takes is how long the read takes. Changed means that there are changes.
	Takes   spokeclock.Millis `yaml:"takes_millis"`
	Changed bool              `yaml:"changed"`
	// ReadAgo is how long ago, at the end of the read, the rows were certainly those
	// of the table.
	ReadAgo *spokeclock.Millis `yaml:"read_ago_millis"`
}

type upstreamCase struct {
	Name  string         `yaml:"name"`
	Steps []upstreamStep `yaml:"steps"`
}

const (
	upstreamVersion = 10
	upstreamEra     = 1
)

// TestUpstream checks through which relay a table is read while relays fail, return or
// have not read as far as this process.
func TestUpstream(t *testing.T) {
	for _, c := range spokecase.Read[[]upstreamCase](t, "testdata/upstreams.yaml") {
		t.Run(c.Name, func(t *testing.T) { c.run(t) })
	}
}

func (c upstreamCase) run(t *testing.T) {
	var clock spokeclock.Manual
	clock.Advance(1)
	var step upstreamStep
	table := spokefeed.Position{Era: upstreamEra, Version: upstreamVersion}
	upstream := &spokefeed.Upstream{
		TableName: "table", MaxWait: 400, Clock: clock.Clock(),
		ReadAllFunc: func(context.Context) ([]spoketable.Row, spokefeed.Position, error) {
			clock.Advance(step.Takes)
			return nil, table, nil
		},
		ChangesFunc: func(context.Context, spokefeed.Position, spokeclock.Millis) ([]spokefeed.Change, spokefeed.Position, error) {
			clock.Advance(step.Takes)
			if step.Changed {
				return []spokefeed.Change{{}}, table, nil
			}
			return nil, table, nil
		},
		ReadersFunc: func() ([]string, bool) { return []string{"a", "b"}[:len(step.Relays)], false },
		RelayFunc: func(_ context.Context, peer string, request spokefeed.RelayRequest) (spokefeed.RelayUpdate, error) {
			version := step.Relays[peer]
			if version == 0 {
				return spokefeed.RelayUpdate{}, spokeerror.Newf("call", spokefeed.KindUnavailable, "no answer")
			}
			position := spokefeed.Position{Era: upstreamEra + step.RelayEra, Version: version}
			return spokefeed.RelayUpdate{Generation: 1, Sequence: 1, Position: position, IsWhole: request.Generation == 0 || step.Restarted}, nil
		},
	}
	var position spokefeed.Position
	for i, s := range c.Steps {
		step = s
		clock.Advance(s.Advance)
		var err error
		var next spokefeed.Position
		if s.Read == "whole" {
			_, next, err = upstream.ReadAll(context.Background())
		} else {
			_, next, err = upstream.Changes(context.Background(), position, 1000)
		}
		if s.SourceChanged {
			require.Equal(t, spokefeed.KindSourceChanged, spokeerror.KindOf[spokefeed.Kind](err), "step %d", i+1)
			continue
		}
		require.NoError(t, err, "step %d", i+1)
		position = next
		require.Equal(t, s.From, position.Relay, "step %d", i+1)
		if s.ReadAgo != nil {
			require.Equal(t, *s.ReadAgo, clock.Clock().Now()-position.ReadAt, "step %d", i+1)
		}
	}
}
