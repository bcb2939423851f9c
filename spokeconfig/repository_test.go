package spokeconfig_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mulberryspoke.example/mulberryspoke/spokeconfig"
	"mulberryspoke.example/mulberryspoke/spokeerror"
)

// commandRun sends declarations of data centres to instances over one table.
type commandRun struct {
	*testing.T
	*memoryTable
}

// declare sends a declaration to an instance as spokeoperate does.
func (r commandRun) declare(repository *spokeconfig.Repository, base spokeconfig.Revision, items, id string) error {
	require.NoError(r, repository.Refresh(r.Context()))
	declaration := declarationOf(parseRegions(items))
	_, err := repository.Commit(r.Context(), base, spokeconfig.ProposeDeclaration(repository.Store.Current(), &declaration), id)
	return err
}

// requireContent checks the configuration in the table and that of an instance.
func (r commandRun) requireContent(repository *spokeconfig.Repository, revision spokeconfig.Revision, items string) {
	restarted := r.newRepository()
	for _, reader := range []*spokeconfig.Repository{repository, restarted} {
		require.NoError(r, reader.Refresh(r.Context()))
		require.Equal(r, revision, reader.Store.Revision())
		require.Equal(r, parseRegions(items), regionsOf(reader.Store))
	}
}

// TestCommitOfInstanceBehind guards against a declaration of which a part is not written, as its
// changes were computed from an older content than that of the base which the operator names.
func TestCommitOfInstanceBehind(t *testing.T) {
	r := commandRun{T: t, memoryTable: newMemoryTable()}
	first, behind := r.newRepository(), r.newRepository()
	require.NoError(t, r.declare(first, 0, "x=1 y=1", "one"))
	require.NoError(t, behind.Refresh(t.Context()))
	require.NoError(t, r.declare(first, 1, "x=2 y=1", "two"))
	// The first read is of the past.
	reads := 0
	r.viewFunc = func() int { reads++; return min(reads, len(r.history)-1) }
	err := r.declare(behind, 2, "x=1 y=2", "three")
	require.Equal(t, spokeconfig.KindUnavailable, spokeerror.KindOf[spokeconfig.Kind](err), "%v", err)
	r.viewFunc = nil
	require.NoError(t, r.declare(behind, 2, "x=1 y=2", "three"))
	r.requireContent(behind, 3, "x=1 y=2")
}

// TestCommitAcceptedElsewhere guards against an instance that holds its own changes at the
// revision at which a repetition of the command, with another base, was accepted.
func TestCommitAcceptedElsewhere(t *testing.T) {
	r := commandRun{T: t, memoryTable: newMemoryTable()}
	first, other := r.newRepository(), r.newRepository()
	require.NoError(t, r.declare(first, 0, "x=1 y=1", "one"))
	r.isRequestLostFunc = func() bool {
		r.isRequestLostFunc = nil
		require.NoError(t, other.Refresh(t.Context()))
		mark := spokeconfig.ProposeMark(other.Store.Current(), spokeconfig.Mark{Instance: "i", Kind: spokeconfig.MarkDrain})
		_, err := other.Commit(t.Context(), 1, mark, "two")
		require.NoError(t, err)
		require.NoError(t, r.declare(other, 2, "x=2 y=1", "three"))
		return true
	}
	require.NoError(t, r.declare(first, 1, "x=2 y=1", "three"))
	require.Equal(t, spokeconfig.Revision(3), first.Store.Revision())
	require.Equal(t, spokeconfig.MarkDrain, first.Store.Current().InstanceMark("i"))
	r.requireContent(first, 3, "x=2 y=1")
}
