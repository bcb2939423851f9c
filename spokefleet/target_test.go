package spokefleet_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mulberryspoke.example/mulberryspoke/spokecase"
	"mulberryspoke.example/mulberryspoke/spokefleet"
)

type targetCase struct {
	Name        string  `yaml:"name"`
	Work        float64 `yaml:"work"`
	DataCentres []struct {
		Reclaimable int  `yaml:"reclaimable"`
		OnDemand    int  `yaml:"on_demand"`
		Unavailable bool `yaml:"dry"`
	} `yaml:"places"`
	Min             int   `yaml:"least"`
	Max             int   `yaml:"most"`
	NoReclaimable   bool  `yaml:"no_reclaimable"`
	WantReclaimable []int `yaml:"want_reclaimable"`
	WantOnDemand    []int `yaml:"want_on_demand"`
}

// TestComputeTargets checks the targets before, during and after a reclaim wave.
func TestComputeTargets(t *testing.T) {
	for _, c := range spokecase.Read[[]targetCase](t, "testdata/sizes.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			var current []spokefleet.CurrentInstances
			for _, p := range c.DataCentres {
				current = append(current, spokefleet.CurrentInstances{Reclaimable: p.Reclaimable, OnDemand: p.OnDemand, ReclaimableUnavailable: p.Unavailable})
			}
			targets := spokefleet.ComputeTargets(c.Work, current, spokefleet.InstanceBounds{Min: c.Min, Max: c.Max}, !c.NoReclaimable)
			var reclaimable, onDemand []int
			for i, target := range targets {
				reclaimable = append(reclaimable, target.Reclaimable)
				onDemand = append(onDemand, target.OnDemand)
				require.LessOrEqual(t, target.Reclaimable+target.OnDemand, c.Max, "data centre %d", i)
			}
			require.Equal(t, c.WantReclaimable, reclaimable)
			require.Equal(t, c.WantOnDemand, onDemand)
		})
	}
}
