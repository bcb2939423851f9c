package spokerate

import (
	"math"

	"mulberryspoke.example/mulberryspoke/spokeclock"
)

// Rate is a quantity for each second, by an exponentially fading sum. It is
// used by one goroutine at a time.
type Rate struct {
	// TimeConstant is the time constant with which amounts fade. It must be positive.
	TimeConstant spokeclock.Millis

	sum   float64
	at    spokeclock.Millis
	since spokeclock.Millis
	begun bool
}

// Add counts an amount.
func (r *Rate) Add(amount float64, now spokeclock.Millis) {
	if !r.begun {
		r.begun = true
		r.since = now
	}
	r.sum = r.sum*r.fade(now-r.at) + amount
	r.at = now
}

// PerSecond returns the rate. A young sum is taken for what it would become,
// but not for more than its first second shows.
func (r *Rate) PerSecond(now spokeclock.Millis) float64 {
	age := max(spokeclock.Second, now-r.since)
	grown := 1 - r.fade(age)
	return r.sum * r.fade(now-r.at) * float64(spokeclock.Second) / float64(r.TimeConstant) / grown
}

// fade is the part of an amount that is left after a time.
func (r *Rate) fade(age spokeclock.Millis) float64 {
	return math.Exp(-float64(max(0, age)) / float64(r.TimeConstant))
}
