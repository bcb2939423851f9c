package spokefleet

import "math"

const (
	// busyTarget is the part of their time that servers are busy when first
	// tokens and the pauses between tokens still hold their targets.
	busyTarget = 0.55
	// busyLimit is the same for the time until replacements have booted.
	busyLimit = 0.75
	// lossesSurvived is how many data centres may lose their reclaimable
	// instances at once: a second wave can come before the first is replaced.
	lossesSurvived = 2
)

// CurrentInstances is what a service has in one data centre.
type CurrentInstances struct {
	// Reclaimable and OnDemand are the instances that take work.
	Reclaimable int
	OnDemand    int
	// ReclaimableUnavailable says that no reclaimable ones were to be had lately.
	ReclaimableUnavailable bool
}

// TargetInstances is what a service shall have in one data centre.
type TargetInstances struct {
	// Reclaimable and OnDemand are the instances wanted.
	Reclaimable int
	OnDemand    int
}

// InstanceBounds are the least and the most instances of each data centre.
type InstanceBounds struct {
	Min int
	Max int
}

// ComputeTargets returns what each of some data centres shall have so that the work, in
// busy servers, is done at the lowest cost: reclaimable instances alone, as
// many as are enough when the data centres that survive must do. What is
// missing at this moment is made up for by instances on demand.
func ComputeTargets(work float64, places []CurrentInstances, bounds InstanceBounds, reclaimable bool) []TargetInstances {
	count := len(places)
	targets := make([]TargetInstances, count)
	each := eachReclaimable(work, count, bounds)
	if !reclaimable {
		each = 0
	}
	for i, place := range places {
		targets[i].Reclaimable = eachIn(place, each, bounds)
	}
	fillOnDemand(work, places, targets, bounds)
	return targets
}

// eachReclaimable is the number of reclaimable instances in each data centre.
func eachReclaimable(work float64, places int, bounds InstanceBounds) int {
	left := max(1, places-lossesSurvived)
	steady := work / busyTarget / float64(places)
	survivors := work / busyLimit / float64(left)
	return min(bounds.Max, max(bounds.Min, int(math.Ceil(max(steady, survivors)))))
}

// eachIn is the number of reclaimable instances in one data centre. A dry one is
// asked for one more, to learn when there are some again; instances on demand
// keep their room until reclaimable ones serve.
func eachIn(place CurrentInstances, each int, bounds InstanceBounds) int {
	if place.ReclaimableUnavailable {
		each = min(each, place.Reclaimable+1)
	}
	return max(min(each, place.Reclaimable), min(each, bounds.Max-place.OnDemand))
}

// fillOnDemand adds instances on demand while what would be left after the next
// loss of a data centre's reclaimable instances could not do the work.
func fillOnDemand(work float64, places []CurrentInstances, targets []TargetInstances, bounds InstanceBounds) {
	have, largest := 0, 0
	for i, place := range places {
		serving := min(place.Reclaimable, targets[i].Reclaimable)
		have += serving
		largest = max(largest, serving)
	}
	if len(places) > 1 {
		have -= largest
	}
	lacking := int(math.Ceil(work/busyLimit)) - have
	for placed := true; lacking > 0 && placed; {
		placed = false
		for i := range places {
			if lacking > 0 && targets[i].OnDemand+targets[i].Reclaimable < bounds.Max {
				targets[i].OnDemand++
				lacking--
				placed = true
			}
		}
	}
	for i, place := range places {
		if targets[i].OnDemand == 0 && place.Reclaimable == 0 && targets[i].Reclaimable < bounds.Min {
			targets[i].OnDemand = bounds.Min - targets[i].Reclaimable
		}
	}
}
