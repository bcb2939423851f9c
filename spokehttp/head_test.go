package spokehttp

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"mulberryspoke.example/mulberryspoke/spokecase"
)

type scanCase struct {
	Name string `yaml:"name"`
	// Text is what a server sends, with LF line endings.
	Text   string `yaml:"text"`
	Folded bool   `yaml:"folded"`
}

// TestHeadScanner scans what a server sends in two parts, with each place as their border,
// and byte by byte.
func TestHeadScanner(t *testing.T) {
	for _, c := range spokecase.Read[[]scanCase](t, "testdata/head_scans.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			text := strings.ReplaceAll(c.Text, "\n", "\r\n")
			for border := range len(text) + 1 {
				require.Equal(t, c.Folded, scanAll(text[:border], text[border:]), "border %d", border)
			}
			require.Equal(t, c.Folded, scanAll(strings.Split(text, "")...))
			require.Equal(t, c.Folded, scanAll(strings.Split(c.Text, "")...), "line endings without CR")
		})
	}
}

// scanAll scans the parts of a text and reports whether a line of a head is folded.
func scanAll(parts ...string) bool {
	var head headScanner
	head.begin(nil)
	for _, part := range parts {
		if head.scan([]byte(part)) != nil {
			return true
		}
	}
	return false
}

// TestHeadCharge checks what the heads of a connection are charged.
func TestHeadCharge(t *testing.T) {
	held, limit := 0, parsedHeadFactor<<10
	holdFunc := func(bytes int) bool {
		if held+bytes > limit {
			return false
		}
		held += bytes
		return true
	}
	var head headScanner
	for range 2 {
		head.begin(holdFunc)
		require.NoError(t, head.scan(make([]byte, freeHeadBytes)))
		require.Zero(t, held, "a head of the usual length")
		head.end()
	}
	head.begin(holdFunc)
	require.NoError(t, head.scan(make([]byte, freeHeadBytes+100)))
	require.Equal(t, 100*parsedHeadFactor, held)
	require.NoError(t, head.scan(make([]byte, 900)))
	require.Equal(t, 1000*parsedHeadFactor, held)
	require.ErrorIs(t, head.scan(make([]byte, 100)), ErrNotHeld)
	head.end()
	require.NoError(t, head.scan(make([]byte, 100)), "a body")
	require.Equal(t, 1000*parsedHeadFactor, held)
}
