package spokerollout

import (
	"maps"
	"slices"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestSubset guards against a share that moves to other servers when it grows or when one of
// them can't be used, as each server that gets requests for a moment has cold caches and is
// as busy as none of the old ones.
func TestSubset(t *testing.T) {
	var servers []Server
	for _, version := range []string{"v1", "v2"} {
		for i := range 90 {
			servers = append(servers, Server{Name: version + "-" + strconv.Itoa(i), Version: version, Slots: 48, IsServing: true, IsUsable: true})
		}
	}
	of := func(share float64) map[string]bool {
		return Filter{service: "s", to: "v2", share: share}.Subset(servers)
	}
	smaller := map[string]bool{}
	for share, want := range map[float64]int{0.01: 2, 0.07: 7, 0.12: 12, 0.4: 60} {
		require.Len(t, of(share), want, "share %g", share)
	}
	for _, share := range []float64{0.01, 0.07, 0.12, 0.4} {
		larger := of(share)
		for name := range smaller {
			require.Contains(t, larger, name, "share %g", share)
		}
		smaller = larger
	}
	require.Nil(t, of(1), "all servers get requests in the last stage")
	before := of(0.07)
	gone := slices.Sorted(maps.Keys(before))[0]
	servers = slices.DeleteFunc(servers, func(s Server) bool { return s.Name == gone })
	after := of(0.07)
	delete(before, gone)
	require.Len(t, after, 7)
	for name := range before {
		require.Contains(t, after, name, "without %s", gone)
	}
}
