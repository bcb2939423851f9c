package spokeserve

import (
	"github.com/VictoriaMetrics/metrics"
)

// Counters count what a server does. They belong to a set that is written out
// on the operators' address.
type Counters struct {
	recomputed *metrics.Counter
	moved      *metrics.Counter
	foreign    *metrics.Counter
	replayed   *metrics.Counter
	tokens     *metrics.Counter
}

// NewCounters returns counters in a set.
func NewCounters(set *metrics.Set) *Counters {
	return &Counters{
		recomputed: set.NewCounter("spoke_recomputed_tokens_total"),
		moved:      set.NewCounter("spoke_cache_moves_total"),
		foreign:    set.NewCounter("spoke_foreign_events_total"),
		replayed:   set.NewCounter("spoke_replayed_outcomes_total"),
		tokens:     set.NewCounter("spoke_tokens_total"),
	}
}
