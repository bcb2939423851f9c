package spokeconfig_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mulberryspoke.example/mulberryspoke/spokeconfig"
	"mulberryspoke.example/mulberryspoke/spokeerror"
	"mulberryspoke.example/mulberryspoke/spoketable"
)

// TestRepositoryModel lets operators change the configuration through several instances over
// one table, whose reads may be of the past and whose responses may be lost. Commands are
// repeated at other instances, also while they are under way. It guards against a revision at
// which the table or an instance holds something else than what the operators wrote.
func TestRepositoryModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newRepositoryModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"": m.check, "declare": m.declare, "mark": m.mark, "repeat": m.repeat, "refresh": m.refresh, "refresh again": m.refresh, "fetch": m.fetch, "restart": m.restart,
		})
	})
}

// modelContent is a configuration: the regions of data centres and the marks on instances.
type modelContent struct{ regions, marks map[string]string }

// modelCommand is an operator's command.
type modelCommand struct {
	id string
	// base is the revision that the operator names, or -1 for the newest.
	base spokeconfig.Revision
	// applyFunc returns the content that the command leads to.
	applyFunc   func(modelContent) modelContent
	proposeFunc func(*spokeconfig.Snapshot) spokeconfig.Proposal
}

type repositoryModel struct {
	*memoryTable

	t *rapid.T
	// seen is the point of the history that the reads of one call have reached.
	seen         int
	contents     []modelContent
	commands     []modelCommand
	repositories []*spokeconfig.Repository
	isNested     bool
	// pending is the command that is under way. Once its request or response was lost,
	// cancel ends its wait.
	pending string
	isLost  bool
	cancel  context.CancelFunc
}

func newRepositoryModel(t *rapid.T) *repositoryModel {
	m := &repositoryModel{memoryTable: newMemoryTable(), t: t, contents: []modelContent{{regions: map[string]string{}, marks: map[string]string{}}}}
	m.viewFunc, m.isRequestLostFunc, m.isResponseLostFunc, m.committedFunc = m.nextView, m.isRequestLost, m.isResponseLost, m.recordCommit
	for range modelStores {
		m.repositories = append(m.repositories, m.newRepository())
	}
	return m
}

// nextView returns a point in time that is not before that of the last read of the call. If the
// command's response was lost, reads that don't find it end the wait for it.
func (m *repositoryModel) nextView() int {
	m.seen = rapid.IntRange(m.seen, len(m.history)-1).Draw(m.t, "view")
	if _, isAccepted := m.history[m.seen]["config/command/"+m.pending]; m.isLost && !isAccepted {
		m.cancel()
	}
	return m.seen
}

// isRequestLost lets another command be faster, and draws whether the request arrives.
func (m *repositoryModel) isRequestLost() bool {
	if !m.isNested && rapid.Bool().Draw(m.t, "other command first") {
		m.isNested = true
		seen, pending, cancel := m.seen, m.pending, m.cancel
		m.commandOnce(m.t)
		m.isNested, m.seen, m.pending, m.cancel = false, seen, pending, cancel
	}
	m.isLost = rapid.Bool().Draw(m.t, "lost request")
	return m.isLost
}

func (m *repositoryModel) isResponseLost() bool {
	m.isLost = rapid.Bool().Draw(m.t, "lost response")
	return m.isLost
}

// recordCommit applies the command of a commit to the content before it.
func (m *repositoryModel) recordCommit(rows map[string]spoketable.Row) {
	var head spokeconfig.Head
	require.NoError(m.t, json.Unmarshal(rows["config/head"].Value, &head))
	require.Equal(m.t, len(m.contents), int(head.Revision))
	i := slices.IndexFunc(m.commands, func(command modelCommand) bool { return command.id == head.Command })
	m.contents = append(m.contents, m.commands[i].applyFunc(m.contents[len(m.contents)-1]))
}

func (m *repositoryModel) draw(t *rapid.T, label string) *spokeconfig.Repository {
	m.t, m.seen = t, rapid.IntRange(0, len(m.history)-1).Draw(t, "view of the call")
	return m.repositories[rapid.IntRange(0, modelStores-1).Draw(t, label)]
}

