package spokestandin

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"

	"mulberryspoke.example/mulberryspoke/spokeclock"
)

// Ending is how a RawServer ends a connection after an answer.
type Ending string

const (
	// EndingNone keeps the connection for the next request.
	EndingNone Ending = ""
	// EndingClose closes the connection in order after the request has been read.
	EndingClose Ending = "close"
	// EndingCloseAndReset ends the stream of the answer in order, and resets the connection
	// after that.
	EndingCloseAndReset Ending = "close_and_reset"
	// EndingReset resets the connection, whether or not the request has been read.
	EndingReset Ending = "reset"
)

// smallRequestBytes is the length up to which the body of a request is small.
const smallRequestBytes = 1

// repetitionsPerWrite is how often the endless part of an answer is in one write.
const repetitionsPerWrite = 1000

// RawServer is a server that answers requests with raw bytes, which need not be an answer.
// Set its fields before Serve.
type RawServer struct {
	// Answer is the answer, with LF line endings.
	Answer string `yaml:"answer"`
	// Repeated follows the answer without end, with LF line endings. Empty means nothing.
	Repeated string `yaml:"repeated"`
	// AnswersEarly means that the answer is sent before the body of the request is read.
	AnswersEarly bool `yaml:"answers_early"`
	// Ending is how the connection ends after the answer, and EndDelay the time before.
	Ending   Ending            `yaml:"ending"`
	EndDelay spokeclock.Millis `yaml:"end_delay_millis"`
	// SmallAnswer answers requests whose body has a single byte, with LF line endings, and
	// keeps the connection. Empty means that they are answered as all others.
	SmallAnswer string `yaml:"small_answer"`

	requests    atomic.Int64
	reuses      atomic.Int64
	connections atomic.Int64
	sentBytes   atomic.Int64
}

// RequestCount returns the number of requests that have arrived.
func (s *RawServer) RequestCount() int { return int(s.requests.Load()) }

// ConnectionCount returns the number of connections that were accepted.
func (s *RawServer) ConnectionCount() int { return int(s.connections.Load()) }

// ReuseCount returns the number of requests that arrived on a connection after Answer had
// been sent on it.
func (s *RawServer) ReuseCount() int { return int(s.reuses.Load()) }

// SentBytes returns the number of bytes of answers that were written.
func (s *RawServer) SentBytes() int64 { return s.sentBytes.Load() }

// Serve accepts connections until the listener is closed.
func (s *RawServer) Serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		s.connections.Add(1)
		go s.serveConn(conn.(*net.TCPConn))
	}
}

func (s *RawServer) serveConn(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for hasAnswered := false; ; {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		s.requests.Add(1)
		if hasAnswered {
			s.reuses.Add(1)
		}
		if s.SmallAnswer != "" && request.ContentLength == smallRequestBytes {
			_, _ = io.Copy(io.Discard, request.Body)
			s.write(conn, s.SmallAnswer)
			continue
		}
		hasAnswered = true
		if !s.answer(conn, request) {
			return
		}
	}
}

// answer answers a request and reports whether the connection is kept.
func (s *RawServer) answer(conn *net.TCPConn, request *http.Request) bool {
	if !s.AnswersEarly {
		_, _ = io.Copy(io.Discard, request.Body)
	}
	isWritten := s.write(conn, s.Answer)
	for chunk := strings.Repeat(s.Repeated, repetitionsPerWrite); isWritten && chunk != ""; {
		isWritten = s.write(conn, chunk)
	}
	if s.Ending == EndingCloseAndReset {
		_ = conn.CloseWrite()
	}
	_ = spokeclock.Sleep(request.Context(), s.EndDelay)
	switch s.Ending {
	case EndingReset, EndingCloseAndReset:
		_ = conn.SetLinger(0)
		return false
	case EndingClose:
		_ = conn.CloseWrite()
		_, _ = io.Copy(io.Discard, request.Body)
		return false
	default:
		_, err := io.Copy(io.Discard, request.Body)
		return err == nil
	}
}

// write writes a text and reports whether that was possible.
func (s *RawServer) write(conn io.Writer, text string) bool {
	n, err := io.WriteString(conn, withCRLF(text))
	s.sentBytes.Add(int64(n))
	return err == nil
}

func withCRLF(text string) string { return strings.ReplaceAll(text, "\n", "\r\n") }
