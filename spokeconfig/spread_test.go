package spokeconfig_test

import (
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"mulberryspoke.example/mulberryspoke/spokecase"
	"mulberryspoke.example/mulberryspoke/spokeconfig"
	"mulberryspoke.example/mulberryspoke/spokeerror"
)

type spreadCase struct {
	Name  string       `yaml:"name"`
	Steps []spreadStep `yaml:"steps"`
}

// spreadStep is what happens at an instance.
type spreadStep struct {
	At string `yaml:"at"`
	// Peer is the instance that the configuration is fetched from. Without one, it is
	// read from the table.
	Peer string `yaml:"peer"`
	// Restart makes the instance start anew, with nothing.
	Restart bool `yaml:"restart"`
	// Ask keeps the peer's answer under a name, and Answer delivers it.
	Ask    string `yaml:"ask"`
	Answer string `yaml:"answer"`
	// IsRefused means that the delta is based on another revision than the instance's.
	IsRefused bool `yaml:"is_refused"`
	// Revision and Items are those in force afterwards. An item is a name, or a name and a
	// value as in "x=1".
	Revision spokeconfig.Revision `yaml:"revision"`
	Items    string               `yaml:"items"`
}

// TestSpread guards against an instance that is at a revision and holds something else than
// what was written at it: a peer that told of the newer revision didn't know of an item that
// was removed, or had skipped the revision at which an item had another value.
func TestSpread(t *testing.T) {
	for _, c := range spokecase.Read[[]spreadCase](t, "testdata/spreads.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			run := spreadRun{T: t, stores: make(map[string]*spokeconfig.Store), answers: make(map[string]spokeconfig.Delta)}
			for i, step := range c.Steps {
				if run.stores[step.At] == nil || step.Restart {
					run.stores[step.At] = &spokeconfig.Store{}
				}
				run.apply(step)
				store := run.stores[step.At]
				require.Equal(t, step.Revision, store.Revision(), "step %d", i+1)
				require.Equal(t, parseRegions(step.Items), regionsOf(store), "step %d", i+1)
			}
		})
	}
}

type spreadRun struct {
	*testing.T

	stores  map[string]*spokeconfig.Store
	answers map[string]spokeconfig.Delta
}

func (r *spreadRun) apply(step spreadStep) {
	store := r.stores[step.At]
	var err error
	switch {
	case step.Restart:
	case step.Ask != "":
		r.answers[step.Ask] = r.stores[step.Peer].DeltaSince(store.Revision())
	case step.Answer != "":
		_, err = store.Merge(r.answers[step.Answer])
	case step.Peer != "":
		_, err = store.Merge(r.stores[step.Peer].DeltaSince(store.Revision()))
	default:
		_, err = store.SetDeclaration(step.Revision, declarationOf(parseRegions(step.Items)))
	}
	if step.IsRefused {
		require.Equal(r, spokeconfig.KindGap, spokeerror.KindOf[spokeconfig.Kind](err))
		return
	}
	require.NoError(r, err)
}

// parseRegions returns the regions of data centres by name.
func parseRegions(items string) map[string]string {
	regions := make(map[string]string)
	for item := range strings.FieldsSeq(items) {
		name, region, hasRegion := strings.Cut(item, "=")
		if !hasRegion {
			region = "r"
		}
		regions[name] = region
	}
	return regions
}

// declarationOf returns a declaration of data centres with the given regions by name.
func declarationOf(regions map[string]string) spokeconfig.Declaration {
	declaration := spokeconfig.Declaration{Version: 1}
	for _, name := range slices.Sorted(maps.Keys(regions)) {
		declaration.DataCentres = append(declaration.DataCentres, spokeconfig.DataCentre{Name: name, Region: regions[name]})
	}
	return declaration
}

// regionsOf returns the regions of the data centres that are in force at a store, by name.
func regionsOf(store *spokeconfig.Store) map[string]string {
	regions := make(map[string]string)
	if current := store.Current(); current != nil {
		for _, dataCentre := range current.Declaration().DataCentres {
			regions[dataCentre.Name] = dataCentre.Region
		}
	}
	return regions
}
