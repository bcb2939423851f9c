package spokelocality

import (
	"math"
	"slices"
	"strings"

	"mulberryspoke.example/mulberryspoke/spokeclock"
)

// decision is one decision about a service. The router's mutex is held.
type decision struct {
	router      *Router
	service     *service
	name        string
	observation Observation
	now         spokeclock.Millis
	// elapsed is the time since the last decision.
	elapsed spokeclock.Millis

	// own is the index of the own data centre, or -1 if it is not in the observation.
	own int
	// leaveCost is the cost of leaving, and requestMillis the time for which a request
	// keeps a server busy, both in milliseconds.
	leaveCost     float64
	requestMillis float64
	planner       planner
}

func (d *decision) run() {
	slices.SortFunc(d.observation.DataCentres, func(a, b DataCentre) int { return strings.Compare(a.Name, b.Name) })
	d.addOwn()
	d.updateRemotes()
	d.leaveCost = d.router.leaveCost(d.service.all.bytes(0))
	d.requestMillis = d.service.work.requestMillis()
	d.calibrate()
	d.plan()
	for i, dataCentre := range d.observation.DataCentres {
		if i != d.own {
			d.moveShare(i, dataCentre)
		}
	}
	d.decidePrefixes()
}

// calibrate lowers the demands if the queues at the servers show that these are less busy
// than the expected work of the requests would make them. With too high demands, no data
// centre seems to have anything to spare. Only prompts are queued, so that queues show the
// part of the work that is done before the first token. Where servers can't do what is
// demanded, queues don't tell how much that is.
func (d *decision) calibrate() {
	s := d.service
	if s.scale == 0 {
		s.scale = 1
	}
	busy, shownBusy, isSaturated := 0.0, 0.0, false
	for _, dataCentre := range d.observation.DataCentres {
		busy += dataCentre.Busy
		if dataCentre.Servers > 0 {
			queued := dataCentre.Queued / dataCentre.Servers
			load := queued / (s.prefills.requestMillis() + queued)
			shownBusy += dataCentre.Servers * load
			isSaturated = isSaturated || (load > saturatedLoad && s.scale*dataCentre.Busy > dataCentre.Servers)
		}
	}
	prefillPart := s.prefills.mean / max(s.work.mean, s.prefills.mean, 1)
	if busy > 0 && prefillPart >= minPrefillPart && !isSaturated {
		shown := min(1, max(minScale, shownBusy/(busy*prefillPart)))
		s.scale += (shown - s.scale) * (1 - math.Exp(-float64(d.elapsed)/float64(scaleTime)))
	}
	for i := range d.observation.DataCentres {
		d.observation.DataCentres[i].Busy *= s.scale
	}
}

// addOwn finds the own data centre and adds it if it has neither servers nor demand.
func (d *decision) addOwn() {
	isOwn := func(c DataCentre) bool { return c.Name == d.router.DataCentre }
	d.own = slices.IndexFunc(d.observation.DataCentres, isOwn)
	if d.own < 0 {
		d.own = len(d.observation.DataCentres)
		d.observation.DataCentres = append(d.observation.DataCentres, DataCentre{Name: d.router.DataCentre, Instances: 1})
	}
}

// updateRemotes keeps the state of the other data centres in the observation and judges
// them by the own answers.
func (d *decision) updateRemotes() {
	s, seen := d.service, make(map[string]bool)
	s.own.decay(d.now)
	for i, dataCentre := range d.observation.DataCentres {
		seen[dataCentre.Name] = true
		if i == d.own {
			continue
		}
		other, found := s.remotes[dataCentre.Name]
		if !found {
			other = &remote{}
			s.remotes[dataCentre.Name] = other
		}
		other.judge(&s.own, d.elapsed, d.now)
	}
	for name := range s.remotes {
		if !seen[name] {
			delete(s.remotes, name)
		}
	}
	s.names = sortedNames(s.remotes)
	for name := range s.demands {
		if !seen[name] {
			delete(s.demands, name)
		}
	}
}

// plan plans for all data centres. One whose reports are outdated or that can't be reached
// takes no more than it does.
func (d *decision) plan() {
	s := d.service
	target := float64(s.firstEventTarget())
	cost := d.leaveCost + startPart*target
	if s.totalShare() > 0 {
		cost = d.leaveCost + keepPart*target
	}
	d.planner = planner{requestMillis: d.requestMillis, leaveCost: cost, maxWait: d.router.Settings.maxWait(s.firstEventTarget())}
	for i, dataCentre := range d.observation.DataCentres {
		demand, found := s.demands[dataCentre.Name]
		if !found {
			demand = &trend{average: dataCentre.Busy}
			s.demands[dataCentre.Name] = demand
		}
		next := site{DataCentre: dataCentre}
		next.Busy = demand.update(dataCentre.Busy, d.elapsed, dataCentre.Age)
		if other, isOther := s.remotes[dataCentre.Name]; isOther && i != d.own {
			next.Servers *= 1 - other.lostTrust
		}
		d.planner.sites = append(d.planner.sites, next)
	}
	// A data centre without servers needs shares although it has no demand yet.
	own := &d.planner.sites[d.own]
	own.Busy = max(own.Busy, minBusy)
	d.planner.run()
}

