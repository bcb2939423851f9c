package spokeerror_test

import (
	"encoding/json"
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/stretchr/testify/require"

	"mulberryspoke.example/mulberryspoke/spokeerror"
)

type testKind string

const maxLineBytes = 1100

// TestLongCause guards against log lines as long as the data that a decoder rejects.
func TestLongCause(t *testing.T) {
	var row struct {
		Slots int `json:"slots"`
	}
	cause := json.Unmarshal([]byte(`{"slots":`+strings.Repeat("9", 1<<20)+`}`), &row)
	err := spokeerror.New("read row", testKind("malformed"), spokeerror.New("decode row", testKind("malformed"), cause))
	require.Less(t, len(err.Error()), maxLineBytes)
	require.True(t, strings.HasPrefix(err.Error(), "read row: malformed: decode row: malformed: json: cannot unmarshal number 99"), "%.100s", err)
	require.ErrorIs(t, err, cause)
	umlauts := spokeerror.Newf("read row", testKind("malformed"), "%s", strings.Repeat("ü", 1<<10)+"x")
	require.True(t, utf8.ValidString(umlauts.Error()))
}
