package spokeretry_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mulberryspoke.example/mulberryspoke/spokecase"
	"mulberryspoke.example/mulberryspoke/spokeretry"
)

type budgetCase struct {
	Name string `yaml:"name"`
	// Instances is the number of instances that share the burst.
	Instances int     `yaml:"instances"`
	Ratio     float64 `yaml:"ratio"`
	Burst     float64 `yaml:"reserve"`
	// RequestsPerInstance is the number of requests that each instance receives,
	// and RetriesPerRequest the number of retries that it attempts for each.
	RequestsPerInstance int `yaml:"requests"`
	RetriesPerRequest   int `yaml:"retries"`
	// LateMembership makes each instance start with a member count of one.
	LateMembership bool `yaml:"members_late"`
	// MaxRetries is the largest number of retries that all instances together
	// may make.
	MaxRetries float64 `yaml:"most"`
}

// TestBudget checks that instances which share a burst stay within it together.
// An instance that first counts itself as the only member must not start with
// the whole burst.
func TestBudget(t *testing.T) {
	for _, c := range spokecase.Read[[]budgetCase](t, "testdata/budgets.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			retries := 0
			for range c.Instances {
				retries += c.runInstance()
			}
			require.LessOrEqual(t, float64(retries), c.MaxRetries)
		})
	}
}

// runInstance returns the number of retries that one instance makes.
func (c budgetCase) runInstance() int {
	members := c.Instances
	if c.LateMembership {
		members = 1
	}
	b := &spokeretry.Budget{Ratio: c.Ratio, BurstFunc: func() float64 { return c.Burst / float64(members) }}
	b.RecordRequest()
	members = c.Instances
	retries := 0
	for range c.RequestsPerInstance {
		b.RecordRequest()
		for range c.RetriesPerRequest {
			if b.AllowRetry() {
				retries++
			}
		}
	}
	return retries
}
