package spokefleet_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mulberryspoke.example/mulberryspoke/spokecase"
	"mulberryspoke.example/mulberryspoke/spokefleet"
)

type sizeCase struct {
	Name   string  `yaml:"name"`
	Work   float64 `yaml:"work"`
	Places []struct {
		Reclaimable int  `yaml:"reclaimable"`
		OnDemand    int  `yaml:"on_demand"`
		Dry         bool `yaml:"dry"`
	} `yaml:"places"`
	Least         int   `yaml:"least"`
	Most          int   `yaml:"most"`
	NoReclaimable bool  `yaml:"no_reclaimable"`
	Reclaimable   []int `yaml:"want_reclaimable"`
	OnDemand      []int `yaml:"want_on_demand"`
}

// TestSize sizes a service in each situation of a reclaim wave.
func TestSize(t *testing.T) {
	for _, c := range spokecase.Read[[]sizeCase](t, "testdata/sizes.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			var places []spokefleet.CurrentInstances
			for _, p := range c.Places {
				places = append(places, spokefleet.CurrentInstances{Reclaimable: p.Reclaimable, OnDemand: p.OnDemand, ReclaimableUnavailable: p.Dry})
			}
			targets := spokefleet.ComputeTargets(c.Work, places, spokefleet.InstanceBounds{Min: c.Least, Max: c.Most}, !c.NoReclaimable)
			var reclaimable, onDemand []int
			for i, target := range targets {
				reclaimable = append(reclaimable, target.Reclaimable)
				onDemand = append(onDemand, target.OnDemand)
				require.LessOrEqual(t, target.Reclaimable+target.OnDemand, c.Most, "place %d", i)
			}
			require.Equal(t, c.Reclaimable, reclaimable)
			require.Equal(t, c.OnDemand, onDemand)
		})
	}
}
