package spokecloud_test

import (
	"net"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"mulberryspoke.example/mulberryspoke/spokecloud"
	"mulberryspoke.example/mulberryspoke/spokehttp"
	"mulberryspoke.example/mulberryspoke/spokestandin"
)

// TestLateCopyOfStart repeats the response to a start on its connection when the next
// one arrives. A start must not be confirmed with the instance of another one.
func TestLateCopyOfStart(t *testing.T) {
	standin := &spokestandin.CloudAPI{}
	server := httptest.NewServer(standin.Handler())
	defer server.Close()
	standin.Control(spokestandin.CloudControlRequest{Pool: []spokecloud.Instance{
		{Name: "a", DataCentre: "x", MachineClass: "small", Service: "s"},
		{Name: "b", DataCentre: "x", MachineClass: "small", Service: "s"},
	}})
	proxy := &spokestandin.Proxy{Target: server.Listener.Addr().String()}
	proxy.SetFaults(spokestandin.ProxyFaults{LateCopies: 1})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go proxy.Serve(t.Context(), listener)
	cloud := &spokecloud.Cloud{URL: "http://" + listener.Addr().String(), Client: spokehttp.NewClient(), NoKeepAliveClient: spokehttp.NewNoKeepAliveClient()}
	names := make(map[string]bool)
	for _, token := range []string{"one", "two"} {
		instance, err := cloud.StartInstance(t.Context(), spokecloud.StartRequest{IdempotencyToken: token, DataCentre: "x", MachineClass: "small", Service: "s"})
		require.NoError(t, err)
		names[instance.Name] = true
	}
	require.Len(t, names, 2)
}
