package spokelocality

import "math"

// quanta is the number of parts into which the demand of a data centre is divided in a
// plan.
const quanta = 50

// site is the state of a data centre in a plan.
type site struct {
	DataCentre
	// kept is the number of the quanta of its demand that stay, and sentTo has those that
	// go to each other data centre.
	kept   int
	sentTo []int
	// load is the number of servers of usual speed that are busy in it.
	load float64
	// isDone means that no more of its demand leaves.
	isDone bool
}

// planner computes which part of the demand of each data centre should be served in which
// other one. The demand is what instances receive. It doesn't depend on where requests are
// served now, so that the plan doesn't swing with its own effect.
type planner struct {
	sites []site
	// requestMillis is the time for which a request keeps a server busy, in milliseconds.
	requestMillis float64
	// leaveCost is the cost of leaving, in milliseconds of delay.
	leaveCost float64
	// maxWait is the wait, in milliseconds, up to which a data centre has something to
	// spare.
	maxWait float64
}

// run moves demand, a quantum at a time, from the data centre with the longest expected
// wait to the one with the shortest, while that saves more than leaving costs. As all data
// centres are planned together, those that are short share what the others have to spare.
func (p *planner) run() {
	for i := range p.sites {
		s := &p.sites[i]
		s.kept, s.sentTo = quanta, make([]int, len(p.sites))
		s.load = s.Busy + s.Queued/drainTime
	}
	for {
		from := p.longest()
		if from < 0 {
			return
		}
		if to := p.shortest(from); to < 0 || !p.move(from, to) {
			p.sites[from].isDone = true
		}
	}
}

func (p *planner) wait(s *site, load float64) float64 {
	if s.Servers <= 0 {
		return math.Inf(1)
	}
	return wait(load/s.Servers, p.requestMillis)
}

// longest returns the data centre with the longest wait of those whose demand may leave, or
// -1.
func (p *planner) longest() int {
	best, bestWait := -1, 0.0
	for i := range p.sites {
		s := &p.sites[i]
		if s.isDone || s.kept == 0 || s.Busy <= 0 {
			continue
		}
		if wait := p.wait(s, s.load); best < 0 || wait > bestWait {
			best, bestWait = i, wait
		}
	}
	return best
}

// shortest returns the reachable data centre with the shortest wait, or -1.
func (p *planner) shortest(from int) int {
	best, bestWait := -1, math.Inf(1)
	for i := range p.sites {
		s := &p.sites[i]
		if i == from || s.IsUnreachable || s.Servers <= 0 {
			continue
		}
		if wait := p.wait(s, s.load); wait < bestWait {
			best, bestWait = i, wait
		}
	}
	return best
}

// move moves a quantum if that pays and the target has it to spare. A data centre without
// servers moves all of its demand, as it can only be served elsewhere.
func (p *planner) move(from, to int) bool {
	source, target := &p.sites[from], &p.sites[to]
	quantum := source.Busy / quanta
	targetWait := p.wait(target, target.load+quantum)
	if source.Servers > 0 && (targetWait > p.maxWait || p.wait(source, source.load)-targetWait <= p.leaveCost) {
		return false
	}
	source.load, target.load = source.load-quantum, target.load+quantum
	source.kept--
	source.sentTo[to]++
	return true
}
