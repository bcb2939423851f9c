package spokefeed

import (
	"context"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeerror"
	"mulberryspoke.example/mulberryspoke/spoketable"
)

const (
	// RelayMargin is how long a relay may take beyond the wait of a request.
	RelayMargin = 400 * spokeclock.Millis(1)
	// relayRetryDelay is how long a relay is not used after it has failed.
	relayRetryDelay = 3 * spokeclock.Second
	// maxRelayAge bounds the age that a relay may state.
	maxRelayAge = 60 * spokeclock.Second
)

// Upstream reads a table through the relay of a peer, or directly. Set its fields
// before the first call. It is used by one goroutine.
type Upstream struct {
	// TableName is the name of the table.
	TableName string
	// ReadAllFunc and ChangesFunc read the table directly, as those of Follower.
	ReadAllFunc func(ctx context.Context) ([]spoketable.Row, Position, error)
	ChangesFunc func(ctx context.Context, after Position, wait spokeclock.Millis) ([]Change, Position, error)
	// ReadersFunc returns the peers that may read the table for this process, the next
	// one if all before it fail. Without any, this process reads it. IsShared is whether
	// peers may depend on it.
	ReadersFunc func() (peers []string, isShared bool)
	// RelayFunc sends a request to the relay of a peer.
	RelayFunc func(ctx context.Context, peer string, request RelayRequest) (RelayUpdate, error)
	// MaxWait is the longest wait of a poll through a relay, and of one that others
	// depend on, so that a failure of the reader is noticed soon.
	MaxWait spokeclock.Millis
	// Clock is the time source. Nil means the system clock.
	Clock *spokeclock.Clock

	// position is how far this process has read. No relay that is behind is followed,
	// as rows that were removed since would be in use again.
	position Position
	// pending is an update with all rows that has been received in place of changes.
	pending *RelayUpdate
	// failedUntil is until when a relay is not used after it has failed, by peer.
	failedUntil map[string]spokeclock.Millis
}

// reader returns the peer whose relay to use now, or "", and whether peers depend
// on this process.
func (u *Upstream) reader() (string, bool) {
	peers, isShared := u.ReadersFunc()
	now := u.Clock.Now()
	for _, peer := range peers {
		if now >= u.failedUntil[peer] {
			return peer, isShared
		}
	}
	return "", isShared
}

// ReadAll reads the whole table. Its errors are those of Follower.ReadAllFunc.
func (u *Upstream) ReadAll(ctx context.Context) ([]spoketable.Row, Position, error) {
	if pending := u.pending; pending != nil {
		u.pending = nil
		u.position = pending.Position
		return pending.Rows, pending.Position, nil
	}
	for peer, _ := u.reader(); peer != ""; peer, _ = u.reader() {
		update, err := u.callRelay(ctx, peer, RelayRequest{Table: u.TableName})
		if err != nil {
			continue
		}
		if update.Position.isBehind(u.position) {
			u.avoid(peer)
			continue
		}
		u.position = update.Position
		return update.Rows, update.Position, nil
	}
	startedAt := u.Clock.Now()
	rows, position, err := u.ReadAllFunc(ctx)
	if err != nil {
		return nil, position, err
	}
	position.ReadAt = startedAt
	u.position = position
	return rows, position, nil
}

// Changes returns the changes after a position. Its errors are those of
// Follower.ChangesFunc, or of KindSourceChanged if the table is now read in another
// way than at the position.
func (u *Upstream) Changes(ctx context.Context, after Position, wait spokeclock.Millis) ([]Change, Position, error) {
	peer, isShared := u.reader()
	if peer != "" && peer != after.Relay && !u.joinRelay(ctx, peer) {
		peer = after.Relay
	}
	if peer != after.Relay {
		return nil, after, spokeerror.Newf("read feed", KindSourceChanged, "table %s is now read through %q", u.TableName, peer)
	}
	if isShared || peer != "" {
		wait = min(wait, u.MaxWait)
	}
	if peer == "" {
		return u.readChanges(ctx, after, wait)
	}
	return u.relayedChanges(ctx, peer, after, wait)
}

