package spokeusage_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"mulberryspoke.example/mulberryspoke/spokecase"
	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeusage"
)

type ledgerCase struct {
	Name  string `yaml:"name"`
	Steps []struct {
		// Peer and Run are those of a count, or DataCentre is that of a sum.
		Peer       string `yaml:"peer"`
		Run        int64  `yaml:"run"`
		DataCentre string `yaml:"data_centre"`
		Count      int64  `yaml:"count"`
		// Total is the count of the workspace over all instances afterwards.
		Total int64 `yaml:"total"`
	} `yaml:"steps"`
}

// TestLedger guards against a count that a late or restored smaller one replaces.
func TestLedger(t *testing.T) {
	for _, c := range spokecase.Read[[]ledgerCase](t, "testdata/ledgers.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			ledger := &spokeusage.Ledger{WindowLength: windowLength, WallFunc: func() spokeclock.Millis { return firstWindow * windowLength }}
			for i, step := range c.Steps {
				counts := map[string]int64{fmt.Sprintf("begun/%d/w", firstWindow): step.Count}
				if step.DataCentre != "" {
					ledger.SetDataCentreCounts(step.DataCentre, counts)
				} else {
					ledger.SetPeerCounts(step.Peer, step.Run, counts)
				}
				require.Equal(t, map[string]int64{"w": step.Total}, ledger.Totals(firstWindow), "step %d", i+1)
			}
		})
	}
}

// TestStoredWindow guards against a stored window that a peer's older one replaces, after which
// windows that are stored would count as missing.
func TestStoredWindow(t *testing.T) {
	const key = "usage_stored"
	reporter := &spokeusage.Reporter{Ledger: &spokeusage.Ledger{WindowLength: windowLength, WallFunc: func() spokeclock.Millis { return firstWindow * windowLength }}}
	for _, window := range []int64{firstWindow - 1, firstWindow - 3, firstWindow - 2} {
		reporter.SetPeerCounts(map[string]int64{key: window})
		require.Equal(t, map[string]int64{key: firstWindow - 1}, reporter.Counts())
	}
}
