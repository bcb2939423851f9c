package spokelog

import (
	"fmt"
	"io"
	"sync"

	"github.com/rs/zerolog/diode"

	"mulberryspoke.example/mulberryspoke/spokeclock"
)

// ringLines is how many lines wait for a slow reader before new ones push old
// ones out.
const ringLines = 2000

// RateLimitedWriter is a writer that never blocks and passes on a bounded number of lines
// a second. What it drops it counts, in a line of its own once a second.
type RateLimitedWriter struct {
	// LinesPerSecond is the largest number of lines a second.
	LinesPerSecond int
	// Clock tells the time. Nil means the real one.
	Clock *spokeclock.Clock
	// Out takes the lines. It must not be nil.
	Out io.Writer

	mutex   sync.Mutex
	second  spokeclock.Millis
	written int
	dropped int
}

// NewRingWriter returns a writer that hands lines to w from a goroutine of its own, so
// that a slow reader blocks nobody. Lines that find no room are counted in w.
func NewRingWriter(w io.Writer) io.WriteCloser {
	return diode.NewWriter(w, ringLines, 0, func(missed int) {
		_, _ = fmt.Fprintf(w, "{\"level\":\"warn\",\"part\":\"log\",\"dropped\":%d,\"message\":\"Lines dropped, the reader is slow.\"}\n", missed)
	})
}

// Write passes a line on, or counts it as dropped. It never fails.
func (b *RateLimitedWriter) Write(line []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if now := b.Clock.Now(); now-b.second >= spokeclock.Second {
		b.second = now
		b.written = 0
		b.tell()
	}
	if b.written >= b.LinesPerSecond {
		b.dropped++
		return len(line), nil
	}
	b.written++
	_, _ = b.Out.Write(line)
	return len(line), nil
}

// tell writes how many lines were dropped in the last second.
func (b *RateLimitedWriter) tell() {
	if b.dropped == 0 {
		return
	}
	_, _ = fmt.Fprintf(b.Out, "{\"level\":\"warn\",\"part\":\"log\",\"dropped\":%d,\"per_second\":%d,\"message\":\"Lines dropped, over the bound.\"}\n", b.dropped, b.LinesPerSecond)
	b.dropped = 0
}
