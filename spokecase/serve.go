package spokecase

import (
	"net"
	"testing"
)

// Serve calls serveFunc in the background with a listener on loopback, which is closed with
// the test, and returns its address. It fails the test at once if there is no free port.
func Serve(t testing.TB, serveFunc func(net.Listener)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go serveFunc(listener)
	return listener.Addr().String()
}
