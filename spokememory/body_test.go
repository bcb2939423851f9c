package spokememory

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/stretchr/testify/require"

	"mulberryspoke.example/mulberryspoke/spokecase"
	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeerror"
)

// errBroken is the end of a body that a test breaks off.
var errBroken = errors.New("broken")

type bodyCase struct {
	Name string `yaml:"name"`
	// Announced is the announced length, and Sent the bytes that arrive.
	Announced int64 `yaml:"announced"`
	Sent      int   `yaml:"sent"`
	Limit     int64 `yaml:"limit"`
	Budget    int64 `yaml:"budget"`
	// Reader is how the bytes arrive: at once, "byte" by byte, with the "end" in the same
	// read, or "broken" off at the end.
	Reader string `yaml:"reader"`
	Want   Kind   `yaml:"want"`
	// MaxHeld bounds what is held before the release.
	MaxHeld int64 `yaml:"max_held"`
}

// TestReadBody guards against a body that is changed on its way into segments, against
// bytes that are held for what has been announced only, and against a reservation that is
// not released.
func TestReadBody(t *testing.T) {
	for _, c := range spokecase.Read[[]bodyCase](t, "testdata/bodies.yaml") {
		t.Run(c.Name, c.run)
	}
}

func (c bodyCase) run(t *testing.T) {
	data := make([]byte, c.Sent)
	for i := range data {
		data[i] = byte(i % 251)
	}
	budget := &Budget{Limit: c.Budget}
	r := budget.Open("w", c.Announced)
	body, err := r.ReadBody(c.reader(data), c.Limit, http.NewResponseController(httptest.NewRecorder()))
	require.Equal(t, c.Want, spokeerror.KindOf[Kind](err))
	require.LessOrEqual(t, budget.Held(), c.MaxHeld)
	if c.Want == "" {
		c.checkBody(t, data, body)
	}
	r.Release()
	require.Zero(t, budget.Held())
	require.Empty(t, budget.reading)
}

func (c bodyCase) checkBody(t *testing.T, data []byte, body Body) {
	require.Equal(t, int64(len(data)), body.Len())
	for range 2 {
		text, err := io.ReadAll(body.Reader())
		require.NoError(t, err)
		require.True(t, bytes.Equal(data, text), "the reader has the body each time")
	}
	require.True(t, bytes.Equal(data, body.Bytes()))
	var written strings.Builder
	_, err := body.WriteTo(&written)
	require.NoError(t, err)
	require.Equal(t, string(data), written.String())
}

func (c bodyCase) reader(data []byte) io.Reader {
	reader := io.Reader(bytes.NewReader(data))
	switch c.Reader {
	case "byte":
		return iotest.OneByteReader(reader)
	case "end":
		return iotest.DataErrReader(reader)
	case "broken":
		return io.MultiReader(reader, iotest.ErrReader(errBroken))
	default:
		return reader
	}
}

// TestSilentBody guards against a body without a first byte that keeps its place for good.
func TestSilentBody(t *testing.T) {
	manual := &spokeclock.Manual{}
	manual.Advance(1)
	budget := &Budget{Limit: 1 << 20, Clock: manual.Clock()}
	source, writer := io.Pipe()
	r := budget.Open("w", 1000)
	result := make(chan error, 1)
	go func() {
		_, err := r.ReadBody(source, 1<<20, http.NewResponseController(httptest.NewRecorder()))
		result <- err
	}()
	isReading := func() bool {
		budget.mutex.Lock()
		defer budget.mutex.Unlock()
		return len(budget.reading) == 1 && budget.held > 0
	}
	require.Eventually(t, isReading, 10*time.Second, time.Millisecond)
	manual.Advance(slowGrace)
	budget.EvictSlow()
	require.Zero(t, budget.Held())
	// The recorder has no read deadline, which ends the read of a connection.
	_ = writer.CloseWithError(errBroken)
	require.Equal(t, KindEvicted, spokeerror.KindOf[Kind](<-result))
}

// TestCopies guards against a small body that can't use the reserve as its copies are
// charged, too.
func TestCopies(t *testing.T) {
	budget := &Budget{Limit: 1 << 20}
	require.NoError(t, budget.Open("", 1<<20).Grow(700<<10))
	small := budget.Open("w", 50<<10)
	small.SetCopies(3)
	require.NoError(t, small.Grow(50<<10))
	require.NoError(t, small.Grow(3*50<<10))
}
