package spokefleet

import (
	"context"
	"maps"
	"slices"

	"github.com/rs/zerolog"

	"mulberryspoke.example/mulberryspoke/spokebackend"
	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeconfig"
	"mulberryspoke.example/mulberryspoke/spokelease"
)

// Kind is the kind of an error of this package.
type Kind string

// KindNoCapacity says that the platform has no instance of that kind there.
const KindNoCapacity Kind = "none_to_be_had"

const (
	// assumedBusy is how busy the instances are taken to be that run before any
	// work has been measured.
	assumedBusy = 0.5
	// repeatAfter is the time from which an order is given again that has
	// brought nothing; it begins once the instances should have booted.
	repeatAfter = 2 * spokeclock.Second
	// dryFor is the time after which something is asked for again that was not
	// to be had.
	dryFor = 1500 * spokeclock.Millis(1)
	// dryMemory is how long a data centre counts as dry after that.
	dryMemory = 2 * dryFor
	// keepFor is how long what was needed is kept, so that a wave of demand does
	// not order and give back.
	keepFor = 25 * spokeclock.Second
	// keepOnDemandFor is the same for instances on demand, which cost more.
	keepOnDemandFor = 4 * spokeclock.Second
	// measureFor is the time from the first work until its rate is believed.
	measureFor = 6 * spokeclock.Second
)

// InstanceOrder asks for a number of instances of one kind in one data centre.
type InstanceOrder struct {
	// Service is what they serve.
	Service string
	// DataCentre is where.
	DataCentre string
	// Reclaimable asks for the cheaper kind.
	Reclaimable bool
}

// Autoscaler keeps the instances of services whose numbers the platform takes by
// order, while it holds the lease. Set its fields before Run.
type Autoscaler struct {
	// Lease is the right to order.
	Lease *spokelease.Lease
	// Registry knows the instances.
	Registry *spokebackend.Registry
	// Store holds the configuration.
	Store *spokeconfig.Store
	// Demand knows the work.
	Demand *Demand
	// OrderFunc gives an order under a fencing number. Its error is of kind
	// KindNoneToBeHad when there are none.
	OrderFunc func(ctx context.Context, fence spokelease.FencingNumber, order InstanceOrder, count int) error
	// Clock tells the time. Nil means the real one.
	Clock *spokeclock.Clock
	// Log takes the log lines.
	Log zerolog.Logger

	fence    spokelease.FencingNumber
	given    map[InstanceOrder]given
	needed   map[InstanceOrder]given
	initial  map[string]int
	firstAt  map[string]spokeclock.Millis
	highest  map[string]float64
	lowersAt map[string]spokeclock.Millis
}

// given is the last order of its kind.
type given struct {
	count int
	at    spokeclock.Millis
	// dry says that it was refused or not answered.
	dry bool
}

// Run orders at an interval until ctx ends.
func (o *Autoscaler) Run(ctx context.Context) {
	spokeclock.Every(ctx, defaultInterval, func() { o.tick(ctx) })
}

func (o *Autoscaler) tick(ctx context.Context) {
	snapshot := o.Store.Current()
	if snapshot == nil {
		return
	}
	o.fill()
	declaration := snapshot.Declaration()
	for i := range declaration.Services {
		service := &declaration.Services[i]
		if service.Scaling == nil {
			continue
		}
		places, censuses := o.census(service)
		work := o.work(service.Name, censuses)
		fence, held := o.Lease.Held()
		if !held || len(places) == 0 {
			continue
		}
		if fence != o.fence {
			o.fence = fence
			o.given = make(map[InstanceOrder]given)
		}
		o.markDry(service.Name, places, censuses)
		bounds := InstanceBounds{Min: service.Scaling.Least, Max: service.Scaling.Most}
		targets := ComputeTargets(work, censuses, bounds, service.Scaling.ReclaimablePrice > 0)
		o.keepInitial(service.Name, censuses, targets)
		o.keepOnDemand(service.Name, places, targets)
		for j, place := range places {
			o.order(ctx, service, place, true, targets[j].Reclaimable, censuses[j].Reclaimable)
			o.order(ctx, service, place, false, targets[j].OnDemand, censuses[j].OnDemand)
		}
	}
}

// markDry notes where no reclaimable instances were to be had lately.
func (o *Autoscaler) markDry(service string, places []string, censuses []CurrentInstances) {
	for i, place := range places {
		last, asked := o.given[InstanceOrder{Service: service, DataCentre: place, Reclaimable: true}]
		censuses[i].ReclaimableUnavailable = asked && last.dry && o.Clock.Now()-last.at < dryMemory
	}
}

