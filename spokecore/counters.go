package spokecore

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

const resultAnswered = "answered"

// Counters are the metrics of a core.
type Counters struct {
	set       *metrics.Set
	retried   *metrics.Counter
	resumed   *metrics.Counter
	replaced  *metrics.Counter
	firstByte *metrics.Histogram
	// forecastRatio is that of the times to first events to their forecasts.
	forecastRatio *metrics.Histogram
}

// NewCounters returns counters that are registered in a set.
func NewCounters(set *metrics.Set) *Counters {
	return &Counters{
		set:           set,
		retried:       set.NewCounter("spoke_retried_requests_total"),
		resumed:       set.NewCounter("spoke_resumed_answers_total"),
		replaced:      set.NewCounter("spoke_replaced_answers_total"),
		firstByte:     set.NewHistogram("spoke_first_byte_seconds"),
		forecastRatio: set.NewHistogram("spoke_first_event_forecast_ratio"),
	}
}

// CountResult counts how a request to a service ended: with an answer, or with
// the kind of a refusal. A front calls it for requests that it refuses before
// they reach the core.
func (c *Counters) CountResult(service, result string) {
	c.set.GetOrCreateCounter(`spoke_requests_total{service="` + service + `",result="` + result + `"}`).Inc()
}

// countRetry counts a request that is sent to another server. Resumed is true
// if its answer has already started.
func (c *Counters) countRetry(resumed bool) {
	c.retried.Inc()
	if resumed {
		c.resumed.Inc()
	}
}

// countLimited counts a request of a route that was over a limit of its workspace.
func (c *Counters) countLimited(route string) {
	c.set.GetOrCreateCounter(`spoke_limited_requests_total{route="` + route + `"}`).Inc()
}

// countSlot counts a refused caller by what it was refused for and whether room is expected
// when it comes back.
func (c *Counters) countSlot(reason string, hasRoom bool) {
	c.set.GetOrCreateCounter(fmt.Sprintf("spoke_scheduled_returns_total{reason=%q,room=\"%t\"}", reason, hasRoom)).Inc()
}

// countRemoteBytes counts the bytes of one attempt at a server of another data centre.
func (c *Counters) countRemoteBytes(from, to string, requestBytes, answerBytes int) {
	for _, part := range []struct {
		direction string
		bytes     int
	}{{"request", requestBytes}, {"answer", answerBytes}} {
		c.set.GetOrCreateCounter(fmt.Sprintf("spoke_remote_bytes_total{from=%q,to=%q,direction=%q}", from, to, part.direction)).Add(part.bytes)
	}
}

// setLocalityShare sets the share of a service's requests that leave to a data centre.
func (c *Counters) setLocalityShare(service, from, to string, share float64) {
	c.set.GetOrCreateGauge(fmt.Sprintf("spoke_locality_share{service=%q,from=%q,to=%q}", service, from, to), nil).Set(share)
}

// countUnadmitted counts a request that was not sent to a server, by its route and the reason.
func (c *Counters) countUnadmitted(route, reason string) {
	c.set.GetOrCreateCounter(fmt.Sprintf("spoke_unadmitted_requests_total{route=%q,reason=%q}", route, reason)).Inc()
}

// setShortage sets whether the servers of a service are short.
func (c *Counters) setShortage(service string, isShort bool) {
	value := 0.0
	if isShort {
		value = 1
	}
	c.set.GetOrCreateGauge(fmt.Sprintf("spoke_service_short{service=%q}", service), nil).Set(value)
}
