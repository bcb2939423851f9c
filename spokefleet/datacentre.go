package spokefleet

import (
	"slices"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokerate"
)

const (
	// dataCentreTimeConstant is short enough to follow a burst, and long enough to smooth
	// out the heartbeats in which peers' counters arrive.
	dataCentreTimeConstant = 1500 * spokeclock.Millis(1)
	// peerTimeout is the age of its counters from which a peer is taken to have ended,
	// unless all peers of its data centre are silent.
	peerTimeout = 5 * spokeclock.Second
)

type dataCentreService struct{ dataCentre, service string }

// DataCentreDemand is the work of the requests that the entry instances of a data centre
// have received.
type DataCentreDemand struct {
	busyServers float64
	instances   int
	age         spokeclock.Millis
}

// BusyServers returns the number of servers that the work keeps busy.
func (d DataCentreDemand) BusyServers() float64 { return d.busyServers }

// Instances returns the number of entry instances that were heard of, including this one.
func (d DataCentreDemand) Instances() int { return d.instances }

// Age returns the median age of the counters of the peers in the data centre.
func (d DataCentreDemand) Age() spokeclock.Millis { return d.age }

func (d *Demand) dataCentreOf(peer string) string {
	if d.DataCentreFunc == nil {
		return ""
	}
	return d.DataCentreFunc(peer)
}

func (d *Demand) addDataCentreWork(service, dataCentre string, work float64) {
	if d.DataCentreFunc == nil || dataCentre == "" {
		return
	}
	if d.dataCentreRates == nil {
		d.dataCentreRates = make(map[dataCentreService]*spokerate.Rate)
	}
	key := dataCentreService{dataCentre: dataCentre, service: service}
	if d.dataCentreRates[key] == nil {
		d.dataCentreRates[key] = &spokerate.Rate{TimeConstant: dataCentreTimeConstant}
	}
	d.dataCentreRates[key].Add(work, d.Clock.Now())
}

// ByDataCentre returns the work of a service by the data centre of the entry instances that
// received the requests. It is nil if it isn't measured.
func (d *Demand) ByDataCentre(service string) map[string]DataCentreDemand {
	if d.DataCentreFunc == nil {
		return nil
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.Clock.Now()
	ages := map[string][]spokeclock.Millis{d.DataCentre: nil}
	for peer, counts := range d.peerCounts {
		if dataCentre := d.dataCentreOf(peer); dataCentre != "" {
			ages[dataCentre] = append(ages[dataCentre], now-counts.heardAt)
		}
	}
	demands := make(map[string]DataCentreDemand, len(ages))
	for dataCentre, peerAges := range ages {
		demand := DataCentreDemand{}
		if rate := d.dataCentreRates[dataCentreService{dataCentre: dataCentre, service: service}]; rate != nil {
			demand.busyServers = rate.PerSecond(now) / float64(spokeclock.Second)
		}
		demand.instances, demand.age = heardInstances(peerAges)
		if dataCentre == d.DataCentre {
			demand.instances++
		}
		demands[dataCentre] = demand
	}
	return demands
}

// heardInstances returns the number of peers that are not taken to have ended, and the
// median age of their counters.
func heardInstances(ages []spokeclock.Millis) (int, spokeclock.Millis) {
	if len(ages) == 0 {
		return 0, 0
	}
	slices.Sort(ages)
	if silentFrom := slices.IndexFunc(ages, func(age spokeclock.Millis) bool { return age > peerTimeout }); silentFrom > 0 {
		ages = ages[:silentFrom]
	}
	return len(ages), ages[len(ages)/2]
}
