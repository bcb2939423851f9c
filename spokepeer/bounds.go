package spokepeer

import (
	"maps"

	"mulberryspoke.example/mulberryspoke/spokebackend"
	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokemember"
)

// Bounds of what a peer may say. Sums over all peers, and times that are added to the
// present one, stay far from overflowing.
const (
	maxNameBytes = 500
	// maxInterval bounds the time between two heartbeats, after some of which a peer is
	// suspected.
	maxInterval   = 60 * spokeclock.Second
	maxAge        = 24 * 60 * 60 * spokeclock.Second
	maxCount      = 1 << 53
	maxCounts     = 1 << 17
	maxInFlight   = 1 << 20
	maxServers    = 1 << 17
	maxInstances  = 1 << 16
	maxSummaries  = 1 << 10
	maxGeneration = 1 << 53
)

// bounded returns the hello without what is out of bounds, and whether it names a peer.
func (h Hello) bounded() (hello Hello, isPeer bool) {
	h.DataCentres = boundedSummaries(h.DataCentres)
	generation := h.Identity.Generation
	h.Link = min(max(0, h.Link), maxGeneration)
	return h, isName(h.Identity.Name) && generation >= 0 && generation <= maxGeneration
}

// bounded returns the heartbeat without what is out of bounds.
func (h Heartbeat) bounded() Heartbeat {
	h.Interval = min(max(0, h.Interval), maxInterval)
	h.DataCentres = boundedSummaries(h.DataCentres)
	h.Counts = boundedCounts(h.Counts)
	for i := range h.DataCentreCounts {
		h.DataCentreCounts[i].Counts = boundedCounts(h.DataCentreCounts[i].Counts)
		maps.DeleteFunc(h.DataCentreCounts[i].InFlight, func(group spokebackend.Group, count int) bool {
			return len(group) > maxNameBytes || count < 0 || count > maxInFlight
		})
	}
	maps.DeleteFunc(h.Removals, func(server string, remaining spokeclock.Millis) bool {
		generation := h.RemovedGenerations[server]
		return !isName(server) || remaining < 0 || remaining > maxAge || generation < 0 || generation > maxGeneration
	})
	return h
}

func isName(name string) bool { return name != "" && len(name) <= maxNameBytes }

func boundedSummaries(summaries []spokemember.DataCentreSummary) []spokemember.DataCentreSummary {
	var bounded []spokemember.DataCentreSummary
	for _, summary := range summaries[:min(len(summaries), maxSummaries)] {
		isInBounds := summary.Age >= 0 && summary.Age <= maxAge && summary.Instances >= 0 && summary.Instances <= maxInstances
		if isName(summary.DataCentre) && isInBounds {
			bounded = append(bounded, summary)
		}
	}
	return bounded
}

// boundedCounts returns the counters that may grow further, or none of too many.
func boundedCounts(counts map[string]int64) map[string]int64 {
	if len(counts) > maxCounts {
		return nil
	}
	maps.DeleteFunc(counts, func(key string, count int64) bool { return len(key) > maxNameBytes || count < 0 || count > maxCount })
	return counts
}
