package spokeentry

// publish adds the gauges that are read when metrics are asked for.
func (e *Entry) publish() {
	traffic := e.node.Traffic()
	e.metrics.NewGauge("spoke_active_requests", func() float64 { return float64(e.server.ActiveRequests()) })
	e.metrics.NewGauge("spoke_config_revision", func() float64 { return float64(e.store.Revision()) })
	e.metrics.NewGauge("spoke_live_entries", func() float64 { return float64(len(e.view.LiveLocalInstances())) })
	e.metrics.NewGauge("spoke_peer_sent_bytes", func() float64 { return float64(traffic.SentBytes()) })
	e.metrics.NewGauge("spoke_peer_received_bytes", func() float64 { return float64(traffic.ReceivedBytes()) })
	e.metrics.NewGauge("spoke_peer_heartbeats", func() float64 { return float64(traffic.SentHeartbeats()) })
}

// countRows returns what counts the claims' transactions and rows.
func (e *Entry) countRows() func(int) {
	transactions := e.metrics.NewCounter("spoke_claim_transactions_total")
	rows := e.metrics.NewCounter("spoke_claim_rows_total")
	return func(count int) {
		transactions.Inc()
		rows.Add(count)
	}
}
