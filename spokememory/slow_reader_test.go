package spokememory

import (
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"mulberryspoke.example/mulberryspoke/spokecase"
	"mulberryspoke.example/mulberryspoke/spokeclock"
)

// TestSlowReader guards against the end of a connection whose caller reads slowly, or not
// yet, while the answer is one that a caller inside the limits gets: it must fit into the
// kernel's buffer, so that no write waits for the caller.
func TestSlowReader(t *testing.T) {
	cases := spokecase.Read[[]struct {
		Name string `yaml:"name"`
		// Bytes is the length of the answer and PieceBytes that of one write.
		Bytes      int `yaml:"bytes"`
		PieceBytes int `yaml:"piece_bytes"`
		// IsClosed is true if the connection is closed for another one.
		IsClosed bool `yaml:"is_closed"`
	}](t, "testdata/slow_readers.yaml")
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			manual := &spokeclock.Manual{}
			manual.Advance(spokeclock.Second)
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer func() { _ = inner.Close() }()
			limit := &ConnectionLimit{Limit: 1, Budget: &Budget{}, Clock: manual.Clock()}
			listener := limit.Listener(inner)
			accepted := connectWithoutBuffer(t, listener)
			defer func() { _ = accepted.Close() }()
			limit.Update(accepted, http.StateActive)
			written := make(chan struct{})
			go func() {
				defer close(written)
				writePieces(accepted, c.Bytes, c.PieceBytes)
			}()
			require.Eventually(t, func() bool { return isBlocked(written) == c.IsClosed }, 10*time.Second, time.Millisecond, "whether a write waits for the caller")
			manual.Advance(60 * spokeclock.Second)
			closed, _ := limit.place(&connection{Conn: &scriptedConn{}, limit: limit}, manual.Clock().Now())
			require.Equal(t, c.IsClosed, closed == accepted)
		})
	}
}

// connectWithoutBuffer returns the accepted end of a connection whose caller does not read and
// whose kernel takes as few bytes as it may.
func connectWithoutBuffer(t *testing.T, listener net.Listener) net.Conn {
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 1) })
	}}
	caller, err := dialer.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = caller.Close() })
	accepted, err := listener.Accept()
	require.NoError(t, err)
	return accepted
}

// writePieces writes until all is written or the connection is closed.
func writePieces(conn net.Conn, length, pieceLength int) {
	piece := make([]byte, pieceLength)
	for written := 0; written < length; written += len(piece) {
		if _, err := conn.Write(piece); err != nil {
			return
		}
	}
}

// isBlocked reports whether nothing ends for some time.
func isBlocked(ended <-chan struct{}) bool {
	select {
	case <-ended:
		return false
	case <-time.After(50 * time.Millisecond):
		return true
	}
}
