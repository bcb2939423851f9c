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

// DataCentreSummary is what is known of a data centre as a whole.
type DataCentreSummary struct {
	// DataCentre names it.
	DataCentre string `json:"data_centre"`
	// Revision is the oldest configuration in force at its live instances.
	Revision spokeconfig.Revision `json:"revision"`
	// Instances is the number of its live entry instances.
	Instances int `json:"instances"`
	// Age is how long ago it was so.
	Age spokeclock.Millis `json:"age_millis"`
}

// ranked is an identity with its hash.
type ranked struct {
	identity Identity
	rank     uint64
}

// rendezvous orders identities by a hash with a salt, so that all instances
// pick the same few without talking about it.
func rendezvous(salt string, identities []Identity) []Identity {
	list := make([]ranked, 0, len(identities))
	for _, identity := range identities {
		list = append(list, ranked{identity: identity, rank: xxhash.Sum64String(salt + "|" + identity.Name)})
	}
	slices.SortFunc(list, func(a, b ranked) int { return cmp.Compare(a.rank, b.rank) })
	ordered := make([]Identity, 0, len(list))
	for _, r := range list {
		ordered = append(ordered, r.identity)
	}
	return ordered
}
