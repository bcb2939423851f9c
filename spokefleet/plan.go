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

// Option is a kind of instance that may be started.
type Option struct {
	// DataCentre is where it runs.
	DataCentre string
	// MachineClass is its class.
	MachineClass string
	// Reclaimable says that the platform may take it back.
	Reclaimable bool
	// Price is its cost for an hour.
	Price float64
	// Refused says that starts of it were refused lately.
	Refused bool
}

// Running is an instance that runs or is being started.
type Running struct {
	// Name names the instance.
	Name string
	// DataCentre is where it runs.
	DataCentre string
	// Reclaimable says that the platform may take it back.
	Reclaimable bool
	// Price is its cost for an hour.
	Price float64
}

// Need is what a service needs now.
type Need struct {
	// Demand is the requests at one time.
	Demand float64
	// Slots is how many requests an instance runs at once.
	Slots int
	// Least is the least number of instances.
	Least int
}

// Plan is what to do.
type Plan struct {
	starts []Option
	stops  []string
	reason Reason
}

// Reason tells what decided a plan.
type Reason string

const (
	// ReasonEnough is that there is neither too little nor too much.
	ReasonEnough Reason = "enough"
	// ReasonDemand is that the demand needs more instances.
	ReasonDemand Reason = "demand"
	// ReasonSurvival is that the loss of a data centre's reclaimable instances
	// would leave too little.
	ReasonSurvival Reason = "survival"
	// ReasonSurplus is that an instance can be given back.
	ReasonSurplus Reason = "surplus"
	// ReasonRefused is that more is needed and nothing can be started.
	ReasonRefused Reason = "starts_refused"
)

// Starts returns the instances to start.
func (p Plan) Starts() []Option { return p.starts }

// Stops returns the instances to give back.
func (p Plan) Stops() []string { return p.stops }

// Reason returns what decided.
func (p Plan) Reason() Reason { return p.reason }

// Decide returns what to start and stop. Options are taken by price; of two
// places the one with fewer reclaimable instances goes first when survival is
// at stake.
func Decide(need Need, options []Option, running []Running) Plan {
	fleet := slices.Clone(running)
	plan := Plan{reason: ReasonEnough}
	for range maxStarts {
		reason := shortage(need, fleet)
		if reason == ReasonEnough {
			break
		}
		option, ok := cheapest(need, options, fleet, reason)
		if !ok {
			plan.reason = ReasonRefused
			return plan
		}
		plan.reason = reason
		plan.starts = append(plan.starts, option)
		fleet = append(fleet, Running{DataCentre: option.DataCentre, Reclaimable: option.Reclaimable, Price: option.Price})
	}
	if len(plan.starts) > 0 {
		return plan
	}
	if name, ok := surplus(need, running); ok {
		return Plan{stops: []string{name}, reason: ReasonSurplus}
	}
	return plan
}

// shortage returns what a fleet lacks.
func shortage(need Need, fleet []Running) Reason {
	if len(fleet) < total(need) {
		return ReasonDemand
	}
	if len(fleet)-worstLoss(fleet) < survivors(need) {
		return ReasonSurvival
	}
	return ReasonEnough
}

// total is the number of instances that the demand needs.
func total(need Need) int {
	return max(need.Least, int(math.Ceil(need.Demand*headroom/float64(max(1, need.Slots)))))
}

// survivors is the number that must be left after the worst loss.
func survivors(need Need) int {
	return max(1, int(math.Ceil(need.Demand*survival/float64(max(1, need.Slots)))))
}

// worstLoss is the greatest number of reclaimable instances in one place.
func worstLoss(fleet []Running) int {
	worst := 0
	for _, r := range fleet {
		worst = max(worst, reclaimableIn(fleet, r.DataCentre))
	}
	return worst
}

func reclaimableIn(fleet []Running, place string) int {
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
func cheapest(need Need, options []Option, fleet []Running, reason Reason) (Option, bool) {
	var usable []Option
	for _, o := range options {
		helps := reason == ReasonDemand || !o.Reclaimable || reclaimableIn(fleet, o.DataCentre) < worstLoss(fleet)
		if !o.Refused && helps {
			usable = append(usable, o)
		}
	}
	if len(usable) == 0 {
		return Option{}, false
	}
	return slices.MinFunc(usable, func(a, b Option) int {
		return cmp.Or(
			cmp.Compare(burden(need, a, fleet), burden(need, b, fleet)),
			cmp.Compare(a.DataCentre, b.DataCentre),
		)
	}), true
}

// burden is an option's price, and that of the reserve which survival asks for
// when it makes the worst loss greater.
func burden(need Need, o Option, fleet []Running) float64 {
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
func surplus(need Need, running []Running) (string, bool) {
	ordered := slices.Clone(running)
	slices.SortStableFunc(ordered, func(a, b Running) int { return cmp.Compare(b.Price, a.Price) })
	for _, candidate := range ordered {
		rest := slices.DeleteFunc(slices.Clone(running), func(r Running) bool { return r.Name == candidate.Name })
		spare := need
		spare.Demand += float64(need.Slots) / 2
		if len(rest) > 0 && shortage(spare, rest) == ReasonEnough {
			return candidate.Name, true
		}
	}
	return "", false
}
