package spokeconfig_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"mulberryspoke.example/mulberryspoke/spokecase"
	"mulberryspoke.example/mulberryspoke/spokeconfig"
)

type spreadCase struct {
	Name  string `yaml:"name"`
	Steps []struct {
		At string `yaml:"at"`
		// Peer is the instance that the configuration is fetched from. Without one, it is
		// read from the table.
		Peer string `yaml:"peer"`
		// Revision and Names are those in force afterwards.
		Revision spokeconfig.Revision `yaml:"revision"`
		Names    string               `yaml:"names"`
	} `yaml:"steps"`
}

// TestSpread guards against an item that stays in force after it was removed, because the
// peer that told of the newer revision didn't know of the item.
func TestSpread(t *testing.T) {
	for _, c := range spokecase.Read[[]spreadCase](t, "testdata/spreads.yaml") {
		t.Run(c.Name, func(t *testing.T) { c.run(t) })
	}
}

func (c spreadCase) run(t *testing.T) {
	stores := make(map[string]*spokeconfig.Store)
	for i, step := range c.Steps {
		if stores[step.At] == nil {
			stores[step.At] = &spokeconfig.Store{}
		}
		store := stores[step.At]
		var err error
		if step.Peer == "" {
			declaration := spokeconfig.Declaration{Version: 1}
			for name := range strings.FieldsSeq(step.Names) {
				declaration.DataCentres = append(declaration.DataCentres, spokeconfig.DataCentre{Name: name, Region: "r"})
			}
			_, err = store.SetDeclaration(step.Revision, declaration)
		} else {
			_, err = store.Merge(stores[step.Peer].DeltaSince(store.Revision()))
		}
		require.NoError(t, err, "step %d", i+1)
		require.Equal(t, step.Revision, store.Revision(), "step %d", i+1)
		var names []string
		for _, item := range store.Items() {
			names = append(names, strings.TrimPrefix(item.Key, "data_centre/"))
		}
		require.Equal(t, strings.Fields(step.Names), names, "step %d", i+1)
	}
}
