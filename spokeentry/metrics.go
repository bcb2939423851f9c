package spokeentry

// registerGauges adds the gauges, which are evaluated when metrics are read.
func (e *Entry) registerGauges() {
	traffic := e.peerNode.Traffic()
	e.metrics.NewGauge("spoke_active_requests", func() float64 { return float64(e.server.ActiveRequests()) })
	e.metrics.NewGauge("spoke_config_revision", func() float64 { return float64(e.store.Revision()) })
	e.metrics.NewGauge("spoke_live_entries", func() float64 { return float64(len(e.view.LiveLocalInstances())) })
	e.metrics.NewGauge("spoke_peer_sent_bytes", func() float64 { return float64(traffic.SentBytes()) })
	e.metrics.NewGauge("spoke_peer_received_bytes", func() float64 { return float64(traffic.ReceivedBytes()) })
	e.metrics.NewGauge("spoke_peer_heartbeats", func() float64 { return float64(traffic.SentHeartbeats()) })
}

// newTransactionFunc returns a function that counts a transaction on claims and
// the rows that it writes.
func (e *Entry) newTransactionFunc() func(int) {
	transactions := e.metrics.NewCounter("spoke_claim_transactions_total")
	rows := e.metrics.NewCounter("spoke_claim_rows_total")
	return func(rowCount int) {
		transactions.Inc()
		rows.Add(rowCount)
	}
}
