package spokelog

import (
	"fmt"
	"io"
	"sync"

	"github.com/rs/zerolog/diode"

	"mulberryspoke.example/mulberryspoke/spokeclock"
)

// ringCapacity is the number of lines that wait for a slow reader before new
// lines overwrite old ones.
const ringCapacity = 2000

// RateLimitedWriter is a writer that writes at most LinesPerSecond lines per
// second to Out and drops the others. Once a second, it reports the number of
// dropped lines in a line of its own.
type RateLimitedWriter struct {
	// LinesPerSecond is the largest number of lines per second.
	LinesPerSecond int
	// Clock is the time source. Nil means the system clock.
	Clock *spokeclock.Clock
	// Out receives the lines. It must not be nil.
	Out io.Writer

	mutex        sync.Mutex
	windowStart  spokeclock.Millis
	linesWritten int
	linesDropped int
}

// NewRingWriter returns a writer that buffers lines and writes them to w from a
// goroutine of its own, so that a slow reader blocks no caller. The number of
// lines that were overwritten in the buffer is reported in w.
func NewRingWriter(w io.Writer) io.WriteCloser {
	return diode.NewWriter(w, ringCapacity, 0, func(dropped int) {
		_, _ = fmt.Fprintf(w, "{\"level\":\"warn\",\"part\":\"log\",\"dropped\":%d,\"message\":\"Lines dropped because the reader is slow.\"}\n", dropped)
	})
}

// Write writes a line to Out or drops it. It always returns the length of the
// line and no error.
func (w *RateLimitedWriter) Write(line []byte) (int, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if now := w.Clock.Now(); now-w.windowStart >= spokeclock.Second {
		w.windowStart = now
		w.linesWritten = 0
		w.reportDropped()
	}
	if w.linesWritten >= w.LinesPerSecond {
		w.linesDropped++
		return len(line), nil
	}
	w.linesWritten++
	_, _ = w.Out.Write(line)
	return len(line), nil
}

// reportDropped writes the number of lines dropped since the last report.
func (w *RateLimitedWriter) reportDropped() {
	if w.linesDropped == 0 {
		return
	}
	_, _ = fmt.Fprintf(w.Out, "{\"level\":\"warn\",\"part\":\"log\",\"dropped\":%d,\"per_second\":%d,\"message\":\"Lines dropped over the limit per second.\"}\n", w.linesDropped, w.LinesPerSecond)
	w.linesDropped = 0
}
