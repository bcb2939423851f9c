package spokeplain_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"mulberryspoke.example/mulberryspoke/spokecase"
	"mulberryspoke.example/mulberryspoke/spokeerror"
	"mulberryspoke.example/mulberryspoke/spokehttp"
	"mulberryspoke.example/mulberryspoke/spokeplain"
	"mulberryspoke.example/mulberryspoke/spokestandin"
)

const (
	// resetUploadBytes is more than the buffers of a connection hold.
	resetUploadBytes = 12 << 20
	resetTries       = 10
)

// TestResetUpload guards against a part of a response that is taken for the whole, as the
// server has reset the connection while the request was being written. The request may have
// run then.
func TestResetUpload(t *testing.T) {
	clients := map[string]*http.Client{"new connections": spokehttp.NewNoKeepAliveClient(), "kept connections": spokehttp.NewClient()}
	for name, httpClient := range clients {
		t.Run(name, func(t *testing.T) {
			head := "HTTP/1.1 200 OK\n" + spokeplain.AttemptHeader + ": " + firstAttempt + "\n"
			server := &spokestandin.RawServer{
				Answer: head + "\npart", AnswersEarly: true, Ending: spokestandin.EndingReset, EndDelay: 5, SmallAnswer: head + "Content-Length: 5\n\nwhole",
			}
			client := spokeplain.Client{URL: "http://" + spokecase.Serve(t, server.Serve), HTTPClient: httpClient}
			for range resetTries {
				whole, err := client.Send(t.Context(), spokeplain.Request{Method: http.MethodPost, Path: "/", Body: make([]byte, 1), AttemptID: firstAttempt})
				require.NoError(t, err)
				require.Equal(t, "whole", string(whole.Body))
				response, err := client.Send(t.Context(), spokeplain.Request{Method: http.MethodPost, Path: "/", Body: make([]byte, resetUploadBytes), AttemptID: firstAttempt})
				require.Equal(t, spokeplain.KindOutcomeUnknown, spokeerror.KindOf[spokeplain.Kind](err), "response %q", response.Body)
			}
			require.Equal(t, 2*resetTries, server.RequestCount())
		})
	}
}
