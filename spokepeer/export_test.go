package spokepeer

import "mulberryspoke.example/mulberryspoke/spokeclock"

// WithoutOutdatedPrefill exports withoutOutdatedPrefill.
func (i InFlightByServer) WithoutOutdatedPrefill(interval spokeclock.Millis) InFlightByServer {
	return i.withoutOutdatedPrefill(interval)
}
