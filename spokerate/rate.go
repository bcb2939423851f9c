package spokerate

import (
	"math"

	"mulberryspoke.example/mulberryspoke/spokeclock"
)

// Rate measures a rate per second as an exponentially decaying sum. It is not
// safe for concurrent use.
type Rate struct {
	// TimeConstant is the time in which an amount decays to 1/e. It must be
	// positive.
	TimeConstant spokeclock.Millis

	sum       float64
	updatedAt spokeclock.Millis
	startedAt spokeclock.Millis
	started   bool
}

// Add adds an amount to the rate.
func (r *Rate) Add(amount float64, now spokeclock.Millis) {
	if !r.started {
		r.started = true
		r.startedAt = now
	}
	r.sum = r.sum*r.decay(now-r.updatedAt) + amount
	r.updatedAt = now
}

// PerSecond returns the rate. A sum that has not reached its steady state yet is
// scaled up to it, by an age of at least one second, so that a few early amounts
// do not show as a high rate.
func (r *Rate) PerSecond(now spokeclock.Millis) float64 {
	age := max(spokeclock.Second, now-r.startedAt)
	steadyStateFraction := 1 - r.decay(age)
	return r.sum * r.decay(now-r.updatedAt) * float64(spokeclock.Second) / float64(r.TimeConstant) / steadyStateFraction
}

// decay returns the fraction of an amount that remains after a time.
func (r *Rate) decay(age spokeclock.Millis) float64 {
	return math.Exp(-float64(max(0, age)) / float64(r.TimeConstant))
}