// totalShare returns the part of the requests that leave.
func (s *service) totalShare() float64 {
	total := 0.0
	for _, other := range s.remotes {
		total += other.share
	}
	return total
}

// moveShare moves the share of a data centre towards the planned one.
func (d *decision) moveShare(index int, dataCentre DataCentre) {
	other := d.service.remotes[dataCentre.Name]
	target := float64(d.planner.sites[d.own].sentTo[index]) / quanta
	before, after := other.share, d.nextShare(other, dataCentre, target)
	if after < minShare && (target < minShare || after < before) {
		after = 0
	}
	other.share = after
	other.isOpen = !dataCentre.IsUnreachable && dataCentre.Age <= maxAge && !d.isShort(dataCentre) && other.lostTrust == 0
	if before == after || d.router.ShareChangedFunc == nil {
		return
	}
	own := d.observation.DataCentres[d.own]
	d.router.ShareChangedFunc(Change{
		Service: d.name, DataCentre: dataCentre.Name, Before: before, After: after, Target: target,
		OwnWait: own.wait(d.requestMillis), OtherWait: dataCentre.wait(d.requestMillis),
		OwnBusy: own.Busy, OwnServers: own.Servers, OtherBusy: dataCentre.Busy, OtherServers: dataCentre.Servers,
		LeaveCost: d.leaveCost, OwnAge: own.Age, OtherAge: dataCentre.Age,
		BadPart: other.badPart(), Answers: other.good + other.bad,
	})
}

// nextShare returns the next share of a data centre.
func (d *decision) nextShare(other *remote, dataCentre DataCentre, target float64) float64 {
	step := d.step()
	switch {
	case dataCentre.IsUnreachable || dataCentre.Servers <= 0:
		return 0
	case d.planner.sites[d.own].Servers <= 0:
		// All requests have to leave, so that there is nothing to approach in steps.
		return target
	case dataCentre.Age > maxAge:
		return min(other.share, max(d.shownShare(other), other.share-step))
	case target > 0 && other.share > 0 && math.Abs(target-other.share) < deadBand:
		return other.share
	case target > other.share && d.observation.DataCentres[d.own].Age > maxAge:
		return other.share
	case target > other.share:
		return min(target, other.share+step)
	case other.lostTrust > 0 || d.isShort(dataCentre):
		return max(target, other.share-step)
	default:
		return max(target, other.share-returnPart*step)
	}
}

// step returns by how much one share may rise. Those that rise together share the bound.
func (d *decision) step() float64 {
	rising := 0
	for i, dataCentre := range d.observation.DataCentres {
		if other, found := d.service.remotes[dataCentre.Name]; found && float64(d.planner.sites[d.own].sentTo[i])/quanta > other.share {
			rising++
		}
	}
	return d.router.Settings.SharePerSecond * seconds(d.elapsed) / float64(max(1, rising))
}

// isShort reports whether a data centre has nothing to spare after its own demand.
func (d *decision) isShort(dataCentre DataCentre) bool {
	return dataCentre.wait(d.requestMillis) > d.planner.maxWait
}

// shownShare returns the share of all own answers that are good ones of a data centre.
func (d *decision) shownShare(other *remote) float64 {
	total := d.service.own.good + d.service.own.bad
	for _, o := range d.service.remotes {
		total += o.good + o.bad
	}
	if total < minAnswers {
		return 0
	}
	return other.good / total
}

// decidePrefixes decides where prefixes are cached.
func (d *decision) decidePrefixes() {
	setting := prefixSetting{
		cacheTokens: d.observation.CacheTokens, readRate: prefillRate, leaveCost: d.leaveCost, lifetime: d.router.Settings.PrefixLifetime,
	}
	for i, dataCentre := range d.observation.DataCentres {
		setting.instances += dataCentre.Instances
		setting.servers += dataCentre.Servers
		if i == d.own {
			setting.localInstances = max(1, dataCentre.Instances)
			setting.localServers = dataCentre.Servers
		}
	}
	setting.instances = max(setting.instances, setting.localInstances)
	d.service.hasLocalPrefixes = d.service.prefixes.prefersLocal(d.service.hasLocalPrefixes, setting, d.now)
}

func sortedNames[Value any](values map[string]Value) []string {
	names := make([]string, 0, len(values))
	for name := range values {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
