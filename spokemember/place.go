package spokemember

import (
	"slices"
	"strings"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeconfig"
)

// heardPlace is a data centre's summary and when it was so by this instance's
// clock.
type heardPlace struct {
	place DataCentreSummary
	at    spokeclock.Millis
}

// MergeDataCentres takes in summaries of other data centres, the freshest first.
func (v *View) MergeDataCentres(places []DataCentreSummary) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if v.places == nil {
		v.places = make(map[string]heardPlace)
	}
	now := v.Clock.Now()
	for _, place := range places {
		at := now - place.Age
		if place.DataCentre == v.Self.DataCentre || at <= v.places[place.DataCentre].at {
			continue
		}
		v.places[place.DataCentre] = heardPlace{place: place, at: at}
	}
}

// EntryInstanceCount returns how many entry instances share the traffic: the live ones
// here and those of the data centres heard of lately.
func (v *View) EntryInstanceCount() int {
	count := 0
	for _, place := range v.DataCentres() {
		if place.Age <= placeTimeout {
			count += place.Instances
		}
	}
	return max(1, count)
}

// DataCentres returns this data centre and every other one heard of, ordered by
// name.
func (v *View) DataCentres() []DataCentreSummary {
	return v.placesAt(0)
}

// DataCentresAt returns the same, with revision as this instance's own.
func (v *View) DataCentresAt(revision spokeconfig.Revision) []DataCentreSummary {
	return v.placesAt(revision)
}

func (v *View) placesAt(revision spokeconfig.Revision) []DataCentreSummary {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	now := v.Clock.Now()
	places := []DataCentreSummary{v.here(revision, now)}
	for _, heard := range v.places {
		place := heard.place
		place.Age = now - heard.at
		places = append(places, place)
	}
	slices.SortFunc(places, func(a, b DataCentreSummary) int { return strings.Compare(a.DataCentre, b.DataCentre) })
	return places
}

// here summarises this data centre.
func (v *View) here(revision spokeconfig.Revision, now spokeclock.Millis) DataCentreSummary {
	place := DataCentreSummary{DataCentre: v.Self.DataCentre, Revision: revision, Instances: 1}
	for _, p := range v.peers {
		if p.identity.DataCentre != v.Self.DataCentre || !p.live(now) {
			continue
		}
		place.Instances++
		place.Revision = min(place.Revision, p.revision)
	}
	return place
}

// Reachable reports whether a summary is recent enough to count on.
func (p DataCentreSummary) Reachable() bool {
	return p.Age <= placeTimeout
}
