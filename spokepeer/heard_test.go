package spokepeer_test

import (
	"context"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mulberryspoke.example/mulberryspoke/spokecase"
	"mulberryspoke.example/mulberryspoke/spokeclock"
)

type heardCase struct {
	Name  string   `yaml:"name"`
	Texts []string `yaml:"texts"`
	// Silences are the times with which the messages are reported.
	Silences []spokeclock.Millis `yaml:"silences_millis"`
}

// TestLinkHeard guards against a link that carries heartbeats and is not known as one, which
// a flood of other connections would close, and against a connection that counts as a link
// without a hello.
func TestLinkHeard(t *testing.T) {
	for _, c := range spokecase.Read[[]heardCase](t, "testdata/heard.yaml") {
		t.Run(c.Name, func(t *testing.T) { c.run(t) })
	}
}

func (c heardCase) run(t *testing.T) {
	instance := newAggregateInstance(t, "a", "a-0")
	var mutex sync.Mutex
	var silences []spokeclock.Millis
	instance.node.LinkHeardFunc = func(_ net.Conn, maxSilence spokeclock.Millis) {
		mutex.Lock()
		defer mutex.Unlock()
		silences = append(silences, maxSilence)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go instance.node.Run(ctx)
	conn, err := net.Dial("tcp", instance.node.View.Self.Address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	// The response to the last message shows that all have been handled.
	for _, text := range append(c.Texts, `{"jsonrpc":"2.0","id":1,"method":"unknown"}`) {
		_, err := conn.Write(append([]byte{byte(len(text)&0x7f) | 0x80, byte(len(text) >> 7)}, text...))
		require.NoError(t, err)
	}
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(messageTimeout)))
	for received, part := "", make([]byte, 512); !strings.Contains(received, `"id":1,`); {
		n, err := conn.Read(part)
		require.NoError(t, err, received)
		received += string(part[:n])
	}
	mutex.Lock()
	defer mutex.Unlock()
	require.Equal(t, c.Silences, silences)
}

// registeringContext counts what is to be called at its end.
type registeringContext struct {
	context.Context
	count atomic.Int64
}

// Value hides the values of the inner context, by which the package context would find it and
// register there.
func (c *registeringContext) Value(any) any { return nil }

// AfterFunc registers a function. The package context calls it.
func (c *registeringContext) AfterFunc(f func()) (stop func() bool) {
	c.count.Add(1)
	stopInner := context.AfterFunc(c.Context, f)
	return sync.OnceValue(func() bool {
		c.count.Add(-1)
		return stopInner()
	})
}

// TestEndedConnections guards against connections that stay in memory after their end, with
// which a client that connects again and again exhausts it.
func TestEndedConnections(t *testing.T) {
	const connections = 50
	instance := newAggregateInstance(t, "a", "a-0")
	inner, cancel := context.WithCancel(context.Background())
	defer cancel()
	ctx := &registeringContext{Context: inner}
	go instance.node.Run(ctx)
	require.Eventually(t, func() bool { return ctx.count.Load() > 0 }, messageTimeout, time.Millisecond)
	before := ctx.count.Load()
	for range connections {
		conn := messageCase{Raw: "z{"}.send(t, instance.node.View.Self.Address)
		require.NoError(t, conn.Close())
	}
	hello := messageCase{Text: `{"jsonrpc":"2.0","id":1,"method":"hello","params":{"identity":{"name":"b","data_centre":"a","generation":1}}}`}
	last := hello.send(t, instance.node.View.Self.Address)
	defer func() { _ = last.Close() }()
	_, err := last.Read(make([]byte, 1))
	require.NoError(t, err)
	// The last connection is open and may be registered several times.
	require.Eventually(t, func() bool { return ctx.count.Load() < before+connections/2 }, messageTimeout, 10*time.Millisecond, "%d ended connections are registered", connections)
}
