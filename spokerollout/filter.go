package spokerollout

import "slices"

// Filter tells which software versions may serve a request.
type Filter struct {
	service string
	// to is the ordered version, or empty if no order is in force, and share its part of the
	// requests.
	to    string
	share float64
	// isNew is whether the request goes to the ordered version, otherwise to any other.
	isNew bool
	// isExclusive is whether no other version may serve in place of the ordered one.
	isExclusive bool
	isFirm      bool
	barred      []string
}

// IsEmpty reports whether all versions may serve the request.
func (f Filter) IsEmpty() bool { return f.to == "" && len(f.barred) == 0 }

// Bars reports whether a version may serve no request at all.
func (f Filter) Bars(version string) bool { return slices.Contains(f.barred, version) }

// Allows reports whether the request should go to a version.
func (f Filter) Allows(version string) bool {
	return !f.Bars(version) && (f.to == "" || (version == f.to) == f.isNew)
}

// AllowsInstead reports whether a version may serve if none that Allows reports can.
func (f Filter) AllowsInstead(version string) bool {
	return !f.Bars(version) && (!f.isExclusive || version == f.to)
}

// IsFirm reports whether another version may serve only if no server of the chosen one is
// left, and not yet if none of them is sound at the moment. That holds for the old version,
// so that its failures send nothing more to the new one, and for the new one in the last
// stage, in which the old servers run empty.
func (f Filter) IsFirm() bool { return f.isFirm || !f.isNew }

// rule is how the requests of a service are divided. It doesn't change once made.
type rule struct {
	service string
	to      string
	share   float64
	// isExclusive is set once the old servers have been told to stop.
	isExclusive bool
	barred      []string
}

// filter returns the filter of a request. Draw is a random number from 0 up to 1 that
// stays with the request, so that all its attempts keep to one side.
func (r rule) filter(draw float64, failedVersion string) Filter {
	f := Filter{service: r.service, to: r.to, share: r.share, barred: r.barred, isExclusive: r.isExclusive, isFirm: r.share >= 1}
	if r.to == "" {
		return f
	}
	f.isNew = draw < r.share
	if failedVersion == r.to && r.share < 1 {
		f.isNew = false
	}
	return f
}
