package spokefleet

import (
	"cmp"
	"math"
	"slices"
)

const (
	// headroom is the capacity over the demand, so that requests seldom wait.
	headroom = 1.25
	// survival is the capacity over the demand that is left when the data
	// centre with the most reclaimable instances loses them all.
	survival = 1.0
	// maxStarts bounds the starts of one plan.
	maxStarts = 8
)

// InstanceOption is a kind of instance that may be started.
type InstanceOption struct {
	// DataCentre is where it runs.
	DataCentre string
	// MachineClass is its class.
	MachineClass string
	// Reclaimable says that the platform may take it back.
	Reclaimable bool
	// Price is its cost for an hour.
	Price float64
	// RecentlyRefused says that starts of it were refused lately.
	RecentlyRefused bool
}

// RunningInstance is an instance that runs or is being started.
type RunningInstance struct {
	// Name names the instance.
	Name string
	// DataCentre is where it runs.
	DataCentre string
	// Reclaimable says that the platform may take it back.
	Reclaimable bool
	// Price is its cost for an hour.
	Price float64
}

// CapacityRequirement is what a service needs now.
type CapacityRequirement struct {
	// ConcurrentRequests is the requests at one time.
	ConcurrentRequests float64
	// Slots is how many requests an instance runs at once.
	Slots int
	// MinInstances is the least number of instances.
	MinInstances int
}

// Plan is what to do.
type Plan struct {
	starts []InstanceOption
	stops  []string
	reason Reason
}

// Reason tells what decided a plan.
type Reason string

const (
	// ReasonSufficient is that there is neither too little nor too much.
	ReasonSufficient Reason = "enough"
	// ReasonDemand is that the demand needs more instances.
	ReasonDemand Reason = "demand"
	// ReasonReclaimReserve is that the loss of a data centre's reclaimable instances
	// would leave too little.
	ReasonReclaimReserve Reason = "survival"
	// ReasonExcessCapacity is that an instance can be given back.
	ReasonExcessCapacity Reason = "surplus"
	// ReasonStartsRefused is that more is needed and nothing can be started.
	ReasonStartsRefused Reason = "starts_refused"
)

// Starts returns the instances to start.
func (p Plan) Starts() []InstanceOption { return p.starts }

// Stops returns the instances to give back.
func (p Plan) Stops() []string { return p.stops }

// Reason returns what decided.
func (p Plan) Reason() Reason { return p.reason }

// PlanChanges returns what to start and stop. Options are taken by price; of two
// places the one with fewer reclaimable instances goes first when survival is
// at stake.
func PlanChanges(need CapacityRequirement, options []InstanceOption, running []RunningInstance) Plan {
	fleet := slices.Clone(running)
	plan := Plan{reason: ReasonSufficient}
	for range maxStarts {
		reason := shortage(need, fleet)
		if reason == ReasonSufficient {
			break
		}
		option, ok := cheapest(need, options, fleet, reason)
		if !ok {
			plan.reason = ReasonStartsRefused
			return plan
		}
		plan.reason = reason
		plan.starts = append(plan.starts, option)
		fleet = append(fleet, RunningInstance{DataCentre: option.DataCentre, Reclaimable: option.Reclaimable, Price: option.Price})
	}
	if len(plan.starts) > 0 {
		return plan
	}
	if name, ok := surplus(need, running); ok {
		return Plan{stops: []string{name}, reason: ReasonExcessCapacity}
	}
	return plan
}

// shortage returns what a fleet lacks.
func shortage(need CapacityRequirement, fleet []RunningInstance) Reason {
	if len(fleet) < total(need) {
		return ReasonDemand
	}
	if len(fleet)-worstLoss(fleet) < survivors(need) {
		return ReasonReclaimReserve
	}
	return ReasonSufficient
}

// total is the number of instances that the demand needs.
func total(need CapacityRequirement) int {
	return max(need.MinInstances, int(math.Ceil(need.ConcurrentRequests*headroom/float64(max(1, need.Slots)))))
}

// survivors is the number that must be left after the worst loss.
func survivors(need CapacityRequirement) int {
	return max(1, int(math.Ceil(need.ConcurrentRequests*survival/float64(max(1, need.Slots)))))
}

// worstLoss is the greatest number of reclaimable instances in one place.
func worstLoss(fleet []RunningInstance) int {
	worst := 0
	for _, r := range fleet {
		worst = max(worst, reclaimableIn(fleet, r.DataCentre))
	}
	return worst
}

func reclaimableIn(fleet []RunningInstance, place string) int {
	count := 0
	for _, r := range fleet {
		if r.Reclaimable && r.DataCentre == place {
			count++
		}
	}
	return count
}

// cheapest returns the option that brings the fleet nearer to what it needs at
// the least price. For survival an option counts only if it helps.
func cheapest(need CapacityRequirement, options []InstanceOption, fleet []RunningInstance, reason Reason) (InstanceOption, bool) {
	var usable []InstanceOption
	for _, o := range options {
		helps := reason == ReasonDemand || !o.Reclaimable || reclaimableIn(fleet, o.DataCentre) < worstLoss(fleet)
		if !o.RecentlyRefused && helps {
			usable = append(usable, o)
		}
	}
	if len(usable) == 0 {
		return InstanceOption{}, false
	}
	return slices.MinFunc(usable, func(a, b InstanceOption) int {
		return cmp.Or(
			cmp.Compare(burden(need, a, fleet), burden(need, b, fleet)),
			cmp.Compare(a.DataCentre, b.DataCentre),
		)
	}), true
}

// burden is an option's price, and that of the reserve which survival asks for
// when it makes the worst loss greater.
func burden(need CapacityRequirement, o InstanceOption, fleet []RunningInstance) float64 {
	if !o.Reclaimable {
		return o.Price
	}
	raises := reclaimableIn(fleet, o.DataCentre) >= worstLoss(fleet)
	spare := len(fleet) + 1 - (worstLoss(fleet) + 1)
	if raises && spare < survivors(need) {
		return 2 * o.Price
	}
	return o.Price
}

// surplus returns the dearest instance without which nothing is lacking, with
// one to spare so that starts and stops do not alternate.
func surplus(need CapacityRequirement, running []RunningInstance) (string, bool) {
	ordered := slices.Clone(running)
	slices.SortStableFunc(ordered, func(a, b RunningInstance) int { return cmp.Compare(b.Price, a.Price) })
	for _, candidate := range ordered {
		rest := slices.DeleteFunc(slices.Clone(running), func(r RunningInstance) bool { return r.Name == candidate.Name })
		spare := need
		spare.ConcurrentRequests += float64(need.Slots) / 2
		if len(rest) > 0 && shortage(spare, rest) == ReasonSufficient {
			return candidate.Name, true
		}
	}
	return "", false
}
