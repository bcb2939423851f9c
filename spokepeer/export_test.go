package spokepeer

import "mulberryspoke.example/mulberryspoke/spokeclock"

// WithoutOutdatedPrefill drops what changes faster than heartbeats at an interval could tell.
func (u InFlightByServer) WithoutOutdatedPrefill(interval spokeclock.Millis) InFlightByServer {
	return u.lasting(interval)
}
