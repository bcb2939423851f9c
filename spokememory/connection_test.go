package spokememory

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mulberryspoke.example/mulberryspoke/spokecase"
	"mulberryspoke.example/mulberryspoke/spokeclock"
)

// connectionStep is one step of a script.
type connectionStep struct {
	Advance spokeclock.Millis `yaml:"advance"`
	Accept  string            `yaml:"accept"`
	Request string            `yaml:"request"`
	Idle    string            `yaml:"idle"`
	Leave   string            `yaml:"leave"`
	// HeadersOf is the connection that sends Headers bytes; the accepted one if empty.
	HeadersOf string `yaml:"headers_of"`
	Headers   int64  `yaml:"headers"`
	Write     string `yaml:"write"`
	// Heartbeat is the link whose hello or heartbeat comes, and MaxSilence the time after
	// which it counts as lost.
	Heartbeat  string            `yaml:"heartbeat"`
	MaxSilence spokeclock.Millis `yaml:"max_silence"`
	// End is the connection that its server closes.
	End     string      `yaml:"end"`
	Closed  string      `yaml:"closed"`
	Refused bool        `yaml:"refused"`
	Reason  CloseReason `yaml:"reason"`
	Held    *int64      `yaml:"held"`
}

// scriptedConn is a connection without a network.
type scriptedConn struct {
	net.Conn
	name     string
	isClosed bool
}

// Close records that the connection is closed.
func (s *scriptedConn) Close() error {
	s.isClosed = true
	return nil
}

// connectionScript is the state of a scripted test.
type connectionScript struct {
	manual      *spokeclock.Manual
	limit       *ConnectionLimit
	inner       map[string]*scriptedConn
	connections map[string]*connection
	closed      []ClosedConnection
}

// TestConnectionLimit guards against connections without a bound, which take all
// descriptors, and against the end of connections that callers use.
func TestConnectionLimit(t *testing.T) {
	cases := spokecase.Read[[]struct {
		Name           string            `yaml:"name"`
		Limit          int               `yaml:"limit"`
		Budget         int64             `yaml:"budget"`
		MaxRequestTime spokeclock.Millis `yaml:"max_request_time"`
		HasLinks       bool              `yaml:"has_links"`
		Steps          []connectionStep  `yaml:"steps"`
	}](t, "testdata/connections.yaml")
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			s := &connectionScript{manual: &spokeclock.Manual{}, inner: make(map[string]*scriptedConn), connections: make(map[string]*connection)}
			// A write that begins at the time 0 would count as none.
			s.manual.Advance(spokeclock.Second)
			budget := &Budget{Limit: c.Budget, Clock: s.manual.Clock()}
			s.limit = &ConnectionLimit{Limit: c.Limit, HasLinks: c.HasLinks, MaxRequestTime: c.MaxRequestTime, Budget: budget, Clock: s.manual.Clock(), ClosedFunc: func(d ClosedConnection) { s.closed = append(s.closed, d) }}
			for i, step := range c.Steps {
				s.run(t, fmt.Sprintf("step %d", i+1), step)
			}
		})
	}
}

func (s *connectionScript) run(t *testing.T, name string, step connectionStep) {
	s.manual.Advance(step.Advance)
	s.closed = nil
	openBefore := s.openNames()
	s.apply(step)
	if step.Closed == "" && !step.Refused {
		require.Empty(t, s.closed, name)
	} else {
		require.Len(t, s.closed, 1, name)
		require.Equal(t, step.Reason, s.closed[0].Reason(), name)
	}
	for closedName, conn := range s.inner {
		wasOpen := openBefore[closedName] || closedName == step.Accept
		require.Equal(t, closedName == step.Closed || closedName == step.End, wasOpen && conn.isClosed, "%s: %s", name, closedName)
	}
	if step.Held != nil {
		require.Equal(t, *step.Held, s.limit.Budget.Held(), name)
	}
}

func (s *connectionScript) openNames() map[string]bool {
	open := make(map[string]bool)
	for name, conn := range s.inner {
		open[name] = !conn.isClosed
	}
	return open
}

func (s *connectionScript) apply(step connectionStep) {
	if step.Accept != "" {
		conn := &scriptedConn{name: step.Accept}
		s.inner[step.Accept] = conn
		if accepted, ok := s.limit.admit(conn).(*connection); ok {
			s.connections[step.Accept] = accepted
		}
	}
	if step.Headers > 0 {
		name := step.HeadersOf
		if name == "" {
			name = step.Accept
		}
		_ = s.connections[name].chargeHeader(step.Headers)
	}
	switch {
	case step.Request != "":
		s.limit.Update(s.connections[step.Request], http.StateActive)
	case step.Idle != "":
		s.limit.Update(s.connections[step.Idle], http.StateIdle)
	case step.Leave != "":
		s.limit.Update(s.connections[step.Leave], http.StateClosed)
	case step.Heartbeat != "":
		s.limit.RecordHeartbeat(s.connections[step.Heartbeat], step.MaxSilence)
	case step.End != "":
		_ = s.connections[step.End].Close()
	case step.Write != "":
		s.connections[step.Write].writeBegunAt.Store(int64(s.manual.Clock().Now()))
	}
}

// TestListener guards against a place that a connection keeps after its end: with one
// place, each further request would find none.
func TestListener(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	limit := &ConnectionLimit{Limit: 1, Budget: &Budget{}}
	server := &http.Server{ReadHeaderTimeout: time.Second, ConnState: limit.Update, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	go func() { _ = server.Serve(limit.Listener(inner)) }()
	defer func() { _ = server.Close() }()
	transport := &http.Transport{DisableKeepAlives: true}
	for range 10 {
		response, err := transport.RoundTrip(newRequest(t, inner.Addr().String()))
		require.NoError(t, err)
		_ = response.Body.Close()
		// The server ends a connection a moment after its response.
		require.Eventually(t, func() bool { return limit.Count() == 0 }, 5*time.Second, time.Millisecond)
	}
}

// TestConnectionMethods guards against a response that is lost, or seems complete, because
// the server can't close the connection as it would one without a bound.
func TestConnectionMethods(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = inner.Close() }()
	listener := (&ConnectionLimit{Limit: 2, Budget: &Budget{}}).Listener(inner)
	caller, accepted := connect(t, listener)
	require.NoError(t, accepted.(interface{ CloseWrite() error }).CloseWrite())
	_, err = caller.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	caller, accepted = connect(t, listener)
	require.NoError(t, accepted.(interface{ SetLinger(int) error }).SetLinger(0))
	require.NoError(t, accepted.Close())
	_, err = caller.Read(make([]byte, 1))
	require.ErrorIs(t, err, syscall.ECONNRESET)
}

// connect returns both ends of a new connection.
func connect(t *testing.T, listener net.Listener) (caller, accepted net.Conn) {
	caller, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = caller.Close() })
	accepted, err = listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = accepted.Close() })
	return caller, accepted
}

func newRequest(t *testing.T, address string) *http.Request {
	request, err := http.NewRequest(http.MethodGet, "http://"+address, http.NoBody)
	require.NoError(t, err)
	return request
}
