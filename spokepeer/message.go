package spokepeer

import (
	"mulberryspoke.example/mulberryspoke/spokeclaim"
	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeconfig"
	"mulberryspoke.example/mulberryspoke/spokemember"
)

const (
	methodHello        = "hello"
	methodHeartbeat    = "heartbeat"
	methodGoodbye      = "goodbye"
	methodConfigSince  = "config_since"
	methodAttemptState = "attempt_state"
	methodTableChanges = "table_changes"
	methodQuarantine   = "quarantine"
	methodServerLimits = "server_limits"
)

// Hello is the handshake of a link, sent by both sides.
type Hello struct {
	// Identity is the sender.
	Identity spokemember.Identity `json:"identity"`
	// Link numbers the connections that the sender's run has opened to any peer. It is zero in
	// a response.
	Link int64 `json:"link,omitempty"`
	// Revision is the configuration in force at the sender.
	Revision spokeconfig.Revision `json:"revision"`
	// DataCentres are the summaries that the sender has.
	DataCentres []spokemember.DataCentreSummary `json:"places,omitempty"`
}

// Heartbeat is the state of the sender. It omits what has not changed since the
// last heartbeat on the same link.
type Heartbeat struct {
	// Revision is the configuration in force.
	Revision spokeconfig.Revision `json:"revision"`
	// Interval is the time to the next heartbeat. Zero means unchanged.
	Interval spokeclock.Millis `json:"interval_millis,omitempty"`
	// Draining means that the sender is shutting down.
	Draining bool `json:"draining,omitempty"`
	// InFlight has the sender's requests in flight at each backend server, where
	// changed.
	InFlight InFlightByServer `json:"uses,omitempty"`
	// Slots has, as the count Requests, the slots of the backend servers whose
	// load reports the sender reads, where changed.
	Slots InFlightByServer `json:"slots,omitempty"`
	// Removals has, by name, the time until each backend server that is being
	// removed is gone.
	Removals map[string]spokeclock.Millis `json:"leaving,omitempty"`
	// RemovedGenerations has the generations of the servers in Removals, where
	// known.
	RemovedGenerations map[string]int64 `json:"leaving_generations,omitempty"`
	// DataCentres are the changed summaries and some unchanged ones.
	DataCentres []spokemember.DataCentreSummary `json:"places,omitempty"`
	// Counts has the sender's own counters, where changed.
	Counts map[string]int64 `json:"counts,omitempty"`
	// DataCentreCounts has the sums of other data centres or, towards those, of the
	// sender's own.
	DataCentreCounts []DataCentreCounts `json:"data_centre_counts,omitempty"`
}

// ConfigRequest requests the configuration changes since a revision.
type ConfigRequest struct {
	// SinceRevision is the revision that the sender has.
	SinceRevision spokeconfig.Revision `json:"from"`
}

// AttemptRequest requests the state of an attempt.
type AttemptRequest struct {
	// AttemptID is the attempt's identity.
	AttemptID string `json:"attempt"`
}

// AttemptResponse is the response to an AttemptRequest.
type AttemptResponse struct {
	// State is the state of the claim in the responding process. Empty means that
	// the attempt is unknown there.
	State spokeclaim.State `json:"state"`
}
