package spokepeer

import "mulberryspoke.example/mulberryspoke/spokeclock"

// Lasting drops what changes faster than heartbeats at an interval could tell.
func (u Uses) Lasting(interval spokeclock.Millis) Uses { return u.lasting(interval) }
