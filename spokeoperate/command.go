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
	// forceWithin is how long a command waits for a revision to be in force
	// everywhere.
	forceWithin = 6 * spokeclock.Second
	forcePause  = 50 * spokeclock.Millis(1)
	markTries   = 4
)

// CommandService changes the configuration. Set its fields before the first call. It
// is safe for concurrent use.
type CommandService struct {
	Authenticator
	// Repository writes the configuration.
	Repository *spokeconfig.Repository
	// View tells how far data centres have come.
	View *spokemember.View
	// Clock tells the time. Nil means the real one.
	Clock *spokeclock.Clock
	// ChangedFunc is called when a change was accepted.
	ChangedFunc func()
}

// Apply implements the command service of the API.
func (c *CommandService) Apply(ctx context.Context, p *command.ApplyPayload) (*command.Applied, error) {
	if refused := c.check(p.Authorization); refused != nil {
		return nil, refused
	}
	declaration, err := spokeconfig.Parse([]byte(p.Declaration))
	if err != nil {
		return nil, refuse("invalid", "invalid_declaration", outcomeNotRun, err)
	}
	if err := c.Repository.Refresh(ctx); err != nil {
		return nil, refuseCommit(err)
	}
	base := spokeconfig.Revision(p.BaseRevision)
	if p.BaseRevision < 0 {
		base = c.Repository.Store.Revision()
	}
	changes := spokeconfig.Diff(c.Repository.Store.Items(), declaration.Items())
	return c.commit(ctx, base, changes, p.CommandID, p.AllowPending)
}

// Mark implements the command service of the API. Marks of different instances
// do not conflict; of two at once for the same instance, one is refused.
func (c *CommandService) Mark(ctx context.Context, p *command.MarkPayload) (*command.Applied, error) {
	if refused := c.check(p.Authorization); refused != nil {
		return nil, refused
	}
	if err := c.Repository.Refresh(ctx); err != nil {
		return nil, refuseCommit(err)
	}
	item := spokeconfig.MarkItem(spokeconfig.Mark{Instance: p.Instance, Kind: spokeconfig.MarkKind(p.Mark)})
	before := c.held(item.Key)
	for range markTries {
		applied, err := c.commit(ctx, c.Repository.Store.Revision(), c.change(item), p.CommandID, true)
		var refused *types.Refusal
		if !errors.As(err, &refused) || refused.Detail.Type != string(spokeconfig.KindConflict) {
			return applied, err
		}
		if err := c.Repository.Refresh(ctx); err != nil {
			return nil, refuseCommit(err)
		}
		if c.held(item.Key) != before {
			return nil, refused
		}
	}
	return nil, refuse("conflict", string(spokeconfig.KindConflict), outcomeNotRun, errors.New("too many changes at once"))
}

// held returns the value of an item as text, empty when it is absent.
func (c *CommandService) held(key string) string {
	for _, item := range c.Repository.Store.Items() {
		if item.Key == key {
			return string(item.Value)
		}
	}
	return ""
}

func (c *CommandService) change(item spokeconfig.Item) []spokeconfig.Change {
	return []spokeconfig.Change{spokeconfig.MarkChange(item)}
}

func (c *CommandService) commit(ctx context.Context, base spokeconfig.Revision, changes []spokeconfig.Change, id string, allowPending bool) (*command.Applied, error) {
	if cut := c.unreachable(); len(cut) > 0 && !allowPending {
		return nil, refuse("unavailable", "data_centre_unreachable", outcomeNotRun,
			errors.New("not reachable: "+strings.Join(cut, ", ")+"; allow_pending accepts all the same"))
	}
	revision, err := c.Repository.Commit(ctx, base, changes, id)
	if err != nil && revision == 0 {
		return nil, refuseCommit(err)
	}
	c.ChangedFunc()
	c.awaitForce(ctx, revision)
	return c.applied(revision, changes), nil
}

// unreachable returns the declared data centres not heard of lately.
func (c *CommandService) unreachable() []string {
	current := c.Repository.Store.Current()
	if current == nil {
		return nil
	}
	var cut []string
	for _, declared := range current.Declaration().DataCentres {
		if !c.reachable(declared.Name) {
			cut = append(cut, declared.Name)
		}
	}
	return cut
}

func (c *CommandService) reachable(name string) bool {
	return slices.ContainsFunc(c.View.DataCentres(), func(p spokemember.DataCentreSummary) bool {
		return p.DataCentre == name && p.Reachable()
	})
}

// awaitForce waits until a revision is in force in every data centre that is
// declared or heard of, or the time for that is over.
func (c *CommandService) awaitForce(ctx context.Context, revision spokeconfig.Revision) {
	until := c.Clock.Now() + forceWithin
	for c.Clock.Now() < until {
		if _, pending := c.spread(revision); len(pending) == 0 {
			return
		}
		if spokeclock.Sleep(ctx, forcePause) != nil {
			return
		}
	}
}

// spread tells where a revision is in force and where it is not known to be.
func (c *CommandService) spread(revision spokeconfig.Revision) (inForce, pending []string) {
	places := c.View.DataCentresAt(c.Repository.Store.Revision())
	for _, place := range places {
		if place.Revision >= revision {
			inForce = append(inForce, place.DataCentre)
		} else {
			pending = append(pending, place.DataCentre)
		}
	}
	for _, name := range c.unreachable() {
		known := slices.Contains(pending, name) || slices.Contains(inForce, name)
		if !known {
			pending = append(pending, name)
		}
	}
	return inForce, pending
}

func (c *CommandService) applied(revision spokeconfig.Revision, changes []spokeconfig.Change) *command.Applied {
	inForce, pending := c.spread(revision)
	applied := &command.Applied{Revision: int64(revision), InForce: inForce, Pending: pending}
	for _, change := range changes {
		applied.Changes = append(applied.Changes, &command.Change{Item: change.Item().Key, Change: string(change.Kind())})
	}
	return applied
}

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
