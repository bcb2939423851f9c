package spokebackend

import (
	"cmp"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeforecast"
)

const (
	// gapWeight is the weight of a new token gap in the moving average.
	gapWeight = 0.3
	// maxStallRatio is the ratio to the usual gap up to which a stall counts. A longer
	// one may be due to this process waiting for the processor.
	maxStallRatio = 3
	// burstGap is the time between two tokens below which they were buffered, and
	// burstTimeout the time in which a process reads what is buffered.
	burstGap     = 2 * spokeclock.Millis(1)
	burstTimeout = 10 * spokeclock.Millis(1)
)

// tokenGaps is the time between a server's tokens. A process that has waited for the
// processor, here or at the server, reads or sends several tokens at once; such a burst
// counts as one gap, of its time per token. All gaps but the length of a burst are those at a
// batch of no other request, so that servers with different batches can be compared.
type tokenGaps struct {
	// averageGap is the moving average in milliseconds. It is valid if gapUpdatedAt is
	// not zero.
	averageGap   float64
	gapUpdatedAt spokeclock.Millis
	// countedUntil is when the last token of the last burst arrived.
	countedUntil spokeclock.Millis
	burst        burst
	// averageBefore and gapBefore are the average and the last gap without the burst.
	averageBefore float64
	gapBefore     float64
}

// burst is a token with those that arrived at once with it.
type burst struct {
	attempt *Attempt
	beganAt spokeclock.Millis
	// length is the time from the token before the burst to its last one.
	length spokeclock.Millis
	tokens int
	// batch is the batch of the server at the beginning.
	batch int
}

func (b burst) gap() float64 {
	return float64(b.length) / float64(b.tokens) / spokeforecast.BatchFactor(b.batch)
}

// recordGap updates the moving average with the time since the last token of an attempt.
// Of concurrent answers, only gaps that don't overlap count, as one delay stretches all
// of them. Of two gaps in a row the shorter one counts: a server that has slowed down has
// several long ones.
func (g *tokenGaps) recordGap(a *Attempt, batch int, median float64, now spokeclock.Millis) {
	gap := now - a.lastTokenAt
	switch isBuffered := gap < burstGap; {
	case isBuffered && g.burst.attempt != a:
		return
	case isBuffered && now-g.burst.beganAt < burstTimeout:
		g.burst.tokens++
		g.burst.length += gap
	case a.lastTokenAt < g.countedUntil:
		return
	default:
		g.endBurst(median)
		g.burst = burst{attempt: a, beganAt: now, length: gap, tokens: 1, batch: batch}
	}
	g.countedUntil = now
	counted := min(g.burst.gap(), cmp.Or(g.gapBefore, max(g.averageBefore, median), g.burst.gap()))
	g.updateAverage(counted, now)
}

// recordStall updates the moving average with the time since the last token although no
// token has arrived.
func (g *tokenGaps) recordStall(silence spokeclock.Millis, batch int, median float64, now spokeclock.Millis) {
	g.endBurst(median)
	g.gapBefore = float64(silence) / spokeforecast.BatchFactor(batch)
	counted := g.gapBefore
	if usual := max(g.averageBefore, median); usual > 0 {
		counted = min(counted, maxStallRatio*usual)
	}
	g.updateAverage(counted, now)
}

// endBurst makes the average and the gap of the burst final. Before the first gap, the
// average is the median of the server's service, which is zero if it is not known.
func (g *tokenGaps) endBurst(median float64) {
	g.averageBefore = g.averageGap
	if g.gapUpdatedAt == 0 {
		g.averageBefore = median
	}
	if g.burst.attempt != nil {
		g.gapBefore = g.burst.gap()
	}
	g.burst = burst{}
}

func (g *tokenGaps) updateAverage(gap float64, now spokeclock.Millis) {
	g.averageGap = (1-gapWeight)*cmp.Or(g.averageBefore, gap) + gapWeight*gap
	g.gapUpdatedAt = now
}
