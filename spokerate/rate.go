package spokerate

import (
	"math"

	"mulberryspoke.example/mulberryspoke/spokeclock"
)

// Rate is a quantity for each second, by an exponentially fading sum. It is
// used by one goroutine at a time.
type Rate struct {
	// Memory is the time constant with which amounts fade. It must be positive.
	Memory spokeclock.Millis

	sum float64
	at  spokeclock.Millis
}

// Add counts an amount.
func (r *Rate) Add(amount float64, now spokeclock.Millis) {
	r.sum = r.sum*r.fade(now) + amount
	r.at = now
}

// PerSecond returns the rate.
func (r *Rate) PerSecond(now spokeclock.Millis) float64 {
	return r.sum * r.fade(now) * float64(spokeclock.Second) / float64(r.Memory)
}

func (r *Rate) fade(now spokeclock.Millis) float64 {
	return math.Exp(-float64(max(0, now-r.at)) / float64(r.Memory))
}
