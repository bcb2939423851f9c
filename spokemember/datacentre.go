package spokemember

import (
	"slices"
	"strings"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeconfig"
)

// datedSummary is a data centre's summary with the time at which it was made,
// by this instance's clock.
type datedSummary struct {
	summary DataCentreSummary
	madeAt  spokeclock.Millis
}

// MergeDataCentres stores those summaries of other data centres that are newer
// than the stored ones.
func (v *View) MergeDataCentres(summaries []DataCentreSummary) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if v.summaries == nil {
		v.summaries = make(map[string]datedSummary)
	}
	now := v.Clock.Now()
	for _, summary := range summaries {
		madeAt := now - summary.Age
		known, isKnown := v.summaries[summary.DataCentre]
		if summary.DataCentre == v.Self.DataCentre || (isKnown && madeAt <= known.madeAt) {
			continue
		}
		v.summaries[summary.DataCentre] = datedSummary{summary: summary, madeAt: madeAt}
	}
}

// EntryInstanceCount returns the number of entry instances that share the
// traffic: the live ones of this data centre and those of the reachable data
// centres. It is at least one.
func (v *View) EntryInstanceCount() int {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	now := v.Clock.Now()
	return v.localSummary(0, now).Instances + v.remoteInstances(now)
}

// remoteInstances returns the number of instances of the other reachable data
// centres.
func (v *View) remoteInstances(now spokeclock.Millis) int {
	count := 0
	for _, dated := range v.summaries {
		if now-dated.madeAt <= summaryTimeout {
			count += dated.summary.Instances
		}
	}
	return count
}

// DataCentres returns the summaries of this data centre, with revision zero,
// and of every other known one, ordered by name.
func (v *View) DataCentres() []DataCentreSummary {
	return v.dataCentresAt(0)
}

// DataCentresAt returns the summaries of this data centre and of every other
// known one, ordered by name. The revision is the one in force at this instance.
func (v *View) DataCentresAt(revision spokeconfig.Revision) []DataCentreSummary {
	return v.dataCentresAt(revision)
}

func (v *View) dataCentresAt(revision spokeconfig.Revision) []DataCentreSummary {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	now := v.Clock.Now()
	summaries := []DataCentreSummary{v.localSummary(revision, now)}
	for _, dated := range v.summaries {
		summary := dated.summary
		summary.Age = now - dated.madeAt
		summaries = append(summaries, summary)
	}
	slices.SortFunc(summaries, func(a, b DataCentreSummary) int { return strings.Compare(a.DataCentre, b.DataCentre) })
	return summaries
}

// localSummary returns the summary of this data centre.
func (v *View) localSummary(revision spokeconfig.Revision, now spokeclock.Millis) DataCentreSummary {
	summary := DataCentreSummary{DataCentre: v.Self.DataCentre, Revision: revision, Instances: 1}
	for _, p := range v.peers {
		if p.identity.DataCentre != v.Self.DataCentre || !p.live(now) {
			continue
		}
		summary.Instances++
		summary.Revision = min(summary.Revision, p.revision)
	}
	return summary
}

// Reachable reports whether the summary is recent enough for the data centre to
// count as reachable.
func (d DataCentreSummary) Reachable() bool {
	return d.Age <= summaryTimeout
}
