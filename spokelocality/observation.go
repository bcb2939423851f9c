package spokelocality

import (
	"math"

	"mulberryspoke.example/mulberryspoke/spokeclock"
)

// DataCentre is what an instance knows of a data centre with servers or with instances.
type DataCentre struct {
	// Name is the name of the data centre.
	Name string
	// Servers is the number of its servers that get new requests, each counted by its speed
	// and its traffic share, so that a server of usual speed counts as 1.
	Servers float64
	// Queued is the time, in milliseconds, that its servers together need for the prompts
	// that they have yet to process.
	Queued float64
	// Busy is the number of servers of usual speed that the requests of its entry instances
	// keep busy, wherever these are served.
	Busy float64
	// Instances is the number of its entry instances.
	Instances int
	// Age is the median age of what these have told of Busy.
	Age spokeclock.Millis
	// IsUnreachable is true if its servers cannot be reached.
	IsUnreachable bool
}

// Observation is what an instance knows of the servers of one service.
type Observation struct {
	// DataCentres has one entry for each data centre, in any order.
	DataCentres []DataCentre
	// CacheTokens is the size of a server's cache in tokens. Zero means unknown.
	CacheTokens int
}

const (
	// drainTime is the time, in milliseconds, in which queued work should be done. It is
	// twice the age of reports, so that servers which get less because of their queue don't
	// run idle before that is known.
	drainTime = 4000.0
	// fullLoad is the load from which the expected wait grows by what can't be done in time
	// and not by chance.
	fullLoad = 0.95
)

// wait returns the expected wait for a server, in milliseconds, by the load, which is the
// part of the time in which servers are busy, and by the time that a request takes. A
// request goes to the better of two servers, so that it waits only if both are busy: of the
// servers that are compared, reports of 1 to 2 s ago tell apart little more.
func wait(load, requestMillis float64) float64 {
	atChance := min(load, fullLoad)
	return requestMillis*atChance*atChance/(1-atChance) + max(0, load-fullLoad)*drainTime
}

// isKnown reports whether there is something to decide: there are servers, and at least two
// data centres, all of them with a name.
func (o Observation) isKnown(own string) bool {
	if own == "" || len(o.DataCentres) < 2 {
		return false
	}
	servers := 0.0
	for _, d := range o.DataCentres {
		if d.Name == "" {
			return false
		}
		servers += d.Servers
	}
	return servers > 0
}

// wait returns the expected wait in the data centre, in milliseconds, if it serves the
// requests of its own instances. It is infinite without servers.
func (d DataCentre) wait(requestMillis float64) float64 {
	if d.Servers <= 0 {
		return math.Inf(1)
	}
	return wait((d.Busy+d.Queued/drainTime)/d.Servers, requestMillis)
}
