package spokecheck

import (
	"encoding/json"
	"strings"

	"mulberryspoke.example/mulberryspoke/spokeconfig"
)

// Severity is how serious a finding is.
type Severity string

const (
	// SeverityError means that the configuration is refused or that a part of it can't
	// work.
	SeverityError Severity = "error"
	// SeverityWarning means that a part of the configuration has no effect or
	// contradicts another one.
	SeverityWarning Severity = "warning"
)

// Rule is the rule that a finding breaks.
type Rule string

const (
	// RuleInvalid means that a field has a value that is not allowed.
	RuleInvalid Rule = "invalid"
	// RuleUnreachable means that no request can match an entry.
	RuleUnreachable Rule = "unreachable"
	// RuleContradiction means that two limits contradict each other.
	RuleContradiction Rule = "contradiction"
	// RuleNoEffect means that a field is ignored.
	RuleNoEffect Rule = "no_effect"
)

// Finding is one problem of a configuration.
type Finding struct {
	severity Severity
	rule     Rule
	place    string
	text     string
}

// Severity returns how serious the finding is.
func (f Finding) Severity() Severity { return f.severity }

// Rule returns the rule that the finding breaks.
func (f Finding) Rule() Rule { return f.rule }

// Place returns the path of the field, with dots between its parts.
func (f Finding) Place() string { return f.place }

// Text returns what is wrong and why.
func (f Finding) Text() string { return f.text }

// MarshalJSON encodes the finding with its severity, rule, place and text.
func (f Finding) MarshalJSON() ([]byte, error) {
	return json.Marshal(struct {
		Severity Severity `json:"severity"`
		Rule     Rule     `json:"rule"`
		Place    string   `json:"place"`
		Text     string   `json:"text"`
	}{f.severity, f.rule, f.place, f.text})
}

// Difference is a change against the configuration in force.
type Difference struct {
	change spokeconfig.ChangeKind
	item   string
	fields []string
}

// Change returns whether the item was added, changed or removed.
func (d Difference) Change() spokeconfig.ChangeKind { return d.change }

// Item returns the key of the item, for example "service/assistant".
func (d Difference) Item() string { return d.item }

// Fields returns the changed fields of a changed item, each as "name: old -> new" in JSON
// and ordered by name.
func (d Difference) Fields() []string { return d.fields }

// MarshalJSON encodes the difference with its change, item and fields.
func (d Difference) MarshalJSON() ([]byte, error) {
	return json.Marshal(struct {
		Change spokeconfig.ChangeKind `json:"change"`
		Item   string                 `json:"item"`
		Fields []string               `json:"fields,omitempty"`
	}{d.change, d.item, d.fields})
}

// String returns the difference in one line.
func (d Difference) String() string {
	line := string(d.change) + " " + d.item
	if len(d.fields) > 0 {
		line += " (" + strings.Join(d.fields, "; ") + ")"
	}
	return line
}
