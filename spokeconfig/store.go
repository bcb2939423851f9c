package spokeconfig

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"mulberryspoke.example/mulberryspoke/spokeerror"
)

// Store holds the newest configuration that a process has received. It is the only place that
// puts a revision in force, and what it then holds is exactly what was written at that
// revision. Only content whose base is known is accepted for this: a whole configuration, or the
// changes since the revision that the store itself is at. The zero value is empty. It is
// safe for concurrent use.
type Store struct {
	mutex sync.Mutex
	items map[string]storedItem
	// visited are the last revisions that were in force here, the newest last.
	visited []Revision
	current atomic.Pointer[Snapshot]
}

// storedItem is an item that is or was in force.
type storedItem struct {
	// value is empty if the item has been removed.
	value json.RawMessage
	// changedAt is the revision at which this store saw the value change. Another store may
	// have skipped that revision or have seen an earlier one, so that it is only compared
	// with revisions that were in force here.
	changedAt Revision
}

// maxVisited bounds the revisions from which a delta is made. Others get the whole
// configuration.
const maxVisited = 256

// Current returns the configuration in force, or nil if there is none yet.
func (s *Store) Current() *Snapshot {
	return s.current.Load()
}

// Revision returns the revision in force, or zero if there is none yet.
func (s *Store) Revision() Revision {
	return s.Current().Revision()
}

// Merge applies a delta and reports whether it changed the revision. A delta up to an older or
// the same revision changes nothing. Merge returns an error of kind KindGap if the delta is
// based on another revision than the store's, and of kind KindInvalid if an item is malformed;
// the store is then unchanged.
func (s *Store) Merge(delta Delta) (bool, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	revision := s.Revision()
	if delta.To <= revision {
		return false, nil
	}
	values := make(map[string]json.RawMessage, len(s.items)+len(delta.Items))
	switch delta.From {
	case 0:
	case revision:
		for key, item := range s.items {
			values[key] = item.value
		}
	default:
		return false, spokeerror.Newf("merge configuration", KindGap, "the delta is based on revision %d, but the store is at revision %d", delta.From, revision)
	}
	for _, item := range delta.Items {
		values[item.Key] = item.Value
	}
	if err := s.replace(delta.To, values); err != nil {
		return false, err
	}
	return true, nil
}

// SetDeclaration puts a whole declaration in force at a revision, without any
// marks, and reports whether that revision was newer than the store's. Its errors
// are those of Merge.
func (s *Store) SetDeclaration(revision Revision, declaration Declaration) (bool, error) {
	return s.Merge(Delta{To: revision, Items: declaration.Items()})
}

// replace puts values by key in force at a newer revision. An empty value is that of a removed
// item. The caller holds the mutex.
func (s *Store) replace(to Revision, values map[string]json.RawMessage) error {
	visited := append(slices.Clone(s.visited[max(0, len(s.visited)-maxVisited+1):]), to)
	items := make(map[string]storedItem, len(values))
	for key, value := range values {
		if len(value) == 0 {
			continue
		}
		item := storedItem{value: value, changedAt: to}
		if old := s.items[key]; bytes.Equal(old.value, value) {
			item.changedAt = old.changedAt
		}
		items[key] = item
	}
	for key, old := range s.items {
		if _, isPresent := items[key]; isPresent {
			continue
		}
		removed := storedItem{changedAt: to}
		if len(old.value) == 0 {
			removed = old
		}
		// No delta can be based on a revision before the removal any more.
		if removed.changedAt > visited[0] {
			items[key] = removed
		}
	}
	present := presentItems(items)
	declaration, marks, err := declarationFromItems(present)
	if err != nil {
		return err
	}
	s.items, s.visited = items, visited
	s.current.Store(newSnapshot(to, present, declaration, marks))
	return nil
}

// DeltaSince returns the delta from a revision to the store's. It is the whole
// configuration if the revision was not in force here lately.
func (s *Store) DeltaSince(from Revision) Delta {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delta := Delta{To: s.Revision()}
	if !slices.Contains(s.visited, from) {
		delta.Items = s.Current().Items()
		return delta
	}
	delta.From = from
	for key, item := range s.items {
		if item.changedAt > from {
			delta.Items = append(delta.Items, Item{Key: key, Revision: item.changedAt, Value: item.value})
		}
	}
	sortByKey(delta.Items)
	return delta
}

// presentItems returns the items that are in force, ordered by key.
func presentItems(items map[string]storedItem) []Item {
	present := make([]Item, 0, len(items))
	for key, item := range items {
		if len(item.value) > 0 {
			present = append(present, Item{Key: key, Revision: item.changedAt, Value: item.value})
		}
	}
	sortByKey(present)
	return present
}

func sortByKey(items []Item) {
	slices.SortFunc(items, func(a, b Item) int { return strings.Compare(a.Key, b.Key) })
}
