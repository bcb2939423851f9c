package spokefeed

import (
	"context"
	"slices"
	"sync"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeerror"
	"mulberryspoke.example/mulberryspoke/spoketable"
)

const (
	// relayHistory is the number of changes that a relay keeps.
	relayHistory = 1024
	// maxUpdateBytes bounds an update. A link refuses longer messages, which ends all that
	// is told on it.
	maxUpdateBytes = 8 << 20
	// DefaultMaxConfirmAge is the default of Relay.MaxConfirmAge.
	DefaultMaxConfirmAge = spokeclock.Second
)

// RelayRequest asks a relay for the changes of a table.
type RelayRequest struct {
	// Table is the name of the table.
	Table string `json:"table"`
	// Generation and Sequence are the place in the relay's history after which to
	// continue. Zeros ask for all rows.
	Generation int64 `json:"generation,omitempty"`
	Sequence   int64 `json:"sequence,omitempty"`
	// Wait is how long to wait for changes.
	Wait spokeclock.Millis `json:"wait_millis,omitempty"`
}

// RelayUpdate is the answer to a RelayRequest.
type RelayUpdate struct {
	// Generation and Sequence are the place in the relay's history that the update
	// leads to.
	Generation int64 `json:"generation"`
	Sequence   int64 `json:"sequence"`
	// Position is the place in the history of the table that the relay has read to.
	Position Position `json:"position"`
	// Age is how long before the answer the rows were certainly those of the table.
	Age spokeclock.Millis `json:"age_millis,omitempty"`
	// IsWhole means that Rows are all rows, because the relay doesn't have the
	// changes since the requested place.
	IsWhole bool `json:"whole,omitempty"`
	// Rows are the changed rows, and Removed the keys of the removed ones.
	Rows    []spoketable.Row `json:"rows,omitempty"`
	Removed []string         `json:"removed,omitempty"`
}

// Relay passes the rows of a follower that reads its table directly on to other
// processes, which then need not read it. Set its fields before the first call. It
// is safe for concurrent use.
type Relay struct {
	// Generation identifies the run of this process.
	Generation int64
	// MaxConfirmAge is how long after the table's last answer the rows are passed on.
	// It bounds how outdated they are without the reader's knowledge. Zero means
	// DefaultMaxConfirmAge.
	MaxConfirmAge spokeclock.Millis
	// Clock is the time source, the same as that of the Upstream that is read. Nil
	// means the system clock.
	Clock *spokeclock.Clock

	mutex sync.Mutex
	rows  map[string]spoketable.Row
	// changes are the keys of the last changes. The last one has number sequence.
	changes     []string
	sequence    int64
	position    Position
	isConfirmed bool
	// changed is closed at the next change.
	changed chan struct{}
}

// set replaces the rows and their position at once: a request that waits for changes
// must not get new rows under an old position.
func (r *Relay) set(rows map[string]spoketable.Row, position Position) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if position.Relay == "" {
		r.position = position
	}
	for key, row := range rows {
		if before, known := r.rows[key]; !known || before.Version != row.Version || before.Era != row.Era || string(before.Value) != string(row.Value) {
			r.recordChange(key)
		}
	}
	for key := range r.rows {
		if _, present := rows[key]; !present {
			r.recordChange(key)
		}
	}
	r.rows = rows
	if r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
}

func (r *Relay) recordChange(key string) {
	r.sequence++
	r.changes = append(r.changes, key)
	if len(r.changes) > 2*relayHistory {
		r.changes = slices.Clone(r.changes[len(r.changes)-relayHistory:])
	}
}

// confirm records that the rows are those of the table at a position, and were at its
// time.
func (r *Relay) confirm(position Position) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.position = position
	r.isConfirmed = true
}

// revoke stops passing rows on until the next confirmation.
func (r *Relay) revoke() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.isConfirmed = false
}

// Changes returns the changes after the requested place, or all rows. It waits until
// there are any or the requested wait has passed. It returns an error of kind
// KindUnavailable if this process doesn't read the table directly or the table
// hasn't answered for MaxConfirmAge.
func (r *Relay) Changes(ctx context.Context, request RelayRequest) (RelayUpdate, error) {
	ctx, cancel := context.WithTimeout(ctx, request.Wait.Duration())
	defer cancel()
	for {
		update, changed, err := r.update(request)
		if err != nil || update.IsWhole || update.Sequence != request.Sequence {
			return update, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			update, _, err := r.update(request)
			return update, err
		}
	}
}

// update returns the present answer to a request, and a channel that is closed at
// the next change.
func (r *Relay) update(request RelayRequest) (RelayUpdate, <-chan struct{}, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	maxAge := r.MaxConfirmAge
	if maxAge == 0 {
		maxAge = DefaultMaxConfirmAge
	}
	age := r.Clock.Now() - r.position.ReadAt
	if !r.isConfirmed || age > maxAge {
		return RelayUpdate{}, nil, spokeerror.Newf("relay table", KindUnavailable, "the table has not answered this process for %d ms", age)
	}
	if r.changed == nil {
		r.changed = make(chan struct{})
	}
	update := RelayUpdate{Generation: r.Generation, Sequence: r.sequence, Position: r.position, Age: max(0, age)}
	missing := r.sequence - request.Sequence
	if request.Generation != r.Generation || missing < 0 || missing > int64(len(r.changes)) {
		update.IsWhole = true
		for _, row := range r.rows {
			update.Rows = append(update.Rows, row)
		}
		return update, r.changed, update.check()
	}
	included := make(map[string]bool, missing)
	for _, key := range r.changes[int64(len(r.changes))-missing:] {
		if included[key] {
			continue
		}
		included[key] = true
		if row, present := r.rows[key]; present {
			update.Rows = append(update.Rows, row)
		} else {
			update.Removed = append(update.Removed, key)
		}
	}
	return update, r.changed, update.check()
}

// check returns an error of kind KindUnavailable for an update that is too long.
func (u *RelayUpdate) check() error {
	size := 0
	for _, row := range u.Rows {
		size += len(row.Key) + len(row.Value)
	}
	if size > maxUpdateBytes {
		return spokeerror.Newf("relay table", KindUnavailable, "%d changed rows have %d bytes, more than %d", len(u.Rows), size, maxUpdateBytes)
	}
	return nil
}
