package spokefleet_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mulberryspoke.example/mulberryspoke/spokecase"
	"mulberryspoke.example/mulberryspoke/spokefleet"
)

type planCase struct {
	Name            string            `yaml:"name"`
	Demand          float64           `yaml:"demand"`
	Running         map[string]int    `yaml:"running"`
	OnDemand        int               `yaml:"on_demand"`
	Refused         []string          `yaml:"refused"`
	RefusedOnDemand bool              `yaml:"refused_on_demand"`
	Starts          int               `yaml:"starts"`
	Reclaimable     int               `yaml:"reclaimable"`
	MostInOnePlace  int               `yaml:"most_in_one_place"`
	Stops           int               `yaml:"stops"`
	Stopped         string            `yaml:"stopped"`
	Reason          spokefleet.Reason `yaml:"reason"`
}

var places = []string{"a", "b", "c", "d"}

func options(refused []string, onDemandRefused bool) []spokefleet.InstanceOption {
	var list []spokefleet.InstanceOption
	for i, place := range places {
		price := 0.40 + 0.01*float64(i)
		list = append(list,
			spokefleet.InstanceOption{DataCentre: place, Reclaimable: true, Price: price, RecentlyRefused: slices.Contains(refused, place)},
			spokefleet.InstanceOption{DataCentre: place, Price: 3 * price, RecentlyRefused: onDemandRefused},
		)
	}
	return list
}

func (c planCase) running() []spokefleet.RunningInstance {
	var list []spokefleet.RunningInstance
	for _, place := range places {
		for i := range c.Running[place] {
			list = append(list, spokefleet.RunningInstance{Name: fmt.Sprintf("%s-%d", place, i), DataCentre: place, Reclaimable: true, Price: 0.4})
		}
	}
	for i := range c.OnDemand {
		list = append(list, spokefleet.RunningInstance{Name: fmt.Sprintf("on-demand-%d", i+1), DataCentre: "a", Price: 1.2})
	}
	return list
}

func TestPlans(t *testing.T) {
	cases := spokecase.Read[[]planCase](t, "testdata/plans.yaml")
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			plan := spokefleet.PlanChanges(spokefleet.CapacityRequirement{ConcurrentRequests: c.Demand, Slots: 8, MinInstances: 1}, options(c.Refused, c.RefusedOnDemand), c.running())
			require.Equal(t, c.Reason, plan.Reason(), "%+v", plan)
			require.Len(t, plan.Starts(), c.Starts)
			require.Len(t, plan.Stops(), c.Stops)
			reclaimable, perPlace := 0, make(map[string]int)
			for _, start := range plan.Starts() {
				if start.Reclaimable {
					reclaimable++
					perPlace[start.DataCentre]++
				}
			}
			require.Equal(t, c.Reclaimable, reclaimable)
			for _, count := range perPlace {
				require.True(t, c.MostInOnePlace == 0 || count <= c.MostInOnePlace)
			}
			if c.Stopped != "" {
				require.Equal(t, c.Stopped, plan.Stops()[0])
			}
		})
	}
}

// TestPlansSettle checks that from any fleet, carrying plans out comes to rest,
// with enough left after the worst loss of a place.
func TestPlansSettle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		need := spokefleet.CapacityRequirement{ConcurrentRequests: rapid.Float64Range(0, 200).Draw(t, "demand"), Slots: rapid.IntRange(1, 16).Draw(t, "slots"), MinInstances: 1}
		var fleet []spokefleet.RunningInstance
		for i := range rapid.IntRange(0, 30).Draw(t, "running") {
			fleet = append(fleet, spokefleet.RunningInstance{
				Name: fmt.Sprintf("old-%d", i), DataCentre: rapid.SampledFrom(places).Draw(t, "place"), Reclaimable: rapid.Bool().Draw(t, "reclaimable"), Price: 1,
			})
		}
		for round := range 400 {
			plan := spokefleet.PlanChanges(need, options(nil, false), fleet)
			if len(plan.Starts())+len(plan.Stops()) == 0 {
				requireSurvives(t, need, fleet)
				return
			}
			for i, start := range plan.Starts() {
				fleet = append(fleet, spokefleet.RunningInstance{Name: fmt.Sprintf("new-%d-%d", round, i), DataCentre: start.DataCentre, Reclaimable: start.Reclaimable, Price: start.Price})
			}
			fleet = slices.DeleteFunc(fleet, func(r spokefleet.RunningInstance) bool { return slices.Contains(plan.Stops(), r.Name) })
		}
		t.Fatal("the plans do not come to rest")
	})
}

func requireSurvives(t *rapid.T, need spokefleet.CapacityRequirement, fleet []spokefleet.RunningInstance) {
	for _, place := range places {
		left := 0
		for _, r := range fleet {
			if !r.Reclaimable || r.DataCentre != place {
				left++
			}
		}
		require.GreaterOrEqual(t, float64(left*need.Slots), need.ConcurrentRequests)
	}
}
