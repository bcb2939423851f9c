package spokescarcity

import "mulberryspoke.example/mulberryspoke/spokeclock"

const (
	// evidenceTime is the age up to which evidence counts.
	evidenceTime = 2 * spokeclock.Second
	// recentTime is the time over which shares are taken if there is enough evidence in it.
	recentTime   = spokeclock.Second
	bucketLength = 100 * spokeclock.Millis(1)
	bucketCount  = int(evidenceTime / bucketLength)
	// recentBuckets is the number of buckets of recentTime.
	recentBuckets = int(recentTime / bucketLength)
)

// counts is what happened in some time.
type counts struct {
	// inTime and late are first events, late including those that are overdue, and full
	// attempts that full servers have refused.
	inTime, late, full int
	// choices are choices of servers, and over those whose forecast was past the target.
	choices, over int
	// excess is the sum of the times by which forecasts were past the target, in milliseconds.
	excess float64
}

func (c *counts) add(other counts) {
	c.inTime += other.inTime
	c.late += other.late
	c.full += other.full
	c.choices += other.choices
	c.over += other.over
	c.excess += other.excess
}

func (c *counts) firstEvents() int { return c.inTime + c.late + c.full }

func (c *counts) lateShare() float64 {
	return float64(c.late+c.full) / float64(max(1, c.firstEvents()))
}

func (c *counts) overShare() float64 { return float64(c.over) / float64(max(1, c.choices)) }

func (c *counts) meanExcess() float64 { return c.excess / float64(max(1, c.choices)) }

// evidence has the counts of the last evidenceTime. The zero value is ready for use.
type evidence struct {
	buckets [bucketCount]counts
	// slot is the number of the present bucket since the clock's start.
	slot spokeclock.Millis
}

// advance moves on to the bucket of the present time and reports whether it is another one.
func (e *evidence) advance(now spokeclock.Millis) bool {
	slot := now / bucketLength
	if slot == e.slot {
		return false
	}
	for n := max(e.slot+1, slot-spokeclock.Millis(bucketCount)+1); n <= slot; n++ {
		e.buckets[int(n)%bucketCount] = counts{}
	}
	e.slot = slot
	return true
}

// present returns the bucket of the present time.
func (e *evidence) present() *counts { return &e.buckets[int(e.slot)%bucketCount] }

// sum returns the counts of a number of buckets, of which the newest has the given age in
// buckets.
func (e *evidence) sum(age, number int) counts {
	var total counts
	for n := range number {
		if at := int(e.slot) - age - n; at >= 0 {
			total.add(e.buckets[at%bucketCount])
		}
	}
	return total
}
