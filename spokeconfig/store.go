package spokeconfig

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"mulberryspoke.example/mulberryspoke/spokeerror"
)

// Store holds the newest configuration that a process has received. The zero
// value is empty. It is safe for concurrent use.
type Store struct {
	mutex    sync.Mutex
	items    map[string]Item
	revision Revision
	// visited are the last revisions that were in force here. Which items were removed
	// since another one may not be known.
	visited []Revision
	current atomic.Pointer[Snapshot]
}

// maxVisited bounds the revisions from which a delta is made. Others get the whole
// configuration.
const maxVisited = 256

// digestBytes is the length of a digest, which is hexadecimal in the end.
const digestBytes = 6

// Current returns the configuration in force, or nil if there is none yet.
func (s *Store) Current() *Snapshot {
	return s.current.Load()
}

// Revision returns the revision in force, or zero if there is none yet.
func (s *Store) Revision() Revision {
	if current := s.current.Load(); current != nil {
		return current.revision
	}
	return 0
}

// Merge applies a delta and reports whether it changed the revision. A delta
// up to an older or the same revision changes nothing. Merge returns an error
// of kind KindGap if the delta starts after the store's revision, and of kind
// KindInvalid if an item is malformed; the store is then unchanged.
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
		return false, spokeerror.Newf("merge configuration", KindGap, "the delta starts at revision %d, but the store is at revision %d", delta.From, s.revision)
	}
	items := make(map[string]Item, len(s.items)+len(delta.Items))
	for key, item := range s.items {
		items[key] = item
	}
	isListed := make(map[string]bool, len(delta.Items))
	for _, item := range delta.Items {
		isListed[item.Key] = true
		if item.Revision > items[item.Key].Revision {
			items[item.Key] = item
		}
	}
	if delta.From == 0 {
		for key, item := range items {
			if !isListed[key] && len(item.Value) > 0 {
				items[key] = Item{Key: key, Revision: delta.To}
			}
		}
	}
	declaration, marks, err := declarationFromItems(sortedByKey(items))
	if err != nil {
		return false, err
	}
	s.items = items
	s.revision = delta.To
	s.visited = append(s.visited[max(0, len(s.visited)-maxVisited+1):], delta.To)
	snapshot := newSnapshot(delta.To, declaration, marks)
	snapshot.digest = digestOf(sortedByKey(items))
	s.current.Store(snapshot)
	return true, nil
}

// SetDeclaration puts a whole declaration in force at a revision and reports
// whether that revision was newer than the store's. Its errors are those of
// Merge.
func (s *Store) SetDeclaration(revision Revision, declaration Declaration) (bool, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delta := Delta{From: s.revision, To: revision}
	for _, change := range Diff(sortedByKey(s.items), declaration.Items()) {
		item := change.Item()
		item.Revision = revision
		delta.Items = append(delta.Items, item)
	}
	return s.merge(delta)
}

// DeltaSince returns the delta from a revision to the store's. It is the whole
// configuration if the revision was not in force here lately.
func (s *Store) DeltaSince(from Revision) Delta {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !slices.Contains(s.visited, from) {
		from = 0
	}
	delta := Delta{From: from, To: s.revision}
	for _, item := range sortedByKey(s.items) {
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
	present := make([]Item, 0, len(s.items))
	for _, item := range sortedByKey(s.items) {
		if len(item.Value) > 0 {
			present = append(present, item)
		}
	}
	return present
}

// digestOf returns a digest of the keys and values of ordered items, without removed ones.
func digestOf(items []Item) string {
	hash := sha256.New()
	for _, item := range items {
		if len(item.Value) == 0 {
			continue
		}
		// A zero byte occurs neither in a key nor in JSON.
		_, _ = io.WriteString(hash, item.Key)
		_, _ = hash.Write([]byte{0})
		_, _ = hash.Write(item.Value)
		_, _ = hash.Write([]byte{0})
	}
	return hex.EncodeToString(hash.Sum(nil)[:digestBytes])
}

func sortedByKey(items map[string]Item) []Item {
	sorted := make([]Item, 0, len(items))
	for _, item := range items {
		sorted = append(sorted, item)
	}
	slices.SortFunc(sorted, func(a, b Item) int { return strings.Compare(a.Key, b.Key) })
	return sorted
}
