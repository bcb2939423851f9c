package spokeconfig

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"mulberryspoke.example/mulberryspoke/spokeerror"
)

// Store holds the newest configuration that a process has learned. The zero
// value holds none. It is safe for concurrent use.
type Store struct {
	mutex    sync.Mutex
	items    map[string]Item
	revision Revision
	current  atomic.Pointer[Snapshot]
}

// Current returns the configuration in force, or nil while none is known.
func (s *Store) Current() *Snapshot {
	return s.current.Load()
}

// Revision returns the revision in force, or zero while none is known.
func (s *Store) Revision() Revision {
	if current := s.current.Load(); current != nil {
		return current.revision
	}
	return 0
}

// Merge takes a delta in and reports whether it brought anything new. An older
// or equal revision changes nothing. It returns an error of kind KindGap when
// the delta starts behind the revision held, and of kind KindInvalid when an
// item is malformed; neither changes anything.
func (s *Store) Merge(delta Delta) (bool, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.merge(delta)
}

func (s *Store) merge(delta Delta) (bool, error) {
	if delta.To <= s.revision {
		return false, nil
	}
	if delta.From > s.revision {
		return false, spokeerror.Newf("merge configuration", KindGap, "delta starts at %d, held is %d", delta.From, s.revision)
	}
	items := make(map[string]Item, len(s.items)+len(delta.Items))
	for key, item := range s.items {
		items[key] = item
	}
	for _, item := range delta.Items {
		if item.Revision > items[item.Key].Revision {
			items[item.Key] = item
		}
	}
	declaration, marks, err := collect(ordered(items))
	if err != nil {
		return false, err
	}
	s.items = items
	s.revision = delta.To
	s.current.Store(newSnapshot(delta.To, declaration, marks))
	return true, nil
}

// SetDeclaration puts a whole declaration in force at a revision and reports whether
// it was newer than the one held. Its errors are those of Merge.
func (s *Store) SetDeclaration(revision Revision, declaration Declaration) (bool, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delta := Delta{From: s.revision, To: revision}
	for _, change := range Diff(ordered(s.items), declaration.Items()) {
		item := change.Item()
		item.Revision = revision
		delta.Items = append(delta.Items, item)
	}
	return s.merge(delta)
}

// DeltaSince returns what changed behind a revision.
func (s *Store) DeltaSince(from Revision) Delta {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delta := Delta{From: from, To: s.revision}
	for _, item := range ordered(s.items) {
		if item.Revision > from {
			delta.Items = append(delta.Items, item)
		}
	}
	return delta
}

// Items returns the items in force, ordered by key, without removed ones.
func (s *Store) Items() []Item {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	live := make([]Item, 0, len(s.items))
	for _, item := range ordered(s.items) {
		if len(item.Value) > 0 {
			live = append(live, item)
		}
	}
	return live
}

func ordered(items map[string]Item) []Item {
	list := make([]Item, 0, len(items))
	for _, item := range items {
		list = append(list, item)
	}
	slices.SortFunc(list, func(a, b Item) int { return strings.Compare(a.Key, b.Key) })
	return list
}
