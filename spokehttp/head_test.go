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
	head.begin()
	for _, part := range parts {
		if head.scan([]byte(part)) != nil {
			return true
		}
	}
	return false
}
