package spokemember

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeconfig"
)

// Identity identifies one run of an entry instance.
type Identity struct {
	// Name is the instance's name.
	Name string `json:"name"`
	// DataCentre is the name of its data centre.
	DataCentre string `json:"data_centre"`
	// Address is the IP and port on which it accepts links from peers.
	Address string `json:"address"`
	// Generation distinguishes the runs of an instance. It is greater for a later
	// run.
	Generation int64 `json:"generation"`
	// Cores is the processor share of the instance, in cores. Zero means unknown.
	Cores float64 `json:"cores,omitempty"`
}

// DataCentreSummary is the state of a data centre's entry instances.
type DataCentreSummary struct {
	// DataCentre is the name of the data centre.
	DataCentre string `json:"data_centre"`
	// Revision is the oldest configuration in force at its live instances.
	Revision spokeconfig.Revision `json:"revision"`
	// Instances is the number of its live entry instances.
	Instances int `json:"instances"`
	// Age is the time since the summary was made.
	Age spokeclock.Millis `json:"age_millis"`
}

// hashedIdentity is an identity with its hash.
type hashedIdentity struct {
	identity Identity
	hash     uint64
}

// rankByHash orders identities by their processor share, the greatest first, and
// then by their hash with a salt (rendezvous hashing), so that all instances select
// the same ones without communication. Duties for many instances would slow down a
// small one.
func rankByHash(salt string, identities []Identity) []Identity {
	hashed := make([]hashedIdentity, 0, len(identities))
	for _, identity := range identities {
		hashed = append(hashed, hashedIdentity{identity: identity, hash: xxhash.Sum64String(salt + "|" + identity.Name)})
	}
	slices.SortFunc(hashed, func(a, b hashedIdentity) int {
		return cmp.Or(cmp.Compare(b.identity.Cores, a.identity.Cores), cmp.Compare(a.hash, b.hash))
	})
	ranked := make([]Identity, 0, len(hashed))
	for _, h := range hashed {
		ranked = append(ranked, h.identity)
	}
	return ranked
}
