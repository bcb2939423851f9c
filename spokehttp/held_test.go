package spokehttp

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"

	"mulberryspoke.example/mulberryspoke/spokecase"
)

type heldCase struct {
	Name   string `yaml:"name"`
	Length int    `yaml:"length"`
	// Announced is the announced length, negative if there is none.
	Announced int64 `yaml:"announced"`
	Limit     int   `yaml:"limit"`
	// Allowed is the number of bytes that may be held besides the free ones.
	Allowed int `yaml:"allowed"`
	// OneByte lets the body arrive byte by byte.
	OneByte bool `yaml:"one_byte"`
	IsWhole bool `yaml:"is_whole"`
	// MaxHeld bounds what is charged.
	MaxHeld int `yaml:"max_held"`
}

// TestReadHeld guards against a response that is cut or changed where it no longer fits, and
// against bytes that are held without a charge or charged before they arrive.
func TestReadHeld(t *testing.T) {
	for _, c := range spokecase.Read[[]heldCase](t, "testdata/held.yaml") {
		t.Run(c.Name, func(t *testing.T) { c.run(t) })
	}
}

func (c heldCase) run(t *testing.T) {
	data := make([]byte, c.Length)
	for i := range data {
		data[i] = byte(i % 251)
	}
	var body io.Reader = bytes.NewReader(data)
	if c.OneByte {
		body = iotest.OneByteReader(body)
	}
	charged := 0
	held, isWhole, err := ReadHeld(body, c.Announced, c.Limit, func(n int) bool {
		if charged+n > c.Allowed {
			return false
		}
		charged += n
		return true
	})
	require.NoError(t, err)
	require.Equal(t, c.IsWhole, isWhole)
	require.LessOrEqual(t, charged, c.MaxHeld)
	require.LessOrEqual(t, cap(held), freeHeldBytes+charged)
	rest, err := io.ReadAll(body)
	require.NoError(t, err)
	require.True(t, bytes.Equal(data, append(held[:len(held):len(held)], rest...)))
}

// TestReadHeldError guards against a broken response that seems whole.
func TestReadHeldError(t *testing.T) {
	body := io.MultiReader(bytes.NewReader(make([]byte, 10000)), iotest.ErrReader(io.ErrUnexpectedEOF))
	_, _, err := ReadHeld(body, -1, 1<<20, nil)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

// TestHoldResponses guards against a response that is read although it may not be held.
func TestHoldResponses(t *testing.T) {
	const length, factor = 100000, 2
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, length)) }))
	defer server.Close()
	for _, allowed := range []int{length / factor, length * factor} {
		charged := 0
		client := HoldResponses(server.Client(), func(n int) bool {
			charged += n
			return charged <= allowed
		}, factor)
		response, err := client.Get(server.URL)
		require.NoError(t, err)
		_, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		if allowed < factor*length {
			require.ErrorIs(t, err, ErrNotHeld)
		} else {
			require.NoError(t, err)
		}
	}
}
