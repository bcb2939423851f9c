package spokerollout

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// minSubset is the number of the ordered version's servers that get its share at least, as
// a single one may fail for reasons of its own.
const minSubset = 2

// Server is a backend server of a service that is being rolled out.
type Server struct {
	Name, Version string
	// Slots is the number of requests that it runs at once. Zero or less means that it is
	// not known.
	Slots int
	// IsServing is whether it takes part in the service's traffic, IsUsable whether it can
	// get the request at this moment.
	IsServing, IsUsable bool
}

// LimitsServers reports whether only some of a version's servers may serve the request.
func (f Filter) LimitsServers(version string) bool {
	return f.to != "" && version == f.to && f.share > 0 && f.share < 1
}

// Subset returns the names of the usable servers that get the ordered version's share, or
// nil if all do: so few that each gets about as many requests for its slots as a server of
// another version does, as a version that is bad only under load would not show otherwise.
// All instances that know of the same servers choose the same ones, by rendezvous hashing,
// and a larger share adds servers to those of a smaller one.
func (f Filter) Subset(servers []Server) map[string]bool {
	if !f.LimitsServers(f.to) {
		return nil
	}
	weigh := newWeighFunc(servers)
	var oldWeight float64
	var usable []rankedServer
	for _, s := range servers {
		switch {
		case s.Version != f.to && s.IsServing:
			oldWeight += weigh(s)
		case s.Version == f.to && s.IsUsable:
			usable = append(usable, rankedServer{Server: s, rank: f.rank(s.Name)})
		}
	}
	if oldWeight == 0 || len(usable) <= minSubset {
		return nil
	}
	slices.SortFunc(usable, func(a, b rankedServer) int {
		return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.Name, b.Name))
	})
	wanted := oldWeight * f.share / (1 - f.share)
	subset, weight := make(map[string]bool), 0.0
	for _, s := range usable {
		// The number is rounded, so that the load differs by half a server at most.
		if next := weigh(s.Server); len(subset) < minSubset || weight+next/2 <= wanted {
			subset[s.Name] = true
			weight += next
			continue
		}
		return subset
	}
	return nil
}

type rankedServer struct {
	Server
	rank uint64
}

// rank returns the rank of a server for the order. It doesn't depend on the version of the
// order's row, which differs between instances if the operator repeats the order.
func (f Filter) rank(server string) uint64 {
	digest := xxhash.New()
	for _, part := range [...]string{f.service, f.to, server} {
		_, _ = digest.WriteString(part)
		_, _ = digest.WriteString("\x00")
	}
	return digest.Sum64()
}

// newWeighFunc returns how much load a server takes: its slots, or the same for all if those
// of one are not known.
func newWeighFunc(servers []Server) func(Server) float64 {
	if slices.ContainsFunc(servers, func(s Server) bool { return s.Slots <= 0 }) {
		return func(Server) float64 { return 1 }
	}
	return func(s Server) float64 { return float64(s.Slots) }
}
