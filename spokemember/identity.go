package spokemember

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeconfig"
)

// Identity is one run of an entry instance.
type Identity struct {
	// Name names the instance.
	Name string `json:"name"`
	// DataCentre is where it runs.
	DataCentre string `json:"data_centre"`
	// Address is where peers reach it.
	Address string `json:"address"`
	// Generation tells its runs apart; a later one is greater.
	Generation int64 `json:"generation"`
}

// Place is what is known of a data centre as a whole.
type Place struct {
	// DataCentre names it.
	DataCentre string `json:"data_centre"`
	// Revision is the oldest configuration in force at its live instances.
	Revision spokeconfig.Revision `json:"revision"`
	// Instances is the number of its live entry instances.
	Instances int `json:"instances"`
	// Age is how long ago it was so.
	Age spokeclock.Millis `json:"age_millis"`
}

// rendezvous orders identities by a hash with a salt, so that all instances
// pick the same few without talking about it.
func rendezvous(salt string, identities []Identity) []Identity {
	ordered := slices.Clone(identities)
	slices.SortFunc(ordered, func(a, b Identity) int {
		return cmp.Compare(xxhash.Sum64String(salt+"|"+a.Name), xxhash.Sum64String(salt+"|"+b.Name))
	})
	return ordered
}
