package spokerollout

import (
	"slices"

	"mulberryspoke.example/mulberryspoke/spokeclock"
)

const (
	// referenceSize bounds the answers of a route that are remembered: about ten seconds
	// of an instance with few requests.
	referenceSize = 64
	// referenceAge is the age up to which old answers are compared with. Older ones are
	// used if there are too few, as in the last stage, when old servers get nothing.
	referenceAge = 10 * spokeclock.Second
	// minReference is the number of answers from which their median is used.
	minReference = 5
	// slowFactor is how many times the median of the old version a slow answer takes. It
	// is above what a cold prefix cache costs, about a factor of two.
	slowFactor = 3
	// slowFloor in milliseconds is added, as short times vary by more than a factor.
	slowFloor = 5.0
)

// reference has the last measurements of a route, by version.
type reference struct {
	entries []measurement
	next    int
}

type measurement struct {
	version string
	value   float64
	at      spokeclock.Millis
}

func (r *reference) add(m measurement) {
	if len(r.entries) < referenceSize {
		r.entries = append(r.entries, m)
		return
	}
	r.entries[r.next] = m
	r.next = (r.next + 1) % referenceSize
}

// slowLimit returns the value in milliseconds above which an answer is slow, and false if
// there are too few answers of other versions than the ordered one.
func (r *reference) slowLimit(to string, now spokeclock.Millis) (float64, bool) {
	values := r.values(to, now-referenceAge)
	if len(values) < minReference {
		values = r.values(to, 0)
	}
	if len(values) < minReference {
		return 0, false
	}
	slices.Sort(values)
	return slowFactor*values[len(values)/2] + slowFloor, true
}

func (r *reference) values(to string, since spokeclock.Millis) []float64 {
	values := make([]float64, 0, len(r.entries))
	for _, m := range r.entries {
		if m.version != to && m.at >= since {
			values = append(values, m.value)
		}
	}
	return values
}

// longest returns the greatest value of another version than the ordered one, or zero.
func (r *reference) longest(to string) float64 {
	values := r.values(to, 0)
	if len(values) == 0 {
		return 0
	}
	return slices.Max(values)
}