// relayedChanges reads changes through a relay. If it has all rows instead, it keeps
// them for ReadAll and returns an error of KindSourceChanged.
func (u *Upstream) relayedChanges(ctx context.Context, peer string, after Position, wait spokeclock.Millis) ([]Change, Position, error) {
	update, err := u.callRelay(ctx, peer, RelayRequest{Table: u.TableName, Generation: after.RelayGeneration, Sequence: after.RelaySequence, Wait: wait})
	if err != nil {
		return nil, after, spokeerror.New("read feed", KindSourceChanged, err)
	}
	if update.Position.Era > after.Era && !update.IsWhole {
		// The follower compares a restored table with its copy as a whole.
		update, err = u.callRelay(ctx, peer, RelayRequest{Table: u.TableName})
		if err != nil {
			return nil, after, spokeerror.New("read feed", KindSourceChanged, err)
		}
	}
	if update.IsWhole {
		if update.Position.isBehind(u.position) {
			u.avoid(peer)
		} else {
			u.pending = &update
		}
		return nil, after, spokeerror.Newf("read feed", KindSourceChanged, "the relay of %s has another history of table %s", peer, u.TableName)
	}
	changes := make([]Change, 0, len(update.Rows)+len(update.Removed))
	for _, row := range update.Rows {
		changes = append(changes, Change{Row: row})
	}
	for _, key := range update.Removed {
		changes = append(changes, Change{Row: spoketable.Row{Key: key}, Removed: true})
	}
	u.position = update.Position
	return changes, update.Position, nil
}

// answeredAt returns the latest time at which the answer to a call was certainly sent.
// An answer may wait here until this process gets to run, so that its arrival doesn't show
// how new it is: one without changes was sent at the end of the wait, any other at its
// beginning or later.
func (u *Upstream) answeredAt(startedAt, wait spokeclock.Millis, isUnchanged bool) spokeclock.Millis {
	if !isUnchanged {
		return startedAt
	}
	return min(startedAt+wait, u.Clock.Now())
}

// readChanges reads changes from the table itself.
func (u *Upstream) readChanges(ctx context.Context, after Position, wait spokeclock.Millis) ([]Change, Position, error) {
	startedAt := u.Clock.Now()
	changes, position, err := u.ChangesFunc(ctx, after, wait)
	if err != nil {
		return nil, position, err
	}
	position.ReadAt = u.answeredAt(startedAt, wait, len(changes) == 0)
	u.position = position
	return changes, position, nil
}

// joinRelay fetches all rows from a relay before the table is no longer read in the
// present way. It reports whether that succeeded and the relay has read as far.
func (u *Upstream) joinRelay(ctx context.Context, peer string) bool {
	update, err := u.callRelay(ctx, peer, RelayRequest{Table: u.TableName})
	if err != nil || update.Position.isBehind(u.position) {
		return false
	}
	u.pending = &update
	return true
}

// callRelay sends a request to a relay. After a failure the relay is not used for
// relayRetryDelay. The position of the update includes the place in the relay's
// history.
func (u *Upstream) callRelay(ctx context.Context, peer string, request RelayRequest) (RelayUpdate, error) {
	ctx, cancel := context.WithTimeout(ctx, (request.Wait + RelayMargin).Duration())
	defer cancel()
	startedAt := u.Clock.Now()
	update, err := u.RelayFunc(ctx, peer, request)
	if err != nil {
		u.avoid(peer)
	}
	isUnchanged := !update.IsWhole && len(update.Rows)+len(update.Removed) == 0
	update.Position.ReadAt = u.answeredAt(startedAt, request.Wait, isUnchanged) - min(max(0, update.Age), maxRelayAge)
	update.Position.Relay, update.Position.RelayGeneration, update.Position.RelaySequence = peer, update.Generation, update.Sequence
	return update, err
}

// avoid keeps a relay from being used for relayRetryDelay.
func (u *Upstream) avoid(peer string) {
	if u.failedUntil == nil {
		u.failedUntil = make(map[string]spokeclock.Millis)
	}
	u.failedUntil[peer] = u.Clock.Now() + relayRetryDelay
}
