package spokepeer_test

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"mulberryspoke.example/mulberryspoke/spokebackend"
	"mulberryspoke.example/mulberryspoke/spokecase"
	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokecloud"
	"mulberryspoke.example/mulberryspoke/spokeconfig"
	"mulberryspoke.example/mulberryspoke/spokefeed"
	"mulberryspoke.example/mulberryspoke/spokemember"
	"mulberryspoke.example/mulberryspoke/spokepeer"
	"mulberryspoke.example/mulberryspoke/spokestandin"
)

type frozenCase struct {
	Name string `yaml:"name"`
	// RequestBytes is the length of the request. A longer one than the buffers of the
	// connection can't be written.
	RequestBytes int               `yaml:"request_bytes"`
	Timeout      spokeclock.Millis `yaml:"timeout_millis"`
	Within       spokeclock.Millis `yaml:"within_millis"`
}

// TestFrozenPeer guards against a peer that stops reading and thereby keeps this
// process from reading a table elsewhere.
func TestFrozenPeer(t *testing.T) {
	for _, c := range spokecase.Read[[]frozenCase](t, "testdata/frozen.yaml") {
		t.Run(c.Name, func(t *testing.T) { c.run(t) })
	}
}

func (c frozenCase) run(t *testing.T) {
	proxy := &spokestandin.Proxy{}
	proxyListener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	peer := newLinkedNode(t, "peer")
	proxy.Target = peer.View.Self.Address
	ctx, cancel := context.WithCancel(context.Background())
	go proxy.Serve(ctx, proxyListener)
	node := newLinkedNode(t, "self")
	node.View.UpdateInstances([]spokecloud.Instance{{Name: "peer", Role: spokecloud.RoleEntry, DataCentre: "a", Address: proxyListener.Addr().String(), State: spokecloud.StateRunning}})
	for _, n := range []*spokepeer.Node{peer, node} {
		done := make(chan struct{})
		go func() {
			defer close(done)
			n.Run(ctx)
		}()
		t.Cleanup(func() { <-done })
	}
	t.Cleanup(cancel)
	require.Eventually(t, func() bool {
		_, err := node.TableChanges(ctx, "peer", spokefeed.RelayRequest{})
		return err == nil
	}, 5*time.Second, 10*time.Millisecond)
	proxy.SetFaults(spokestandin.ProxyFaults{Frozen: true})
	defer proxy.SetFaults(spokestandin.ProxyFaults{Disconnected: true})
	callCtx, cancelCall := context.WithTimeout(ctx, c.Timeout.Duration())
	defer cancelCall()
	startedAt := time.Now()
	_, err = node.TableChanges(callCtx, "peer", spokefeed.RelayRequest{Table: strings.Repeat("x", c.RequestBytes)})
	require.Error(t, err)
	require.Less(t, time.Since(startedAt), c.Within.Duration())
}

// newLinkedNode returns a node whose relay has nothing to tell.
func newLinkedNode(t *testing.T, name string) *spokepeer.Node {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	view := &spokemember.View{MaxMeshPeers: 1, Self: spokemember.Identity{Name: name, DataCentre: "a", Address: listener.Addr().String(), Generation: 1}}
	return &spokepeer.Node{
		View: view, Store: &spokeconfig.Store{}, Registry: &spokebackend.Registry{DataCentre: "a"}, Listener: listener, Log: zerolog.Nop(),
		TableChangesFunc: func(context.Context, spokefeed.RelayRequest) (spokefeed.RelayUpdate, error) {
			return spokefeed.RelayUpdate{}, nil
		},
	}
}
