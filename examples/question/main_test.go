package main

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"mulberryspoke.example/mulberryspoke/spokecase"
	"mulberryspoke.example/mulberryspoke/spokestandin"
)

// TestBrokenAnswers guards against an answer that is printed as a complete one although its
// status is none, or its connection was reset while the question was still being written.
func TestBrokenAnswers(t *testing.T) {
	const (
		tries     = 5
		longBytes = 12 << 20
	)
	for name, c := range map[string]struct {
		server   *spokestandin.RawServer
		question string
	}{
		"status 000": {server: &spokestandin.RawServer{Answer: "HTTP/1.1 000 Trouble\nContent-Length: 4\n\npart"}, question: "q"},
		"a reset": {
			server:   &spokestandin.RawServer{Answer: "HTTP/1.1 200 OK\n\npart", AnswersEarly: true, Ending: spokestandin.EndingReset, EndDelay: 5},
			question: strings.Repeat("q", longBytes),
		},
	} {
		t.Run(name, func(t *testing.T) {
			address := "http://" + spokecase.Serve(t, c.server.Serve)
			for range tries {
				require.Error(t, ask(address, c.question))
			}
		})
	}
}
