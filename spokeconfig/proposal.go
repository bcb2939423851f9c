package spokeconfig

// Proposal is a change that has not been accepted yet, with the revision to whose content
// it applies.
type Proposal struct {
	base    Revision
	changes []Change
}

// ProposeDeclaration returns the change from a snapshot, which is nil before the first
// configuration, to a declaration.
func ProposeDeclaration(current *Snapshot, declaration *Declaration) Proposal {
	return Proposal{base: current.Revision(), changes: Diff(current.Items(), declaration.Items())}
}

// ProposeMark returns the change of a mark in a snapshot, which is nil before the first
// configuration.
func ProposeMark(current *Snapshot, mark Mark) Proposal {
	return Proposal{base: current.Revision(), changes: []Change{markChange(MarkItem(mark))}}
}

// Base returns the revision that the changes are based on.
func (p Proposal) Base() Revision { return p.base }

// Changes returns the changes, ordered by key.
func (p Proposal) Changes() []Change { return p.changes }
