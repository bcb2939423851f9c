package spokepeer

import "mulberryspoke.example/mulberryspoke/spokeclock"

// WithoutOutdatedPrefill exports withoutOutdatedPrefill.
func (i InFlightByServer) WithoutOutdatedPrefill(interval spokeclock.Millis) InFlightByServer {
	return i.withoutOutdatedPrefill(interval)
}

// Bounded exports bounded.
func (h Heartbeat) Bounded() Heartbeat { return h.bounded() }

// Bounded exports bounded.
func (h Hello) Bounded() (Hello, bool) { return h.bounded() }
