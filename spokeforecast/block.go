package spokeforecast

import "mulberryspoke.example/mulberryspoke/spokeclock"

// blockGaps is the number of gaps between events that make one observation. The mean of so
// many evens out events that were buffered and read at once.
const blockGaps = 8

// Blocks divides the gaps between the events of one answer into observations. The zero value
// is ready for use.
type Blocks struct {
	current block
	// previous is recorded only after the current one is complete, so that a server that
	// slows down is compared with what was usual before.
	previous block
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

// Add adds a gap with the batch at its end.
func (b *Blocks) Add(s *Server, gap spokeclock.Millis, batch int, now spokeclock.Millis) {
	b.current.sum += float64(gap) / BatchFactor(batch)
	b.current.gaps++
	if b.current.gaps == blockGaps {
		b.previous.recordAt(s, now)
		b.previous, b.current = b.current, block{}
	}
}

// End records what is left at the end of the answer.
func (b *Blocks) End(s *Server, now spokeclock.Millis) {
	b.previous.recordAt(s, now)
	b.current.recordAt(s, now)
	*b = Blocks{}
}
