package spokeoperate_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mulberryspoke.example/mulberryspoke/spokecase"
	"mulberryspoke.example/mulberryspoke/spokeerror"
	"mulberryspoke.example/mulberryspoke/spokeoperate"
	"mulberryspoke.example/mulberryspoke/spokestandin"
)

// TestBrokenAnswers guards against an answer that the operators' client takes for one of an
// entry instance although it is not well-formed.
func TestBrokenAnswers(t *testing.T) {
	const body = "{\"revision\":7,\"declaration\":\"text\"}"
	for name, head := range map[string]string{
		"status 000":                   "HTTP/1.1 000 Trouble\nContent-Length: 35\n",
		"status 600":                   "HTTP/1.1 600 Trouble\nContent-Length: 35\n",
		"a blank in a name":            "HTTP/1.1 200 OK\nX Broken: 1\nContent-Length: 35\n",
		"a length named with a blank":  "HTTP/1.1 200 OK\nContent-Length : 12\n",
		"a folded line":                "HTTP/1.1 200 OK\nX-Value: 1\n 2\nContent-Length: 35\n",
		"version 2.0":                  "HTTP/2.0 200 OK\nContent-Length: 35\n",
		"bytes that are no answer":     "no answer\n",
		"a body that is cut":           "HTTP/1.1 200 OK\nContent-Length: 36\n",
		"a chunked body that is cut":   "HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n23\n" + body,
		"a control byte within a name": "HTTP/1.1 200 OK\nX-Bro\x01ken: 1\nContent-Length: 35\n",
	} {
		t.Run(name, func(t *testing.T) {
			server := &spokestandin.RawServer{Answer: head + "Content-Type: application/json\n\n" + body, Ending: spokestandin.EndingClose}
			client := spokeoperate.NewClient("http://"+spokecase.Serve(t, server.Serve), "key")
			_, err := client.Get(t.Context())
			require.Equal(t, spokeoperate.KindUnreachable, spokeerror.KindOf[spokeoperate.Kind](err), "%v", err)
		})
	}
}

// TestEndlessAnswer guards against an answer without end, of which all was kept, and which an
// error quoted in full.
func TestEndlessAnswer(t *testing.T) {
	for name, answer := range map[string]string{
		"an answer":        "HTTP/1.1 200 OK\nContent-Type: application/json\n\n{\"revision\":7,\"declaration\":\"",
		"an unknown error": "HTTP/1.1 418 Teapot\nContent-Type: application/json\n\n",
		"a head":           "HTTP/1.1 200 OK\nX-Long: ",
	} {
		t.Run(name, func(t *testing.T) {
			server := &spokestandin.RawServer{Answer: answer, Repeated: "0123456789"}
			client := spokeoperate.NewClient("http://"+spokecase.Serve(t, server.Serve), "key")
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			_, err := client.Get(ctx)
			require.Equal(t, spokeoperate.KindUnreachable, spokeerror.KindOf[spokeoperate.Kind](err))
			require.Less(t, len(err.Error()), 8<<10)
			require.NoError(t, ctx.Err(), "the answer was read until the time was over")
		})
	}
}
