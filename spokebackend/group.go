package spokebackend

import (
	"maps"
	"math"

	"mulberryspoke.example/mulberryspoke/spokeclock"
)

// Group names the servers of one service in one data centre as "service/data
// centre".
type Group string

func groupOf(service, dataCentre string) Group { return Group(service + "/" + dataCentre) }

// groupTimeout is the age above which the requests in flight of another data centre
// are no longer known.
const groupTimeout = 5 * spokeclock.Second

// dataCentreInFlight is the last report of another data centre.
type dataCentreInFlight struct {
	byGroup    map[Group]int
	receivedAt spokeclock.Millis
}

// InFlightByGroup returns the requests in flight of this process and its peers at
// each group of servers.
func (r *Registry) InFlightByGroup() map[Group]int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	byGroup := make(map[Group]int)
	for name, s := range r.servers {
		if inFlight := s.inFlight + r.peerTotals[IDOf(name)].Requests; inFlight > 0 {
			byGroup[groupOf(s.instance.Service, s.instance.DataCentre)] += inFlight
		}
	}
	return byGroup
}

// SetDataCentreInFlight replaces the requests in flight of the instances of another
// data centre, which are not peers of this process.
func (r *Registry) SetDataCentreInFlight(dataCentre string, byGroup map[Group]int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.initialise()
	r.dataCentreInFlight[dataCentre] = dataCentreInFlight{byGroup: maps.Clone(byGroup), receivedAt: r.Clock.Now()}
}

// remoteInFlight returns, for the servers of a service in each data centre, the
// average number of requests that instances of other data centres have in flight at
// one of them. Which server each is at, they don't tell.
func (r *Registry) remoteInFlight(service string, now spokeclock.Millis) map[string]int {
	if len(r.dataCentreInFlight) == 0 {
		return nil
	}
	servers := make(map[string]int)
	for _, s := range r.servers {
		if s.instance.Service == service && !r.isDraining(s) {
			servers[s.instance.DataCentre]++
		}
	}
	averages := make(map[string]int, len(servers))
	for dataCentre, count := range servers {
		group, total := groupOf(service, dataCentre), 0
		for _, report := range r.dataCentreInFlight {
			if now-report.receivedAt <= groupTimeout {
				total += report.byGroup[group]
			}
		}
		averages[dataCentre] = int(math.Round(float64(total) / float64(count)))
	}
	return averages
}
