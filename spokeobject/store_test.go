package spokeobject_test

import (
	"net"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"mulberryspoke.example/mulberryspoke/spokecase"
	"mulberryspoke.example/mulberryspoke/spokehttp"
	"mulberryspoke.example/mulberryspoke/spokeobject"
	"mulberryspoke.example/mulberryspoke/spokestandin"
)

// TestLateCopyOfObject repeats the response to a read on its connection when the next
// call arrives. An object must not be read as another one.
func TestLateCopyOfObject(t *testing.T) {
	server := httptest.NewServer((&spokestandin.ObjectStore{}).Handler())
	defer server.Close()
	proxy := &spokestandin.Proxy{Target: server.Listener.Addr().String()}
	proxy.SetFaults(spokestandin.ProxyFaults{LateCopies: 1, CopyContaining: "GET"})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go proxy.Serve(t.Context(), listener)
	store := &spokeobject.Store{URL: "http://" + listener.Addr().String(), NoKeepAliveClient: spokehttp.NewNoKeepAliveClient()}
	for _, name := range []string{"a", "b"} {
		require.NoError(t, store.Put(t.Context(), name, []byte("content of "+name)))
	}
	for _, name := range []string{"a", "b"} {
		content, err := store.Get(t.Context(), name, nil)
		require.NoError(t, err)
		require.Equal(t, "content of "+name, string(content))
	}
}

// TestResetOfPut guards against an object that counts as written although the store reset the
// connection while it was being sent.
func TestResetOfPut(t *testing.T) {
	server := &spokestandin.RawServer{Answer: "HTTP/1.1 200 OK\n\n", AnswersEarly: true, Ending: spokestandin.EndingReset, EndDelay: 5}
	store := &spokeobject.Store{URL: "http://" + spokecase.Serve(t, server.Serve), NoKeepAliveClient: spokehttp.NewNoKeepAliveClient()}
	for range 10 {
		require.Error(t, store.Put(t.Context(), "a", make([]byte, 12<<20)))
	}
}
