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
	Name               string            `yaml:"name"`
	Demand             float64           `yaml:"demand"`
	Running            map[string]int    `yaml:"running"`
	OnDemand           int               `yaml:"on_demand"`
	RefusedDataCentres []string          `yaml:"refused"`
	RefusedOnDemand    bool              `yaml:"refused_on_demand"`
	StartCount         int               `yaml:"starts"`
	ReclaimableStarts  int               `yaml:"reclaimable"`
	MaxPerDataCentre   int               `yaml:"most_in_one_place"`
	StopCount          int               `yaml:"stops"`
	StoppedName        string            `yaml:"stopped"`
	Reason             spokefleet.Reason `yaml:"reason"`
}

var dataCentres = []string{"a", "b", "c", "d"}

func options(refused []string, onDemandRefused bool) []spokefleet.InstanceOption {
	var list []spokefleet.InstanceOption
	for i, dataCentre := range dataCentres {
		price := 0.40 + 0.01*float64(i)
		list = append(list,
			spokefleet.InstanceOption{DataCentre: dataCentre, Reclaimable: true, Price: price, RecentlyRefused: slices.Contains(refused, dataCentre)},
			spokefleet.InstanceOption{DataCentre: dataCentre, Price: 3 * price, RecentlyRefused: onDemandRefused},
		)
	}
	return list
}

func (c planCase) running() []spokefleet.RunningInstance {
	var list []spokefleet.RunningInstance
	for _, dataCentre := range dataCentres {
		for i := range c.Running[dataCentre] {
			list = append(list, spokefleet.RunningInstance{Name: fmt.Sprintf("%s-%d", dataCentre, i), DataCentre: dataCentre, Reclaimable: true, Price: 0.4})
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
			plan := spokefleet.PlanChanges(spokefleet.CapacityRequirement{ConcurrentRequests: c.Demand, Slots: 8, MinInstances: 1}, options(c.RefusedDataCentres, c.RefusedOnDemand), c.running())
			require.Equal(t, c.Reason, plan.Reason(), "%+v", plan)
			require.Len(t, plan.Starts(), c.StartCount)
			require.Len(t, plan.Stops(), c.StopCount)
			reclaimable, perDataCentre := 0, make(map[string]int)
			for _, start := range plan.Starts() {
				if start.Reclaimable {
					reclaimable++
					perDataCentre[start.DataCentre]++
				}
			}
			require.Equal(t, c.ReclaimableStarts, reclaimable)
			for _, count := range perDataCentre {
				require.True(t, c.MaxPerDataCentre == 0 || count <= c.MaxPerDataCentre)
			}
			if c.StoppedName != "" {
				require.Equal(t, c.StoppedName, plan.Stops()[0])
			}
		})
	}
}

// TestPlansConverge checks that applying plans to any fleet ends with a fleet that
// needs no change and has enough capacity after the loss of any data centre's
// reclaimable instances.
func TestPlansConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		requirement := spokefleet.CapacityRequirement{ConcurrentRequests: rapid.Float64Range(0, 200).Draw(t, "demand"), Slots: rapid.IntRange(1, 16).Draw(t, "slots"), MinInstances: 1}
		var fleet []spokefleet.RunningInstance
		for i := range rapid.IntRange(0, 30).Draw(t, "running") {
			fleet = append(fleet, spokefleet.RunningInstance{
				Name: fmt.Sprintf("old-%d", i), DataCentre: rapid.SampledFrom(dataCentres).Draw(t, "place"), Reclaimable: rapid.Bool().Draw(t, "reclaimable"), Price: 1,
			})
		}
		for round := range 400 {
			plan := spokefleet.PlanChanges(requirement, options(nil, false), fleet)
			if len(plan.Starts())+len(plan.Stops()) == 0 {
				requireCapacityAfterLoss(t, requirement, fleet)
				return
			}
			for i, start := range plan.Starts() {
				fleet = append(fleet, spokefleet.RunningInstance{Name: fmt.Sprintf("new-%d-%d", round, i), DataCentre: start.DataCentre, Reclaimable: start.Reclaimable, Price: start.Price})
			}
			fleet = slices.DeleteFunc(fleet, func(r spokefleet.RunningInstance) bool { return slices.Contains(plan.Stops(), r.Name) })
		}
		t.Fatal("plans did not converge in 400 rounds")
	})
}

func requireCapacityAfterLoss(t *rapid.T, requirement spokefleet.CapacityRequirement, fleet []spokefleet.RunningInstance) {
	for _, dataCentre := range dataCentres {
		remaining := 0
		for _, r := range fleet {
			if !r.Reclaimable || r.DataCentre != dataCentre {
				remaining++
			}
		}
		require.GreaterOrEqual(t, float64(remaining*requirement.Slots), requirement.ConcurrentRequests)
	}
}
