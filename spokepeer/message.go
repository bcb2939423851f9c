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
)

// Hello opens a link.
type Hello struct {
	// Identity is who opens it, or who answers.
	Identity spokemember.Identity `json:"identity"`
	// Revision is the configuration in force there.
	Revision spokeconfig.Revision `json:"revision"`
	// DataCentres are the data centres known there.
	DataCentres []spokemember.DataCentreSummary `json:"places,omitempty"`
}

// Heartbeat tells a peer's state. What has not changed since the last one on
// the same link is left out.
type Heartbeat struct {
	// Revision is the configuration in force.
	Revision spokeconfig.Revision `json:"revision"`
	// Interval is the time to the next heartbeat, when it has changed.
	Interval spokeclock.Millis `json:"interval_millis,omitempty"`
	// Draining says that the instance shuts down.
	Draining bool `json:"draining,omitempty"`
	// InFlight are the requests under way at backend servers, where changed.
	InFlight InFlightByServer `json:"uses,omitempty"`
	// Slots are the slots of backend servers that the peer watches, where
	// changed, as their count of all.
	Slots InFlightByServer `json:"slots,omitempty"`
	// Removals are backend servers that take no new work, with the time left.
	Removals map[string]spokeclock.Millis `json:"leaving,omitempty"`
	// DataCentres are summaries of data centres.
	DataCentres []spokemember.DataCentreSummary `json:"places,omitempty"`
	// Counts are the instance's own counters, where changed.
	Counts map[string]int64 `json:"counts,omitempty"`
}

// ConfigRequest asks for what changed behind a revision.
type ConfigRequest struct {
	// SinceRevision is the revision held.
	SinceRevision spokeconfig.Revision `json:"from"`
}

// AttemptRequest asks what an instance knows of an attempt.
type AttemptRequest struct {
	// AttemptID is the attempt.
	AttemptID string `json:"attempt"`
}

// AttemptResponse tells it.
type AttemptResponse struct {
	// State is the claim's state in that process, empty when it knows nothing.
	State spokeclaim.State `json:"state"`
}
