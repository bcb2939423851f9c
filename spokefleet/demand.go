package spokefleet

import (
	"maps"
	"strings"
	"sync"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokerate"
)

const (
	workPrefix = "work/"
	// workMemory smooths the clumps in which callers come.
	workMemory = 6 * spokeclock.Second
)

// Demand measures the work that each service gets, over all entry instances,
// in servers kept busy. Set its fields before the first call. It is safe for
// concurrent use.
type Demand struct {
	// Clock tells the time. Nil means the real one.
	Clock *spokeclock.Clock

	mutex sync.Mutex
	own   map[string]int64
	rates map[string]*spokerate.Rate
	heard map[string]map[string]int64
}

// AddEngineTime counts work of a request that has begun.
func (d *Demand) AddEngineTime(service string, work spokeclock.Millis) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.own == nil {
		d.own = make(map[string]int64)
	}
	d.own[workPrefix+service] += int64(work)
	d.add(service, float64(work))
}

func (d *Demand) add(service string, work float64) {
	if d.rates == nil {
		d.rates = make(map[string]*spokerate.Rate)
	}
	if d.rates[service] == nil {
		d.rates[service] = &spokerate.Rate{TimeConstant: workMemory}
	}
	d.rates[service].Add(work, d.Clock.Now())
}

// Counts returns this instance's counters, for its peers.
func (d *Demand) Counts() map[string]int64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return maps.Clone(d.own)
}

// MergeCounts takes in the counters of one run of a peer that have changed. Keys
// of other counters are passed over.
func (d *Demand) MergeCounts(peer string, _ int64, counts map[string]int64) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.heard == nil {
		d.heard = make(map[string]map[string]int64)
	}
	if d.heard[peer] == nil {
		d.heard[peer] = make(map[string]int64)
	}
	for key, count := range counts {
		service, work := strings.CutPrefix(key, workPrefix)
		if !work {
			continue
		}
		before, known := d.heard[peer][key]
		d.heard[peer][key] = count
		// A count below the last one is that of another run.
		if known && count > before {
			d.add(service, float64(count-before))
		}
	}
}

// BusyServers returns how many servers a service's work keeps busy.
func (d *Demand) BusyServers(service string) float64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	rate, known := d.rates[service]
	if !known {
		return 0
	}
	return rate.PerSecond(d.Clock.Now()) / float64(spokeclock.Second)
}
