package spokenews

import (
	"cmp"
	"slices"
)

// maxBatch bounds the items of one message. Many changes at once would otherwise fill
// the links between the instances.
const maxBatch = 16

// Log orders the changes of items, so that each link to a peer sends those since its
// last message. The zero value is ready to use. It is not safe for concurrent use.
type Log[Key comparable] struct {
	last      int64
	positions map[Key]position
}

// position has the sequence numbers of an item's last change, and of the last one that
// the peers of this data centre haven't heard of elsewhere.
type position struct {
	sequence      int64
	localSequence int64
}

// Batch are the items of one message, by their keys.
type Batch[Key comparable] struct {
	// Keys are the changed items, the earliest changes first.
	Keys []Key
	// Last is the sequence number up to which changes are included.
	Last int64
	// HasMore is whether there are later changes.
	HasMore bool
}

// Last returns the sequence number of the last change.
func (l *Log[Key]) Last() int64 { return l.last }

// Record records a change of an item. IsNewLocally is whether the peers of this data
// centre haven't heard of it elsewhere.
func (l *Log[Key]) Record(key Key, isNewLocally bool) {
	if l.positions == nil {
		l.positions = make(map[Key]position)
	}
	l.last++
	p := l.positions[key]
	p.sequence = l.last
	if isNewLocally {
		p.localSequence = l.last
	}
	l.positions[key] = p
}

// Forget removes an item.
func (l *Log[Key]) Forget(key Key) { delete(l.positions, key) }

// ChangedSince reports whether an item has changed after a sequence number.
func (l *Log[Key]) ChangedSince(key Key, sequence int64) bool {
	return l.positions[key].sequence > sequence
}

// Since returns the next message for a link that has sent the changes up to a sequence
// number. A peer of this data centre, for which isLocal is set, isn't told what others of
// it have told here. With zero, all items are due.
func (l *Log[Key]) Since(sequence int64, isLocal bool) Batch[Key] {
	sequenceOf := func(p position) int64 {
		if isLocal && sequence > 0 {
			return p.localSequence
		}
		return p.sequence
	}
	batch := Batch[Key]{Last: l.last}
	for key, p := range l.positions {
		if sequenceOf(p) > sequence {
			batch.Keys = append(batch.Keys, key)
		}
	}
	slices.SortFunc(batch.Keys, func(a, b Key) int {
		return cmp.Compare(sequenceOf(l.positions[a]), sequenceOf(l.positions[b]))
	})
	if len(batch.Keys) > maxBatch {
		batch.Keys, batch.HasMore = batch.Keys[:maxBatch], true
		batch.Last = sequenceOf(l.positions[batch.Keys[maxBatch-1]])
	}
	return batch
}
