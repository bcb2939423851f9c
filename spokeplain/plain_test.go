package spokeplain_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mulberryspoke.example/mulberryspoke/spokecase"
	"mulberryspoke.example/mulberryspoke/spokeerror"
	"mulberryspoke.example/mulberryspoke/spokehttp"
	"mulberryspoke.example/mulberryspoke/spokeplain"
)

const (
	firstAttempt  = "first"
	secondAttempt = "second"
)

// responseCase is what a server writes to a client that calls it for two attempts in
// turn. The texts between the two responses are written on the first connection.
type responseCase struct {
	Name string `yaml:"name"`
	Call string `yaml:"call"`
	// First and Second respond to the requests.
	First  string `yaml:"first"`
	Second string `yaml:"second"`
	// Before is written while the connection is idle, During after the first byte of
	// the second request, After once the whole request has been read.
	Before string `yaml:"before"`
	During string `yaml:"during"`
	After  string `yaml:"after"`
	// Kind is the kind of the second call's error, and Started the second report.
	Kind    spokeplain.Kind `yaml:"kind"`
	Started bool            `yaml:"started"`
}

// TestResponsesOfOtherAttempts calls a server that repeats the response to an earlier
// attempt on a kept connection, or whose response names no attempt. None of these may
// decide that an attempt has not run.
func TestResponsesOfOtherAttempts(t *testing.T) {
	for _, c := range spokecase.Read[[]responseCase](t, "testdata/responses.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			address, ready := c.serve(t)
			client := newSingleConnClient(address)
			_, err := c.call(client, firstAttempt)
			require.NotEqual(t, spokeplain.KindOutcomeUnknown, spokeerror.KindOf[spokeplain.Kind](err))
			<-ready
			started, err := c.call(client, secondAttempt)
			require.Equal(t, c.Kind, spokeerror.KindOf[spokeplain.Kind](err), "%v", err)
			require.Equal(t, c.Started, started)
		})
	}
}

// newSingleConnClient returns a client that opens no connection while it keeps one.
func newSingleConnClient(address string) *spokeplain.Client {
	client := spokehttp.NewClient()
	client.Transport.(*spokehttp.Transport).MaxConnsPerHost = 1
	return &spokeplain.Client{URL: "http://" + address, HTTPClient: client}
}

func (c responseCase) call(client *spokeplain.Client, attemptID string) (bool, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if c.Call == "seal" {
		report, err := client.SealAttempt(ctx, attemptID)
		return report.Started, err
	}
	_, err := client.Send(ctx, spokeplain.Request{Method: http.MethodPost, Path: "/", Body: []byte("body"), AttemptID: attemptID})
	return err == nil, err
}

// serve serves the case. It returns the address and a channel that is closed when the
// second request may be sent.
func (c responseCase) serve(t *testing.T) (string, <-chan struct{}) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	ready := make(chan struct{})
	go func() {
		for first := true; ; first = false {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
			if first {
				go c.serveFirst(conn, ready)
			} else {
				go c.serveSecond(conn)
			}
		}
	}()
	return listener.Addr().String(), ready
}

// serveFirst serves the connection of the first request, which a client may keep.
func (c responseCase) serveFirst(conn net.Conn, ready chan<- struct{}) {
	reader := bufio.NewReader(conn)
	readRequest(reader)
	writeResponse(conn, c.First)
	if c.Before != "" {
		writeResponse(conn, c.Before)
		// The client closes the idle connection.
		_, _ = reader.Peek(1)
		close(ready)
		return
	}
	close(ready)
	if _, err := reader.Peek(1); err != nil {
		return
	}
	writeResponse(conn, c.During)
	readRequest(reader)
	writeResponse(conn, c.After)
	writeResponse(conn, c.Second)
}

func (c responseCase) serveSecond(conn net.Conn) {
	readRequest(bufio.NewReader(conn))
	writeResponse(conn, c.Second)
}

func readRequest(reader *bufio.Reader) {
	if request, err := http.ReadRequest(reader); err == nil {
		_, _ = io.Copy(io.Discard, request.Body)
	}
}

func writeResponse(conn net.Conn, text string) {
	_, _ = conn.Write([]byte(strings.ReplaceAll(text, "\n", "\r\n")))
}

// TestResentRequest closes a kept connection, and the server, after a request on it has
// been read. The HTTP library then sends the request again and fails to connect, which
// must not count as not sent.
func TestResentRequest(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		reader := bufio.NewReader(conn)
		readRequest(reader)
		writeResponse(conn, "HTTP/1.1 200 OK\nSpoke-Attempt: first\nContent-Length: 0\n\n")
		readRequest(reader)
		_ = listener.Close()
		_ = conn.Close()
	}()
	client := newSingleConnClient(listener.Addr().String())
	request := spokeplain.Request{Method: http.MethodGet, Path: "/", AttemptID: firstAttempt}
	_, err = client.Send(t.Context(), request)
	require.NoError(t, err)
	request.AttemptID = secondAttempt
	_, err = client.Send(t.Context(), request)
	require.Equal(t, spokeplain.KindOutcomeUnknown, spokeerror.KindOf[spokeplain.Kind](err), "%v", err)
	_, err = client.Send(t.Context(), request)
	require.Equal(t, spokeplain.KindNotSent, spokeerror.KindOf[spokeplain.Kind](err), "%v", err)
}
