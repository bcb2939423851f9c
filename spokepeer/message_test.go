package spokepeer_test

import (
	"context"
	"encoding/binary"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mulberryspoke.example/mulberryspoke/spokecase"
)

type messageCase struct {
	Name   string `yaml:"name"`
	Text   string `yaml:"text"`
	Length uint64 `yaml:"length"`
	// Raw is sent instead of a length and a text.
	Raw    string `yaml:"raw"`
	Closed bool   `yaml:"closed"`
}

const messageTimeout = 2 * time.Second

// TestMalformedMessages sends messages of no peer to an instance. It must go on
// answering others.
func TestMalformedMessages(t *testing.T) {
	instance := newAggregateInstance(t, "a", "a-0")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go instance.node.Run(ctx)
	address := instance.node.View.Self.Address
	for _, c := range spokecase.Read[[]messageCase](t, "testdata/messages.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			conn := c.send(t, address)
			defer func() { _ = conn.Close() }()
			require.NoError(t, conn.SetReadDeadline(time.Now().Add(messageTimeout/4)))
			_, err := conn.Read(make([]byte, 1))
			var timeout net.Error
			if c.Closed {
				require.Error(t, err)
				require.NotErrorAs(t, err, &timeout)
			} else if err != nil {
				require.ErrorAs(t, err, &timeout)
			}
			hello := messageCase{Text: `{"jsonrpc":"2.0","id":1,"method":"hello","params":{"identity":{"name":"b","data_centre":"a","generation":1}}}`}
			other := hello.send(t, address)
			defer func() { _ = other.Close() }()
			require.NoError(t, other.SetReadDeadline(time.Now().Add(messageTimeout)))
			_, err = other.Read(make([]byte, 1))
			require.NoError(t, err, "the instance must answer a peer")
		})
	}
}

func (c messageCase) send(t *testing.T, address string) net.Conn {
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	message := []byte(c.Raw)
	if c.Raw == "" {
		length := c.Length
		if length == 0 {
			length = uint64(len(c.Text))
		}
		message = append(binary.AppendUvarint(nil, length), c.Text...)
	}
	_, err = conn.Write(message)
	require.NoError(t, err)
	return conn
}
