package spokefleet

import (
	"maps"
	"strings"
	"sync"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokerate"
)

const (
	// workPrefix precedes a service's name in the keys of the counters.
	workPrefix = "work/"
	// workTimeConstant is long enough to smooth out bursts of requests.
	workTimeConstant = 6 * spokeclock.Second
)

// Demand measures the work of each service over all entry instances, as a number
// of busy servers. Set its fields before the first call. It is safe for concurrent
// use.
type Demand struct {
	// Clock is the time source. Nil means the real clock.
	Clock *spokeclock.Clock
	// DataCentre is the data centre of this entry instance.
	DataCentre string
	// DataCentreFunc returns the data centre of a peer, or "" if it isn't known. Nil means
	// that the work isn't measured by data centre.
	DataCentreFunc func(peer string) string

	mutex       sync.Mutex
	localCounts map[string]int64
	rates       map[string]*spokerate.Rate
	peerCounts  map[string]*peerCounts
	// dataCentreRates are the rates of the work of each data centre's instances.
	dataCentreRates map[dataCentreService]*spokerate.Rate
}

// peerCounts are the last counters of one run of a peer.
type peerCounts struct {
	generation int64
	counts     map[string]int64
	heardAt    spokeclock.Millis
}

// AddEngineTime adds the time for which a request that has started is expected
// to keep an engine busy.
func (d *Demand) AddEngineTime(service string, work spokeclock.Millis) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.localCounts == nil {
		d.localCounts = make(map[string]int64)
	}
	d.localCounts[workPrefix+service] += int64(work)
	d.addWork(service, float64(work))
	d.addDataCentreWork(service, d.DataCentre, float64(work))
}

func (d *Demand) addWork(service string, work float64) {
	if d.rates == nil {
		d.rates = make(map[string]*spokerate.Rate)
	}
	if d.rates[service] == nil {
		d.rates[service] = &spokerate.Rate{TimeConstant: workTimeConstant}
	}
	d.rates[service].Add(work, d.Clock.Now())
}

// Counts returns a copy of this entry instance's counters, to send to its peers.
func (d *Demand) Counts() map[string]int64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return maps.Clone(d.localCounts)
}

// MergeCounts adds the changed counters of a run of a peer to the measured work.
// Keys of other counters are ignored.
func (d *Demand) MergeCounts(peer string, generation int64, counts map[string]int64) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.peerCounts == nil {
		d.peerCounts = make(map[string]*peerCounts)
	}
	p := d.peerCounts[peer]
	if p == nil || p.generation != generation {
		p = &peerCounts{generation: generation, counts: make(map[string]int64)}
		d.peerCounts[peer] = p
	}
	p.heardAt = d.Clock.Now()
	dataCentre := d.dataCentreOf(peer)
	for key, count := range counts {
		service, isWork := strings.CutPrefix(key, workPrefix)
		if !isWork {
			continue
		}
		previous, known := p.counts[key]
		p.counts[key] = count
		// The first count of a run is only the basis of the next increase.
		if known && count > previous {
			d.addWork(service, float64(count-previous))
			d.addDataCentreWork(service, dataCentre, float64(count-previous))
		}
	}
}

// BusyServers returns the number of servers that the work of a service keeps
// busy.
func (d *Demand) BusyServers(service string) float64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	rate, known := d.rates[service]
	if !known {
		return 0
	}
	return rate.PerSecond(d.Clock.Now()) / float64(spokeclock.Second)
}
