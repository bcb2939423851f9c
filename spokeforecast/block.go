package spokeforecast

import "mulberryspoke.example/mulberryspoke/spokeclock"

const (
	// blockGaps is the least number of gaps between events that make one observation.
	blockGaps = 8
	// bufferedGap is the gap below which an event was buffered and read at once with the one
	// before.
	bufferedGap = 2 * spokeclock.Millis(1)
)

// Blocks divides the gaps between the events of one answer into observations. The zero value
// is ready for use.
type Blocks struct {
	current block
	// previous is recorded only after the current one is complete, so that a server that
	// slows down is compared with what was usual before.
	previous block
	// skipsGap and skipsBuffered are whether the next gap, and the buffered ones up to the
	// first that is not, don't count.
	skipsGap, skipsBuffered bool
}

// block is a series of gaps. Its sum is that of the gaps in milliseconds, each divided by the
// factor of its batch.
type block struct {
	sum  float64
	gaps int
}

func (b block) recordAt(s *Server, now spokeclock.Millis) {
	if b.gaps > 0 {
		s.RecordGap(b.sum/float64(b.gaps), float64(b.gaps)/blockGaps, now)
	}
}

// Skip drops the current block, as the caller has not read for a while. The gap in which that
// was, the events that were buffered meanwhile, and the gap after them don't count either.
func (b *Blocks) Skip() {
	b.current = block{}
	b.skipsGap, b.skipsBuffered = true, true
}

// Add adds a gap with the batch at its end. An observation ends before an event that was not
// buffered, so that it has all events of its time.
func (b *Blocks) Add(s *Server, gap spokeclock.Millis, batch int, now spokeclock.Millis) {
	isBuffered := gap < bufferedGap
	if b.skipsGap || b.skipsBuffered {
		b.skipsBuffered = b.skipsGap || isBuffered
		b.skipsGap = false
		return
	}
	if b.current.gaps >= blockGaps && !isBuffered {
		b.previous.recordAt(s, now)
		b.previous, b.current = b.current, block{}
	}
	b.current.sum += float64(gap) / BatchFactor(batch)
	b.current.gaps++
}

// End records what is left at the end of the answer.
func (b *Blocks) End(s *Server, now spokeclock.Millis) {
	b.previous.recordAt(s, now)
	b.current.recordAt(s, now)
	*b = Blocks{}
}
