package spokerollout

import (
	"fmt"
	"slices"

	"mulberryspoke.example/mulberryspoke/spokeclock"
)

// measure is one way in which a version can be bad.
type measure struct {
	name string
	bad  metric
	all  metric
	// level is the greatest probability of the evidence, if both versions were the same,
	// at which the version counts as bad. It holds for each look at the evidence; every
	// instance looks many times, so that it is far below the accepted rate of errors.
	level float64
	// minExcess is the least part of the answers that must be bad beyond the old
	// version's part. It grows by excessPerOld of that part, as failures that come in
	// groups differ more between the versions if there are many.
	minExcess    float64
	excessPerOld float64
	// tolerance is the part of the answers that may be bad at a good version beyond the old
	// version's part. Zero means that both are taken to be the same.
	tolerance float64
	// needsTime is whether nothing is judged before settleTime.
	needsTime bool
}

// Slow answers come in groups, as they wait for each other, and the first answers of servers
// that have just started are slow, so that they prove less than as many failures. Broken answers are mostly those of crashed servers, which both
// versions have.
var measures = []measure{
	{name: "failures", bad: metricFailed, all: metricAnswers, level: 3e-5, minExcess: 0.03, excessPerOld: 0.35},
	{name: "slow first events", bad: metricSlowFirst, all: metricTimed, level: 1e-6, minExcess: 0.3, tolerance: coldPart, needsTime: true},
	{name: "slow pauses", bad: metricSlowPause, all: metricPaced, level: 1e-7, minExcess: 0.3, needsTime: true},
	{name: "broken answers", bad: metricBroken, all: metricAnswers, level: 1e-12, minExcess: 0.4, needsTime: true},
}

const (
	// doubtLevel is the probability below which the share is not raised, and
	// lastCallLevel the one below which a version counts as bad when a decision is due.
	doubtLevel    = 1e-2
	lastCallLevel = 1e-3
	// minJudged is the number of answers of the new version below which nothing is
	// judged.
	minJudged = 8
	// settleTime is the time from the first answer of the new version until it counts that
	// answers are slow. By then those of servers that have just started are a small part.
	settleTime = 2 * spokeclock.Second
	// minCompared is the number of answers of the old version in a stage from which the
	// two are compared within the stage. With fewer, the old version's part in all stages
	// and unpairedMargin count.
	minCompared    = 20
	unpairedMargin = 0.15
	// coldPart is the part of first events that cold prefix caches make slow. If they cost a
	// factor of 1.8, 0.14 of the answers take more than three times the old median; without
	// this tolerance 3 of 60 simulated rollouts of such a version were rolled back.
	coldPart = 0.15
	maxPart  = 0.95
)

// stratum is the evidence of one route in one stage, in which the share is constant.
type stratum struct {
	newAll, newBad, oldAll, oldBad int64
}

// finding is the result of a comparison.
type finding struct {
	// probability is an upper bound of the probability that the new version has as many
	// bad answers if it is as good as the old one, but for the measure's tolerance.
	// WithoutTolerance is the same without that.
	probability      float64
	withoutTolerance float64
	// excess is the part of its answers that are bad beyond what the old version's part
	// lets expect.
	excess float64
	// oldPart is the part of the answers that the old version lets expect to be bad.
	oldPart float64
	text    string
}

// judgement sums up all comparisons.
type judgement struct {
	// isBad, isBadAtLastCall and isDoubtful are by decreasing certainty.
	isBad           bool
	isBadAtLastCall bool
	isDoubtful      bool
	reason          string
}

// judge compares the new version with the old one by each measure, on each route and on
// all routes. IsSettled is whether the new version has answered for settleTime.
func judge(cells map[cellKey]int64, isSettled bool) judgement {
	var result judgement
	routes := routesOf(cells)
	for _, m := range measures {
		if m.needsTime && !isSettled {
			continue
		}
		for _, route := range append([]string{""}, routes...) {
			compared := routes
			name := "all routes"
			if route != "" {
				compared, name = []string{route}, route
			}
			f := compare(m, strataOf(cells, m, compared))
			if f.excess < m.leastExcess(f)/2 {
				continue
			}
			f.text = fmt.Sprintf("%s on %s: %s, probability %.1e", m.name, name, f.text, f.probability)
			result.add(m, f)
			if result.isBad {
				return result
			}
		}
	}
	return result
}

