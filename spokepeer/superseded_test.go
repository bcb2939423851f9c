package spokepeer_test

import (
	"bufio"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mulberryspoke.example/mulberryspoke/spokecase"
)

type supersededCase struct {
	Name  string           `yaml:"name"`
	Steps []supersededStep `yaml:"steps"`
}

type supersededStep struct {
	Connection string `yaml:"connection"`
	Hello      *struct {
		Generation int64 `yaml:"generation"`
		Link       int64 `yaml:"link"`
		IsRefused  bool  `yaml:"is_refused"`
	} `yaml:"hello"`
	// Count is that of a heartbeat.
	Count     int64 `yaml:"count"`
	IsGoodbye bool  `yaml:"is_goodbye"`
	// IsClosed means that the instance closes the connection.
	IsClosed bool   `yaml:"is_closed"`
	Merged   string `yaml:"merged"`
	// Run is that of the peer which is known afterwards, or 0.
	Run int64 `yaml:"run"`
}

// TestSupersededLinks guards against messages of a peer's earlier connection or run that
// arrive late, as after a freeze or a cut, and take effect over those of the later one: counters
// of the ended run that count anew, and a goodbye that removes the run that has just started.
func TestSupersededLinks(t *testing.T) {
	for _, c := range spokecase.Read[[]supersededCase](t, "testdata/superseded.yaml") {
		t.Run(c.Name, func(t *testing.T) { c.run(t) })
	}
}

func (c supersededCase) run(t *testing.T) {
	instance := newAggregateInstance(t, "a", "a-0")
	merged := make(chan string, len(c.Steps))
	instance.node.MergePeerCountsFunc = func(_ string, generation int64, counts map[string]int64) {
		merged <- fmt.Sprintf("%d:%d", generation, counts["x"])
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go instance.node.Run(ctx)
	connections := make(map[string]*rawLink)
	for i, step := range c.Steps {
		if connections[step.Connection] == nil {
			connections[step.Connection] = openRawLink(t, instance.node.View.Self.Address)
		}
		link := connections[step.Connection]
		switch {
		case step.Hello != nil:
			link.send(fmt.Sprintf(`{"jsonrpc":"2.0","id":7,"method":"hello","params":{"identity":{"name":"b","data_centre":"a","generation":%d},"link":%d}}`, step.Hello.Generation, step.Hello.Link))
			response, err := link.receive()
			require.NoError(t, err)
			require.Equal(t, step.Hello.IsRefused, strings.Contains(response, `"error"`), response)
		case step.IsGoodbye:
			link.send(`{"jsonrpc":"2.0","method":"goodbye","params":{}}`)
		default:
			link.send(fmt.Sprintf(`{"jsonrpc":"2.0","method":"heartbeat","params":{"counts":{"x":%d}}}`, step.Count))
		}
		isClosed := !link.isHandled()
		got := ""
		if len(merged) > 0 {
			got = <-merged
		}
		require.Equal(t, step.Merged, got, "step %d", i+1)
		peer, _ := instance.node.View.Lookup("b")
		require.Equal(t, step.Run, peer.Generation, "step %d", i+1)
		require.Equal(t, step.IsClosed, isClosed, "step %d", i+1)
	}
}

// rawLink is a connection to an instance that sends what a test wants.
type rawLink struct {
	*testing.T

	conn   net.Conn
	reader *bufio.Reader
}

func openRawLink(t *testing.T, address string) *rawLink {
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(messageTimeout)))
	return &rawLink{T: t, conn: conn, reader: bufio.NewReader(conn)}
}

// send sends a message. The instance may have closed the connection.
func (l *rawLink) send(text string) {
	_, _ = l.conn.Write(append(binary.AppendUvarint(nil, uint64(len(text))), text...))
}

func (l *rawLink) receive() (string, error) {
	length, err := binary.ReadUvarint(l.reader)
	if err != nil {
		return "", err
	}
	text := make([]byte, length)
	_, err = io.ReadFull(l.reader, text)
	require.True(l, err != nil || json.Valid(text))
	return string(text), err
}

// isHandled waits until all messages have been handled, and reports false if the instance has
// closed the connection.
func (l *rawLink) isHandled() bool {
	l.send(`{"jsonrpc":"2.0","id":8,"method":"unknown"}`)
	_, err := l.receive()
	var timeout net.Error
	require.NotErrorAs(l, err, &timeout)
	return err == nil
}
