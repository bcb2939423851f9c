package spokeserve

import (
	"github.com/VictoriaMetrics/metrics"
)

// Counters count what a server does. They belong to a set that is written out
// on the operators' address.
type Counters struct {
	set        *metrics.Set
	recomputed *metrics.Counter
	moved      *metrics.Counter
	resumed    *metrics.Counter
	foreign    *metrics.Counter
	replayed   *metrics.Counter
	tokens     *metrics.Counter
	firstToken *metrics.Histogram
}

// NewCounters returns counters in a set.
func NewCounters(set *metrics.Set) *Counters {
	return &Counters{
		set:        set,
		recomputed: set.NewCounter("spoke_recomputed_tokens_total"),
		moved:      set.NewCounter("spoke_cache_moves_total"),
		resumed:    set.NewCounter("spoke_resumed_answers_total"),
		foreign:    set.NewCounter("spoke_foreign_events_total"),
		replayed:   set.NewCounter("spoke_replayed_outcomes_total"),
		tokens:     set.NewCounter("spoke_tokens_total"),
		firstToken: set.NewHistogram("spoke_first_token_seconds"),
	}
}

func (c *Counters) answered(service string) {
	c.set.GetOrCreateCounter(`spoke_requests_total{service="` + service + `",result="answered"}`).Inc()
}

func (c *Counters) refused(service, kind string) {
	c.set.GetOrCreateCounter(`spoke_requests_total{service="` + service + `",result="` + kind + `"}`).Inc()
}
