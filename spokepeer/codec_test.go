package spokepeer

import (
	"bufio"
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"github.com/stretchr/testify/require"

	"mulberryspoke.example/mulberryspoke/spokehttp"
	"mulberryspoke.example/mulberryspoke/spokememory"
)

// TestMessageCharge guards against messages that are bounded each, but not all together, and
// against a charge for bytes that were announced and don't arrive.
func TestMessageCharge(t *testing.T) {
	guard := &spokememory.Guard{OwnBudget: &spokememory.Budget{Limit: 1 << 20}}
	codec := boundedCodec{openFunc: guard.OpenOwn}
	read := func(source io.Reader) (string, error) {
		var text string
		err := codec.ReadObject(bufio.NewReader(source), &text)
		return text, err
	}
	encode := func(length int) *bytes.Buffer {
		var message bytes.Buffer
		require.NoError(t, jsonrpc2.VarintObjectCodec{}.WriteObject(&message, strings.Repeat("a", length)))
		return &message
	}
	text, err := read(encode(500 << 10))
	require.NoError(t, err)
	require.Len(t, text, 500<<10)
	require.Zero(t, guard.OwnBudget.Held(), "after a message")

	silent, silentWriter := io.Pipe()
	silentEnd := make(chan error, 1)
	go func() {
		_, err := read(silent)
		silentEnd <- err
	}()
	large := encode(700 << 10).Bytes()
	_, err = silentWriter.Write(large[:600<<10])
	require.NoError(t, err)
	require.Eventually(t, func() bool { return guard.OwnBudget.Held() >= 600<<10 }, 5*time.Second, time.Millisecond)
	require.Less(t, guard.OwnBudget.Held(), int64(len(large)), "bytes that have not arrived")
	_, err = read(encode(500 << 10))
	require.ErrorIs(t, err, spokehttp.ErrNotHeld, "a message beside it")
	_, err = read(encode(freeMessageBytes / 2))
	require.NoError(t, err, "a short message beside it")
	require.NoError(t, silentWriter.Close())
	require.Error(t, <-silentEnd)
	require.Zero(t, guard.OwnBudget.Held())
	_, err = read(bytes.NewReader(nil))
	require.ErrorIs(t, err, io.EOF)
}
