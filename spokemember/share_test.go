package spokemember_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mulberryspoke.example/mulberryspoke/spokecase"
	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokecloud"
	"mulberryspoke.example/mulberryspoke/spokemember"
)

const (
	sharersAskedAt   = 20 * spokeclock.Second
	sharersHeartbeat = 500 * spokeclock.Millis(1)
)

type sharerPeer struct {
	// Until is when the peer was last heard. Zero means until the end.
	Until       spokeclock.Millis `yaml:"until_millis"`
	Draining    bool              `yaml:"draining"`
	Goodbye     bool              `yaml:"goodbye"`
	ListedOnly  bool              `yaml:"listed_only"`
	Unreachable bool              `yaml:"unreachable"`
}

type sharersCase struct {
	Name         string                `yaml:"name"`
	MaxMeshPeers int                   `yaml:"max_mesh_peers"`
	Peers        map[string]sharerPeer `yaml:"peers"`
	// ListedAt is when the list of instances arrives.
	ListedAt spokeclock.Millis `yaml:"listed_at_millis"`
	// DataCentres has when the last summary of each was made.
	DataCentres     map[string]spokeclock.Millis `yaml:"data_centres"`
	Want            []string                     `yaml:"want"`
	WantDataCentres []string                     `yaml:"want_data_centres"`
	// Count and Unheard are the numbers of all that share and of those not heard.
	Count   int `yaml:"count"`
	Unheard int `yaml:"unheard"`
}

// TestSharers checks which instances share an amount: too few would each take too much,
// too many leave a part unused.
func TestSharers(t *testing.T) {
	for _, c := range spokecase.Read[[]sharersCase](t, "testdata/sharers.yaml") {
		t.Run(c.Name, func(t *testing.T) { c.run(t) })
	}
}

func (c sharersCase) run(t *testing.T) {
	clock := &spokeclock.Manual{}
	view := &spokemember.View{Self: spokemember.Identity{Name: "a", DataCentre: "a"}, Clock: clock.Clock(), MaxMeshPeers: c.MaxMeshPeers}
	for name, peer := range c.Peers {
		if !peer.ListedOnly {
			require.True(t, view.RecordHello(spokemember.Identity{Name: name, DataCentre: name[:1]}, 0))
		}
	}
	for ; clock.Clock().Now() < sharersAskedAt; clock.Advance(sharersHeartbeat) {
		c.step(view, clock.Clock().Now())
	}
	for name, peer := range c.Peers {
		if peer.Goodbye {
			view.RemovePeer(name)
		}
		if peer.Unreachable {
			view.RecordLinkFailure(name)
		}
	}
	sharers := view.Sharers("amount")
	require.ElementsMatch(t, c.Want, sharers.Instances())
	require.ElementsMatch(t, c.WantDataCentres, sharers.DataCentres())
	require.Equal(t, sharers, view.Sharers("amount"), "the order changes")
	count, unheard := view.SharerCounts()
	require.Equal(t, c.Count, count, "number of instances")
	require.Equal(t, c.Unheard, unheard, "number of those not heard")
}

func (c sharersCase) step(view *spokemember.View, now spokeclock.Millis) {
	if now == c.ListedAt {
		var listed []spokecloud.Instance
		for name := range c.Peers {
			listed = append(listed, spokecloud.Instance{Name: name, Role: spokecloud.RoleEntry, DataCentre: name[:1], Address: name, State: spokecloud.StateRunning})
		}
		view.UpdateInstances(listed)
	}
	for name, peer := range c.Peers {
		if !peer.ListedOnly && (peer.Until == 0 || now <= peer.Until) {
			view.RecordHeartbeat(name, 1, peer.Draining, sharersHeartbeat)
		}
	}
	for name, madeAt := range c.DataCentres {
		if madeAt == now {
			view.MergeDataCentres([]spokemember.DataCentreSummary{{DataCentre: name, Instances: 1}})
		}
	}
}

// TestSharerCountUnknown checks that an instance which knows of no other one and of no list
// doesn't take itself for the only one.
func TestSharerCountUnknown(t *testing.T) {
	view := &spokemember.View{Self: spokemember.Identity{Name: "a", DataCentre: "a"}, MaxMeshPeers: 10}
	count, unheard := view.SharerCounts()
	require.Zero(t, count)
	require.Zero(t, unheard)
	view.UpdateInstances(nil)
	count, _ = view.SharerCounts()
	require.Equal(t, 1, count)
}