func (o *Autoscaler) fill() {
	if o.given == nil {
		o.given = make(map[InstanceOrder]given)
		o.needed = make(map[InstanceOrder]given)
		o.initial = make(map[string]int)
		o.firstAt = make(map[string]spokeclock.Millis)
		o.highest = make(map[string]float64)
		o.lowersAt = make(map[string]spokeclock.Millis)
	}
}

// census counts the instances that take work, by data centre. Only data centres
// with a price can be ordered in.
func (o *Autoscaler) census(service *spokeconfig.Service) ([]string, []CurrentInstances) {
	places := slices.Sorted(maps.Keys(service.Scaling.Prices))
	censuses := make([]CurrentInstances, len(places))
	for _, line := range o.Registry.Servers() {
		instance := line.Instance()
		at, found := slices.BinarySearch(places, instance.DataCentre)
		if instance.Service != service.Name || !found || line.Candidate().Draining {
			continue
		}
		if instance.Reclaimable {
			censuses[at].Reclaimable++
		} else {
			censuses[at].OnDemand++
		}
	}
	return places, censuses
}

// work returns the busy servers to plan for. Until enough has been measured
// that is what the operators began with; then the most of the last seconds.
func (o *Autoscaler) work(service string, censuses []CurrentInstances) float64 {
	now := o.Clock.Now()
	measured := o.Demand.BusyServers(service)
	if measured > 0 && o.firstAt[service] == 0 {
		o.firstAt[service] = now
	}
	if o.firstAt[service] == 0 {
		o.initial[service] = max(o.initial[service], onDemand(censuses))
	}
	if o.firstAt[service] == 0 || now-o.firstAt[service] < measureFor {
		o.lowersAt[service] = now + keepFor
		o.highest[service] = max(o.highest[service], measured, assumedBusy*float64(o.initial[service]))
	}
	if measured >= o.highest[service] || now >= o.lowersAt[service] {
		o.highest[service] = measured
		o.lowersAt[service] = now + keepFor
	}
	return o.highest[service]
}

func onDemand(censuses []CurrentInstances) int {
	count := 0
	for _, census := range censuses {
		count += census.OnDemand
	}
	return count
}

// keepInitial keeps the instances on demand that the operators began with until
// as many reclaimable ones serve in their place.
func (o *Autoscaler) keepInitial(service string, censuses []CurrentInstances, targets []TargetInstances) {
	serving := 0
	for _, census := range censuses {
		serving += census.Reclaimable
	}
	if o.firstAt[service] != 0 || serving >= o.initial[service] {
		return
	}
	for i := range targets {
		targets[i].OnDemand = max(targets[i].OnDemand, censuses[i].OnDemand)
	}
}

// keepOnDemand keeps instances on demand for a while after they were needed, so
// that they are not given back and ordered again.
func (o *Autoscaler) keepOnDemand(service string, places []string, targets []TargetInstances) {
	now := o.Clock.Now()
	for i, place := range places {
		key := InstanceOrder{Service: service, DataCentre: place}
		last := o.needed[key]
		if targets[i].OnDemand >= last.count || now-last.at > keepOnDemandFor {
			o.needed[key] = given{count: targets[i].OnDemand, at: now}
			continue
		}
		targets[i].OnDemand = last.count
	}
}

// order asks for a number of instances, unless that has been asked for and may
// still come.
func (o *Autoscaler) order(ctx context.Context, service *spokeconfig.Service, place string, reclaimable bool, count, have int) {
	key := InstanceOrder{Service: service.Name, DataCentre: place, Reclaimable: reclaimable}
	last, asked := o.given[key]
	now := o.Clock.Now()
	if o.mayStillCome(service, last, asked, count, have, now) {
		return
	}
	fence, held := o.Lease.Held()
	if !held || fence != o.fence {
		return
	}
	err := o.OrderFunc(ctx, fence, key, count)
	o.given[key] = given{count: count, at: now, dry: err != nil}
	o.Log.Info().Str("service", service.Name).Str("data_centre", place).Bool("reclaimable", reclaimable).Int("count", count).
		Int("have", have).Float64("work", o.highest[service.Name]).Int64("fence", int64(fence)).Err(err).Msg("Instances ordered.")
}

func (o *Autoscaler) mayStillCome(service *spokeconfig.Service, last given, asked bool, count, have int, now spokeclock.Millis) bool {
	switch {
	case !asked:
		return count == have
	case last.dry:
		return now-last.at < dryFor
	case last.count != count:
		return false
	default:
		return have >= count || now-last.at < service.Scaling.Boot+repeatAfter
	}
}