func (m measure) leastExcess(f finding) float64 { return m.minExcess + m.excessPerOld*f.oldPart }

func (j *judgement) add(m measure, f finding) {
	isStrong := f.excess >= m.leastExcess(f)
	// The levels of weaker decisions keep the ratio that the measure has to failures.
	weight := m.level / measures[0].level
	switch {
	case isStrong && f.probability < m.level:
		j.isBad = true
	case isStrong && f.probability < lastCallLevel*weight:
		j.isBadAtLastCall = true
	case f.withoutTolerance >= doubtLevel*weight:
		return
	}
	j.isDoubtful = true
	j.reason = f.text
}

func routesOf(cells map[cellKey]int64) []string {
	var routes []string
	for key := range cells {
		if !slices.Contains(routes, key.route) {
			routes = append(routes, key.route)
		}
	}
	slices.Sort(routes)
	return routes
}

func strataOf(cells map[cellKey]int64, m measure, routes []string) []stratum {
	strata := make([]stratum, 0, len(routes)*len(shares))
	for _, route := range routes {
		for stage := range shares {
			count := func(isNew bool, what metric) int64 {
				return cells[cellKey{stage: stage, isNew: isNew, metric: what, route: route}]
			}
			strata = append(strata, stratum{
				newAll: count(true, m.all), newBad: min(count(true, m.bad), count(true, m.all)),
				oldAll: count(false, m.all), oldBad: min(count(false, m.bad), count(false, m.all)),
			})
		}
	}
	return strata
}

// compare bounds the probability of the new version's bad answers. Within a stratum the
// bad answers of both versions are taken to be spread over all answers at random, as in
// Fisher's exact test. The Chernoff bound over all strata holds for few answers, too.
func compare(m measure, strata []stratum) finding {
	var newAll, newBad, oldAll, oldBad int64
	for _, s := range strata {
		newAll, newBad, oldAll, oldBad = newAll+s.newAll, newBad+s.newBad, oldAll+s.oldAll, oldBad+s.oldBad
	}
	f := finding{probability: 1, withoutTolerance: 1, text: fmt.Sprintf("%d of %d, old %d of %d", newBad, newAll, oldBad, oldAll)}
	if newAll < minJudged || oldAll < minCompared {
		return f
	}
	unpaired := min(maxPart, float64(oldBad+1)/float64(oldAll+2)+unpairedMargin)
	var oldExpected float64
	for _, s := range strata {
		if s.oldAll < minCompared {
			oldExpected += float64(s.newAll) * unpaired
		} else {
			oldExpected += float64(s.newAll) * float64(s.oldBad) / float64(s.oldAll)
		}
	}
	f.oldPart = oldExpected / float64(newAll)
	f.excess = float64(newBad)/float64(newAll) - f.oldPart
	if f.excess > 0 && f.excess >= m.leastExcess(f)/2 {
		f.withoutTolerance = chernoffBound(chancesOf(strata, unpaired, 0), float64(newBad))
		f.probability = f.withoutTolerance
		if m.tolerance > 0 {
			f.probability = chernoffBound(chancesOf(strata, unpaired, m.tolerance), float64(newBad))
		}
	}
	return f
}

// chancesOf returns the distributions of the new version's bad answers, by stratum. Their
// size grows with the answers, so that they are made only for an excess that may count.
func chancesOf(strata []stratum, unpaired, tolerance float64) []chance {
	chances := make([]chance, 0, len(strata))
	for _, s := range strata {
		switch {
		case s.newAll == 0:
		case s.oldAll < minCompared:
			chances = append(chances, newBinomial(s.newAll, unpaired))
		case tolerance > 0:
			part := float64(s.oldBad+1)/float64(s.oldAll+2) + tolerance
			chances = append(chances, newBinomial(s.newAll, min(maxPart, part)))
		default:
			chances = append(chances, newHypergeometric(s))
		}
	}
	return chances
}
