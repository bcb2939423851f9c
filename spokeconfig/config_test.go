package spokeconfig_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mulberryspoke.example/mulberryspoke/spokecase"
	"mulberryspoke.example/mulberryspoke/spokeconfig"
	"mulberryspoke.example/mulberryspoke/spokeerror"
)

type declarationCases struct {
	Base  string `yaml:"base"`
	Cases []struct {
		Name    string `yaml:"name"`
		Replace string `yaml:"replace"`
		With    string `yaml:"with"`
		Error   string `yaml:"error"`
	} `yaml:"cases"`
}

// TestDeclarations parses each invalid declaration and expects an error that
// names the field.
func TestDeclarations(t *testing.T) {
	script := spokecase.Read[declarationCases](t, "testdata/declarations.yaml")
	for _, c := range script.Cases {
		t.Run(c.Name, func(t *testing.T) {
			if c.Replace != "" {
				require.Contains(t, script.Base, c.Replace)
			}
			_, err := spokeconfig.Parse([]byte(strings.Replace(script.Base, c.Replace, c.With, 1)))
			if c.Error == "" {
				require.NoError(t, err)
				return
			}
			require.ErrorContains(t, err, c.Error)
			require.Equal(t, spokeconfig.KindInvalid, spokeerror.KindOf[spokeconfig.Kind](err))
		})
	}
}

// TestMergeNeverReverts merges deltas in random order, some of them repeatedly,
// and checks that the revision never decreases and that the number of items is
// always that of the revision.
func TestMergeNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var source spokeconfig.Store
		itemCounts := map[spokeconfig.Revision]int{0: 0}
		var deltas []spokeconfig.Delta
		for revision := range rapid.IntRange(1, 12).Draw(t, "changes") {
			next := spokeconfig.Revision(revision + 1)
			name := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "name")
			item := spokeconfig.Item{Key: "data_centre/" + name, Revision: next}
			if rapid.Bool().Draw(t, "kept") {
				item.Value = []byte(`{"name":"` + name + `","region":"r"}`)
			}
			_, err := source.Merge(spokeconfig.Delta{From: next - 1, To: next, Items: []spokeconfig.Item{item}})
			require.NoError(t, err)
			itemCounts[next] = len(source.Current().Items())
			from := spokeconfig.Revision(rapid.IntRange(0, revision).Draw(t, "from"))
			deltas = append(deltas, source.DeltaSince(from))
		}
		var store spokeconfig.Store
		for range rapid.IntRange(1, 40).Draw(t, "merges") {
			before := store.Revision()
			delta := rapid.SampledFrom(deltas).Draw(t, "delta")
			_, err := store.Merge(delta)
			if err != nil {
				require.Equal(t, spokeconfig.KindGap, spokeerror.KindOf[spokeconfig.Kind](err))
			}
			require.GreaterOrEqual(t, store.Revision(), before)
			require.Len(t, store.Current().Items(), itemCounts[store.Revision()])
		}
	})
}
