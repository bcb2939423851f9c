package spokeoperate

import (
	"context"
	"errors"
	"slices"
	"strings"

	"mulberryspoke.example/mulberryspoke/gen/command"
	"mulberryspoke.example/mulberryspoke/gen/types"
	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeconfig"
	"mulberryspoke.example/mulberryspoke/spokeerror"
	"mulberryspoke.example/mulberryspoke/spokemember"
)

const (
	// rolloutTimeout is how long a command waits for its revision to be in force
	// in every data centre.
	rolloutTimeout      = 6 * spokeclock.Second
	rolloutPollInterval = 50 * spokeclock.Millis(1)
	maxMarkAttempts     = 4
)

// CommandService implements the operators' commands. Set its fields before the
// first call. It is safe for concurrent use.
type CommandService struct {
	Authenticator
	// Repository reads and writes the configuration.
	Repository *spokeconfig.Repository
	// View has the revisions that are in force in the data centres.
	View *spokemember.View
	// Clock is the clock for timeouts. Nil means the system's clock.
	Clock *spokeclock.Clock
	// ChangedFunc is called after a change was accepted.
	ChangedFunc func()
}

// Apply implements the command service of the API.
func (c *CommandService) Apply(ctx context.Context, p *command.ApplyPayload) (*command.Applied, error) {
	if refused := c.authenticate(p.Authorization); refused != nil {
		return nil, refused
	}
	declaration, err := spokeconfig.Parse([]byte(p.Declaration))
	if err != nil {
		return nil, refuse("invalid", "invalid_declaration", outcomeNotRun, err)
	}
	if err := c.Repository.Refresh(ctx); err != nil {
		return nil, refuseCommit(err)
	}
	proposal := spokeconfig.ProposeDeclaration(c.Repository.Store.Current(), &declaration)
	base := spokeconfig.Revision(p.BaseRevision)
	if p.BaseRevision < 0 {
		base = proposal.Base()
	}
	return c.commit(ctx, base, proposal, p.CommandID, p.AllowPending)
}

// Mark implements the command service of the API. Concurrent marks on different
// instances do not conflict. Of two concurrent marks on the same instance, one
// is refused.
func (c *CommandService) Mark(ctx context.Context, p *command.MarkPayload) (*command.Applied, error) {
	if refused := c.authenticate(p.Authorization); refused != nil {
		return nil, refused
	}
	if err := c.Repository.Refresh(ctx); err != nil {
		return nil, refuseCommit(err)
	}
	mark := spokeconfig.Mark{Instance: p.Instance, Kind: spokeconfig.MarkKind(p.Mark)}
	key := spokeconfig.MarkItem(mark).Key
	before := c.itemValue(key)
	for range maxMarkAttempts {
		proposal := spokeconfig.ProposeMark(c.Repository.Store.Current(), mark)
		applied, err := c.commit(ctx, proposal.Base(), proposal, p.CommandID, true)
		var refused *types.Refusal
		if !errors.As(err, &refused) || refused.Detail.Type != string(spokeconfig.KindConflict) {
			return applied, err
		}
		if err := c.Repository.Refresh(ctx); err != nil {
			return nil, refuseCommit(err)
		}
		if c.itemValue(key) != before {
			return nil, refused
		}
	}
	return nil, refuse("conflict", string(spokeconfig.KindConflict), outcomeNotRun, errors.New("the mark conflicted with other changes on every attempt"))
}

// itemValue returns the value of an item as text, or "" if the item is absent.
func (c *CommandService) itemValue(key string) string {
	for _, item := range c.Repository.Store.Current().Items() {
		if item.Key == key {
			return string(item.Value)
		}
	}
	return ""
}

func (c *CommandService) commit(ctx context.Context, base spokeconfig.Revision, proposal spokeconfig.Proposal, id string, allowPending bool) (*command.Applied, error) {
	if unreachable := c.unreachableDataCentres(); len(unreachable) > 0 && !allowPending {
		return nil, refuse("unavailable", "data_centre_unreachable", outcomeNotRun,
			errors.New("not reachable: "+strings.Join(unreachable, ", ")+"; set allow_pending to accept the change anyway"))
	}
	revision, err := c.Repository.Commit(ctx, base, proposal, id)
	if err != nil && revision == 0 {
		return nil, refuseCommit(err)
	}
	c.ChangedFunc()
	c.waitForRollout(ctx, revision)
	return c.appliedResult(revision, proposal.Changes()), nil
}

// unreachableDataCentres returns the declared data centres of which this instance
// has no recent state.
func (c *CommandService) unreachableDataCentres() []string {
	current := c.Repository.Store.Current()
	if current == nil {
		return nil
	}
	var unreachable []string
	for _, declared := range current.Declaration().DataCentres {
		if !c.reachable(declared.Name) {
			unreachable = append(unreachable, declared.Name)
		}
	}
	return unreachable
}

func (c *CommandService) reachable(name string) bool {
	return slices.ContainsFunc(c.View.DataCentres(), func(p spokemember.DataCentreSummary) bool {
		return p.DataCentre == name && p.Reachable()
	})
}

// waitForRollout waits until a revision is in force in every data centre that is
// declared or known from its entry instances, or until rolloutTimeout has passed.
func (c *CommandService) waitForRollout(ctx context.Context, revision spokeconfig.Revision) {
	deadline := c.Clock.Now() + rolloutTimeout
	for c.Clock.Now() < deadline {
		if _, pending := c.rollout(revision); len(pending) == 0 {
			return
		}
		if spokeclock.Sleep(ctx, rolloutPollInterval) != nil {
			return
		}
	}
}

// rollout returns the data centres where a revision is in force, and those where
// it is not known to be in force.
func (c *CommandService) rollout(revision spokeconfig.Revision) (inForce, pending []string) {
	dataCentres := c.View.DataCentresAt(c.Repository.Store.Revision())
	for _, dataCentre := range dataCentres {
		if dataCentre.Revision >= revision {
			inForce = append(inForce, dataCentre.DataCentre)
		} else {
			pending = append(pending, dataCentre.DataCentre)
		}
	}
	for _, name := range c.unreachableDataCentres() {
		listed := slices.Contains(pending, name) || slices.Contains(inForce, name)
		if !listed {
			pending = append(pending, name)
		}
	}
	return inForce, pending
}

func (c *CommandService) appliedResult(revision spokeconfig.Revision, changes []spokeconfig.Change) *command.Applied {
	inForce, pending := c.rollout(revision)
	applied := &command.Applied{Revision: int64(revision), InForce: inForce, Pending: pending}
	for _, change := range changes {
		applied.Changes = append(applied.Changes, &command.Change{Item: change.Item().Key, Change: string(change.Kind())})
	}
	return applied
}

// refuseCommit returns the refusal for an error of the configuration repository.
func refuseCommit(err error) *types.Refusal {
	kind := spokeerror.KindOf[spokeconfig.Kind](err)
	switch kind {
	case spokeconfig.KindConflict:
		return refuse("conflict", string(kind), outcomeNotRun, err)
	case spokeconfig.KindOutcomeUnknown:
		return refuse("unavailable", string(kind), outcomeUnknown, err)
	case spokeconfig.KindInvalid:
		return refuse("invalid", string(kind), outcomeNotRun, err)
	default:
		return refuse("unavailable", string(spokeconfig.KindUnavailable), outcomeNotRun, err)
	}
}
