package spokebackend

import (
	"mulberryspoke.example/mulberryspoke/spokelocality"
	"mulberryspoke.example/mulberryspoke/spokeroute"
)

// DataCentres returns the data centres of the servers of a service, by name, with the
// servers that get new requests and the work that they have yet to do.
func (r *Registry) DataCentres(service string) map[string]spokelocality.DataCentre {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.Clock.Now()
	gaps := r.gapsOf(service)
	byName := make(map[string]spokelocality.DataCentre)
	for _, s := range r.servers {
		if s.instance.Service != service {
			continue
		}
		d := byName[s.instance.DataCentre]
		d.Name = s.instance.DataCentre
		// A server without a free slot is suspended for a moment, but still counts.
		hasFailed := s.failures > 0 && now < s.suspendedUntil
		if !r.isClosed(s, now) && !hasFailed {
			c := r.candidate(s, gaps, now)
			d.Servers += c.Speed()
			d.Queued += spokeroute.QueuedMillis(c)
		}
		byName[d.Name] = d
	}
	return byName
}
