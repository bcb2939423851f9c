package spokeconfig_test

import (
	"encoding/json"
	"maps"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mulberryspoke.example/mulberryspoke/spokeconfig"
	"mulberryspoke.example/mulberryspoke/spokeerror"
)

const (
	modelStores = 4
	// maxRevisionStep makes gaps in the revisions that the operator writes.
	maxRevisionStep = 3
)

// TestRevisionModel lets several stores read declarations, some of which are skipped or come
// late, and fetch them from each other with answers that come at once, late, more than once or
// never. Stores also start anew. It guards against a store that is at a revision and holds
// something else than what was declared at it.
func TestRevisionModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newRevisionModel()
		t.Repeat(map[string]func(*rapid.T){
			"": m.check, "declare": m.declare, "take back": m.takeBack, "read": m.read, "read again": m.read, "fetch": m.fetch, "fetch again": m.fetch,
			"ask": m.ask, "answer": m.answer, "restart": m.restart,
		})
	})
}

// revisionModel is what the operator wrote, and the stores.
type revisionModel struct {
	newest       spokeconfig.Revision
	declarations map[spokeconfig.Revision]map[string]string
	stores       []*spokeconfig.Store
	// answers are deltas that a store has been sent and that haven't arrived, as JSON.
	answers []modelAnswer
}

type modelAnswer struct {
	receiver int
	delta    []byte
}

func newRevisionModel() *revisionModel {
	m := &revisionModel{declarations: map[spokeconfig.Revision]map[string]string{0: {}}}
	for range modelStores {
		m.stores = append(m.stores, &spokeconfig.Store{})
	}
	return m
}

func (m *revisionModel) write(t *rapid.T, regions map[string]string) {
	m.newest += spokeconfig.Revision(rapid.IntRange(1, maxRevisionStep).Draw(t, "step"))
	m.declarations[m.newest] = regions
}

// declare adds, changes and removes some data centres.
func (m *revisionModel) declare(t *rapid.T) {
	regions := maps.Clone(m.declarations[m.newest])
	for _, name := range []string{"a", "b", "c"} {
		switch change := rapid.SampledFrom([]string{"keep", "remove", "x", "y"}).Draw(t, name); change {
		case "keep":
		case "remove":
			delete(regions, name)
		default:
			regions[name] = change
		}
	}
	m.write(t, regions)
}

// takeBack declares anew what an earlier revision had.
func (m *revisionModel) takeBack(t *rapid.T) {
	m.write(t, m.declarations[m.drawRevision(t)])
}

// drawRevision returns a revision that was written.
func (m *revisionModel) drawRevision(t *rapid.T) spokeconfig.Revision {
	for revision := spokeconfig.Revision(rapid.IntRange(0, int(m.newest)).Draw(t, "revision")); ; revision-- {
		if _, isWritten := m.declarations[revision]; isWritten {
			return revision
		}
	}
}

func (m *revisionModel) drawStore(t *rapid.T, label string) int {
	return rapid.IntRange(0, modelStores-1).Draw(t, label)
}

// read lets a store read the newest declaration or, with a late response, an older one.
func (m *revisionModel) read(t *rapid.T) {
	revision := m.newest
	if rapid.Bool().Draw(t, "late") {
		revision = m.drawRevision(t)
	}
	_, err := m.stores[m.drawStore(t, "reader")].SetDeclaration(revision, declarationOf(m.declarations[revision]))
	require.NoError(t, err)
}

func (m *revisionModel) ask(t *rapid.T) {
	receiver, sender := m.drawStore(t, "receiver"), m.drawStore(t, "sender")
	delta, err := json.Marshal(m.stores[sender].DeltaSince(m.stores[receiver].Revision()))
	require.NoError(t, err)
	m.answers = append(m.answers, modelAnswer{receiver: receiver, delta: delta})
}

// answer delivers one of the answers, which may come once more.
func (m *revisionModel) answer(t *rapid.T) {
	if len(m.answers) == 0 {
		t.Skip("no answers")
	}
	m.deliver(t, rapid.SampledFrom(m.answers).Draw(t, "answer"))
}

func (m *revisionModel) deliver(t *rapid.T, answer modelAnswer) {
	var delta spokeconfig.Delta
	require.NoError(t, json.Unmarshal(answer.delta, &delta))
	if _, err := m.stores[answer.receiver].Merge(delta); err != nil {
		require.Equal(t, spokeconfig.KindGap, spokeerror.KindOf[spokeconfig.Kind](err))
	}
}

// fetch asks a peer and gets the answer at once. The store is then at least at the peer's
// revision.
func (m *revisionModel) fetch(t *rapid.T) {
	receiver, sender := m.drawStore(t, "receiver"), m.drawStore(t, "sender")
	delta := m.stores[sender].DeltaSince(m.stores[receiver].Revision())
	_, err := m.stores[receiver].Merge(delta)
	require.NoError(t, err)
	require.GreaterOrEqual(t, m.stores[receiver].Revision(), m.stores[sender].Revision())
}

func (m *revisionModel) restart(t *rapid.T) {
	restarted := m.drawStore(t, "restarted")
	m.stores[restarted] = &spokeconfig.Store{}
	remaining := m.answers[:0]
	for _, answer := range m.answers {
		if answer.receiver != restarted {
			remaining = append(remaining, answer)
		}
	}
	m.answers = remaining
}

// check compares what each store holds with what was declared at its revision.
func (m *revisionModel) check(t *rapid.T) {
	for i, store := range m.stores {
		require.Equal(t, m.declarations[store.Revision()], regionsOf(store), "store %d at revision %d", i, store.Revision())
	}
}
