package spokecore

import "github.com/VictoriaMetrics/metrics"

// Counters count what a core does.
type Counters struct {
	set      *metrics.Set
	retried  *metrics.Counter
	replaced *metrics.Counter
	first    *metrics.Histogram
}

// NewCounters returns counters in a set.
func NewCounters(set *metrics.Set) *Counters {
	return &Counters{
		set:      set,
		retried:  set.NewCounter("spoke_retried_requests_total"),
		replaced: set.NewCounter("spoke_replaced_answers_total"),
		first:    set.NewHistogram("spoke_first_byte_seconds"),
	}
}

func (c *Counters) ended(service string, refusal *Refusal) {
	result := "answered"
	if refusal != nil {
		result = string(refusal.kind)
	}
	c.set.GetOrCreateCounter(`spoke_requests_total{service="` + service + `",result="` + result + `"}`).Inc()
}
