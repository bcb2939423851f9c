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

func options(refused []string, onDemandRefused bool) []spokefleet.Option {
	var list []spokefleet.Option
	for i, place := range places {
		price := 0.40 + 0.01*float64(i)
		list = append(list,
			spokefleet.Option{DataCentre: place, Reclaimable: true, Price: price, Refused: slices.Contains(refused, place)},
			spokefleet.Option{DataCentre: place, Price: 3 * price, Refused: onDemandRefused},
		)
	}
	return list
}

func (c planCase) running() []spokefleet.Running {
	var list []spokefleet.Running
	for _, place := range places {
		for i := range c.Running[place] {
			list = append(list, spokefleet.Running{Name: fmt.Sprintf("%s-%d", place, i), DataCentre: place, Reclaimable: true, Price: 0.4})
		}
	}
	for i := range c.OnDemand {
		list = append(list, spokefleet.Running{Name: fmt.Sprintf("on-demand-%d", i+1), DataCentre: "a", Price: 1.2})
	}
	return list
}

func TestPlans(t *testing.T) {
	cases := spokecase.Read[[]planCase](t, "testdata/plans.yaml")
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			plan := spokefleet.Decide(spokefleet.Need{Demand: c.Demand, Slots: 8, Least: 1}, options(c.Refused, c.RefusedOnDemand), c.running())
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
		need := spokefleet.Need{Demand: rapid.Float64Range(0, 200).Draw(t, "demand"), Slots: rapid.IntRange(1, 16).Draw(t, "slots"), Least: 1}
		var fleet []spokefleet.Running
		for i := range rapid.IntRange(0, 30).Draw(t, "running") {
			fleet = append(fleet, spokefleet.Running{
				Name: fmt.Sprintf("old-%d", i), DataCentre: rapid.SampledFrom(places).Draw(t, "place"), Reclaimable: rapid.Bool().Draw(t, "reclaimable"), Price: 1,
			})
		}
		for round := range 400 {
			plan := spokefleet.Decide(need, options(nil, false), fleet)
			if len(plan.Starts())+len(plan.Stops()) == 0 {
				requireSurvives(t, need, fleet)
				return
			}
			for i, start := range plan.Starts() {
				fleet = append(fleet, spokefleet.Running{Name: fmt.Sprintf("new-%d-%d", round, i), DataCentre: start.DataCentre, Reclaimable: start.Reclaimable, Price: start.Price})
			}
			fleet = slices.DeleteFunc(fleet, func(r spokefleet.Running) bool { return slices.Contains(plan.Stops(), r.Name) })
		}
		t.Fatal("the plans do not come to rest")
	})
}

func requireSurvives(t *rapid.T, need spokefleet.Need, fleet []spokefleet.Running) {
	for _, place := range places {
		left := 0
		for _, r := range fleet {
			if !r.Reclaimable || r.DataCentre != place {
				left++
			}
		}
		require.GreaterOrEqual(t, float64(left*need.Slots), need.Demand)
	}
}
