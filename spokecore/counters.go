package spokecore

import "github.com/VictoriaMetrics/metrics"

const resultAnswered = "answered"

// Counters count what a core does.
type Counters struct {
	set      *metrics.Set
	retried  *metrics.Counter
	resumed  *metrics.Counter
	replaced *metrics.Counter
	first    *metrics.Histogram
}

// NewCounters returns counters in a set.
func NewCounters(set *metrics.Set) *Counters {
	return &Counters{
		set:      set,
		retried:  set.NewCounter("spoke_retried_requests_total"),
		resumed:  set.NewCounter("spoke_resumed_answers_total"),
		replaced: set.NewCounter("spoke_replaced_answers_total"),
		first:    set.NewHistogram("spoke_first_byte_seconds"),
	}
}

// CountResult counts how a request to a service ended: with an answer, or with the
// kind of a refusal. A front counts what it refuses by itself.
func (c *Counters) CountResult(service, result string) {
	c.set.GetOrCreateCounter(`spoke_requests_total{service="` + service + `",result="` + result + `"}`).Inc()
}

// again counts a request that goes to another server.
func (c *Counters) again(resumed bool) {
	c.retried.Inc()
	if resumed {
		c.resumed.Inc()
	}
}
