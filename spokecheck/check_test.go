package spokecheck_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mulberryspoke.example/mulberryspoke/spokecase"
	"mulberryspoke.example/mulberryspoke/spokecheck"
	"mulberryspoke.example/mulberryspoke/spokeconfig"
)

type checkCase struct {
	Name string `yaml:"name"`
	// InForce is the configuration to compare with, if any.
	InForce  string    `yaml:"in_force"`
	Proposed string    `yaml:"proposed"`
	Findings []finding `yaml:"findings"`
	// Differences are the lines of the changes.
	Differences []string `yaml:"differences"`
}

type finding struct {
	Severity spokecheck.Severity `yaml:"severity"`
	Rule     spokecheck.Rule     `yaml:"rule"`
	Place    string              `yaml:"place"`
	Text     string              `yaml:"text"`
}

// TestCheck guards against configurations that are accepted and then do nothing, or not
// what they say.
func TestCheck(t *testing.T) {
	for _, c := range spokecase.Read[[]checkCase](t, "testdata/checks.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			proposed, err := spokeconfig.Decode([]byte(c.Proposed))
			require.NoError(t, err)
			var found []finding
			for _, f := range append(spokecheck.Validate(&proposed), spokecheck.Examine(&proposed)...) {
				found = append(found, finding{f.Severity(), f.Rule(), f.Place(), f.Text()})
			}
			require.Equal(t, c.Findings, found)
			if c.InForce == "" {
				return
			}
			inForce, err := spokeconfig.Decode([]byte(c.InForce))
			require.NoError(t, err)
			var differences []string
			for _, difference := range spokecheck.Compare(&inForce, &proposed) {
				differences = append(differences, difference.String())
			}
			require.Equal(t, c.Differences, differences)
		})
	}
}
