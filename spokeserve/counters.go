package spokeserve

import (
	"github.com/VictoriaMetrics/metrics"
)

// Counters counts events of a server. The counters belong to a metrics set, which
// is served at the operators' address.
type Counters struct {
	recomputedTokens *metrics.Counter
	cacheMoves       *metrics.Counter
	foreignEvents    *metrics.Counter
	replayedOutcomes *metrics.Counter
	tokens           *metrics.Counter
}

// NewCounters registers the counters in a metrics set.
func NewCounters(set *metrics.Set) *Counters {
	return &Counters{
		recomputedTokens: set.NewCounter("spoke_recomputed_tokens_total"),
		cacheMoves:       set.NewCounter("spoke_cache_moves_total"),
		foreignEvents:    set.NewCounter("spoke_foreign_events_total"),
		replayedOutcomes: set.NewCounter("spoke_replayed_outcomes_total"),
		tokens:           set.NewCounter("spoke_tokens_total"),
	}
}
