package spokeretry_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mulberryspoke.example/mulberryspoke/spokecase"
	"mulberryspoke.example/mulberryspoke/spokeretry"
)

type budgetCase struct {
	Name string `yaml:"name"`
	// Instances share the reserve.
	Instances int     `yaml:"instances"`
	Ratio     float64 `yaml:"ratio"`
	Reserve   float64 `yaml:"reserve"`
	// Requests come at each instance, and every one is tried again so often.
	Requests int `yaml:"requests"`
	Retries  int `yaml:"retries"`
	// MembersLate says that an instance first knows itself alone.
	MembersLate bool `yaml:"members_late"`
	// Most is the largest number of retries that all may make.
	Most float64 `yaml:"most"`
}

// TestBudget checks that instances which share a reserve keep to it together,
// also when each of them first took itself to be alone.
func TestBudget(t *testing.T) {
	for _, c := range spokecase.Read[[]budgetCase](t, "testdata/budgets.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			retries := 0
			for range c.Instances {
				retries += c.retriesOfOne()
			}
			require.LessOrEqual(t, float64(retries), c.Most)
		})
	}
}

// retriesOfOne returns the retries that one instance makes.
func (c budgetCase) retriesOfOne() int {
	members := c.Instances
	if c.MembersLate {
		members = 1
	}
	b := &spokeretry.Budget{Ratio: c.Ratio, BurstFunc: func() float64 { return c.Reserve / float64(members) }}
	b.RecordRequest()
	members = c.Instances
	retries := 0
	for range c.Requests {
		b.RecordRequest()
		for range c.Retries {
			if b.AllowRetry() {
				retries++
			}
		}
	}
	return retries
}
