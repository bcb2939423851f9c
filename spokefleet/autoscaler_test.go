package spokefleet

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mulberryspoke.example/mulberryspoke/spokebackend"
	"mulberryspoke.example/mulberryspoke/spokecloud"
	"mulberryspoke.example/mulberryspoke/spokeconfig"
)

// TestRolloutServers guards against a fleet that releases the servers which carry the
// traffic, as an operator has started as many of another version beside them.
func TestRolloutServers(t *testing.T) {
	registry := &spokebackend.Registry{DataCentre: "a", ListIsAuthoritative: true}
	server := func(name, version string, isReclaimable bool) spokecloud.Instance {
		return spokecloud.Instance{Name: name, Role: spokecloud.RoleBackend, Service: "lm", DataCentre: "a", Address: "127.0.0.1:1", State: spokecloud.StateRunning, SoftwareVersion: version, Reclaimable: isReclaimable}
	}
	registry.UpdateInstances([]spokecloud.Instance{server("old-1", "v1", true), server("old-2", "v1", true), server("new-1", "v2", false)})
	service := &spokeconfig.Service{Name: "lm", Scaling: &spokeconfig.Scaling{Prices: map[string]float64{"a": 1}}}
	autoscaler := &Autoscaler{Registry: registry}
	_, all := autoscaler.countInstances(service)
	require.Equal(t, []CurrentInstances{{Reclaimable: 2, OnDemand: 1}}, all)
	autoscaler.CarriesTrafficFunc = func(_, version string) bool { return version == "v1" }
	_, carrying := autoscaler.countInstances(service)
	require.Equal(t, []CurrentInstances{{Reclaimable: 2}}, carrying)
}
