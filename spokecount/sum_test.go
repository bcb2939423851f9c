package spokecount_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"mulberryspoke.example/mulberryspoke/spokecase"
	"mulberryspoke.example/mulberryspoke/spokecount"
)

type sumCase struct {
	Name  string `yaml:"name"`
	Steps []struct {
		Note       string           `yaml:"note"`
		Instance   string           `yaml:"instance"`
		Generation int64            `yaml:"generation"`
		Counts     map[string]int64 `yaml:"counts"`
		Pruned     string           `yaml:"pruned"`
		Totals     map[string]int64 `yaml:"totals"`
	} `yaml:"steps"`
}

// TestSum reports counters of runs of instances in order and checks the sums.
func TestSum(t *testing.T) {
	for _, c := range spokecase.Read[[]sumCase](t, "testdata/sums.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			sum := &spokecount.Sum{FromZeroFunc: func(key string) bool { return strings.HasPrefix(key, "zero/") }}
			for i, step := range c.Steps {
				sum.SetCounts(step.Instance, step.Generation, step.Counts)
				sum.Prune(func(key string) bool { return key == step.Pruned })
				totals := sum.Totals()
				require.Len(t, totals, len(step.Totals), "step %d: %v", i+1, totals)
				for key, total := range step.Totals {
					require.Equal(t, total, totals[key], "step %d: %s", i+1, key)
				}
			}
		})
	}
}
