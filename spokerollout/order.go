package spokerollout

import (
	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spoketable"
)

// State is the state of a rollout as its status row tells it.
type State string

const (
	// StateRunning means that the order has been read and nothing has been decided.
	StateRunning State = "running"
	// StateSucceeded means that all requests go to the ordered version.
	StateSucceeded State = "succeeded"
	// StateRolledBack means that the ordered version is bad and gets no requests.
	StateRolledBack State = "rolled_back"
)

// isFinal reports whether nothing follows the state.
func (s State) isFinal() bool { return s == StateSucceeded || s == StateRolledBack }

// Order is an operator's order to move a service to another software version.
type Order struct {
	// To is the ordered version.
	To string
	// TimeLimit is the time from the order by which its status must be final.
	TimeLimit spokeclock.Millis
	// Version is the version of the order's row. It tells orders of one version apart.
	Version spoketable.Version
}

// Status is the content of a status row.
type Status struct {
	State State  `json:"state"`
	To    string `json:"to"`
}

// IsValid reports whether the status has a known state and names a version.
func (s Status) IsValid() bool {
	return s.To != "" && (s.State == StateRunning || s.State.isFinal())
}

// StatusRow is a status row as it was read.
type StatusRow struct {
	Status
	// Version is the version of the row, or zero if there is none. A restore of the table
	// assigns later versions again, so that it identifies a change only together with the
	// content.
	Version spoketable.Version
	// Era is the table's era when the row was read. Versions of different eras can't be
	// compared.
	Era spoketable.Era
}

// Decision is a change in the state of a rollout, for logs.
type Decision struct {
	// Service is the service, and To the ordered version.
	Service string
	To      string
	// State is the state after the decision, Stage the stage and Share the part of the
	// new requests that go to the ordered version.
	State State
	Stage int
	Share float64
	// Reason says why. IsFirstHand is set if it is a verdict of this instance's own.
	Reason      string
	IsFirstHand bool
	// Age is the time since the order.
	Age spokeclock.Millis
	// EvidenceAge is the age of the newest answer of the ordered version that is known.
	EvidenceAge spokeclock.Millis
	// NewAnswers and OldAnswers are the answers of the ordered and of other versions, and
	// NewFailed and OldFailed how many of them were failures.
	NewAnswers, NewFailed int64
	OldAnswers, OldFailed int64
}