// declare declares one of a few contents, on the newest base or the one in force.
func (m *repositoryModel) declare(t *rapid.T) {
	regions := map[string]string{}
	for _, name := range []string{"a", "b"} {
		if region := rapid.SampledFrom([]string{"", "x", "y"}).Draw(t, name); region != "" {
			regions[name] = region
		}
	}
	declaration := declarationOf(regions)
	base := spokeconfig.Revision(-1)
	if rapid.Bool().Draw(t, "named base") {
		base = spokeconfig.Revision(len(m.contents) - 1)
	}
	m.run(t, modelCommand{
		base:      base,
		applyFunc: func(before modelContent) modelContent { return modelContent{regions: regions, marks: before.marks} },
		proposeFunc: func(current *spokeconfig.Snapshot) spokeconfig.Proposal {
			return spokeconfig.ProposeDeclaration(current, &declaration)
		},
	})
}

func (m *repositoryModel) mark(t *rapid.T) {
	mark := spokeconfig.Mark{Instance: "i", Kind: rapid.SampledFrom([]spokeconfig.MarkKind{spokeconfig.MarkNone, spokeconfig.MarkDrain, spokeconfig.MarkStop}).Draw(t, "mark")}
	m.run(t, modelCommand{
		base: -1,
		applyFunc: func(before modelContent) modelContent {
			marks := map[string]string{}
			if mark.Kind != spokeconfig.MarkNone {
				marks[mark.Instance] = string(mark.Kind)
			}
			return modelContent{regions: before.regions, marks: marks}
		},
		proposeFunc: func(current *spokeconfig.Snapshot) spokeconfig.Proposal {
			return spokeconfig.ProposeMark(current, mark)
		},
	})
}

func (m *repositoryModel) run(t *rapid.T, command modelCommand) {
	command.id = fmt.Sprint(len(m.commands))
	m.commands = append(m.commands, command)
	m.send(t, command)
}

// repeat sends one of the commands again, which may have been accepted.
func (m *repositoryModel) repeat(t *rapid.T) {
	if len(m.commands) == 0 {
		t.Skip("no commands")
	}
	m.send(t, rapid.SampledFrom(m.commands).Draw(t, "command"))
}

// commandOnce sends a command while another one is under way.
func (m *repositoryModel) commandOnce(t *rapid.T) {
	if rapid.Bool().Draw(t, "repeated") {
		m.repeat(t)
		return
	}
	m.declare(t)
}

// send sends a command to an instance, as spokeoperate does.
func (m *repositoryModel) send(t *rapid.T, command modelCommand) {
	repository := m.draw(t, "instance")
	if repository.Refresh(context.Background()) != nil {
		return
	}
	proposal := command.proposeFunc(repository.Store.Current())
	base := command.base
	if base < 0 {
		base = proposal.Base()
	}
	var ctx context.Context
	ctx, m.cancel = context.WithCancel(context.Background())
	defer m.cancel()
	m.pending, m.isLost = command.id, false
	_, _ = repository.Commit(ctx, base, proposal, command.id)
	m.isLost = false
}

func (m *repositoryModel) refresh(t *rapid.T) {
	repository := m.draw(t, "instance")
	if err := repository.Refresh(context.Background()); err != nil {
		require.Equal(t, spokeconfig.KindUnavailable, spokeerror.KindOf[spokeconfig.Kind](err))
	}
}

func (m *repositoryModel) fetch(t *rapid.T) {
	receiver, sender := m.draw(t, "receiver"), m.draw(t, "sender")
	_, err := receiver.Store.Merge(sender.Store.DeltaSince(receiver.Store.Revision()))
	require.NoError(t, err)
}

func (m *repositoryModel) restart(t *rapid.T) {
	m.repositories[rapid.IntRange(0, modelStores-1).Draw(t, "restarted")] = m.newRepository()
}

// check compares what each instance holds with what the operators wrote at its revision.
func (m *repositoryModel) check(t *rapid.T) {
	for i, repository := range m.repositories {
		store := repository.Store
		held := modelContent{regions: regionsOf(store), marks: map[string]string{}}
		if current := store.Current(); current != nil {
			for _, mark := range current.Marks() {
				held.marks[mark.Instance] = string(mark.Kind)
			}
		}
		require.Equal(t, m.contents[store.Revision()], held, "instance %d at revision %d", i, store.Revision())
	}
}
