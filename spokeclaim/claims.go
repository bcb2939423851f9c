package spokeclaim

import (
	"context"
	"sync"

	"github.com/rs/zerolog"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokecloud"
	"mulberryspoke.example/mulberryspoke/spokeerror"
	"mulberryspoke.example/mulberryspoke/spokehttp"
	"mulberryspoke.example/mulberryspoke/spokeobject"
	"mulberryspoke.example/mulberryspoke/spokeplain"
	"mulberryspoke.example/mulberryspoke/spoketable"
)

const (
	// maxInlineBytes is the largest response body that is stored in the row
	// itself. Larger bodies go to the object store.
	maxInlineBytes = 16 << 10
	minRetryDelay  = 200 * spokeclock.Millis(1)
	maxRetryDelay  = 5 * spokeclock.Second
	// recordWaitTimeout is how long a response is held back for its record. After
	// that, the caller gets it while recording continues.
	recordWaitTimeout = 400 * spokeclock.Millis(1)
)

// Claims acquires, reassigns and releases claims. Set its fields before calling
// Run. It is safe for concurrent use.
type Claims struct {
	// Table stores the rows of the claims.
	Table *spoketable.Table
	// Objects stores response bodies that are too large for a row.
	Objects *spokeobject.Store
	// Owner is the name of this entry instance.
	Owner string
	// BatchDelay is the time for which row writes are collected into a
	// transaction. Zero means 4 ms.
	BatchDelay spokeclock.Millis
	// TransactionFunc, if set, is called before each transaction with its number
	// of rows.
	TransactionFunc func(rows int)
	// MemberCountFunc returns the number of entry instances that share
	// MaxTransactionsPerSecond. Nil means one.
	MemberCountFunc func() int
	// Log receives the log messages.
	Log zerolog.Logger

	initOnce      sync.Once
	writer        *writer
	mutex         sync.Mutex
	attemptStates map[string]State
	// pending counts the tasks that write claims in the background.
	pending sync.WaitGroup
}

// Claim is a claim on an idempotency key. It belongs to an attempt of this
// process or, if it is an existing claim, to any attempt.
type Claim struct {
	claims *Claims
	row    string
	// version is the version of the row as last read, acquired or reassigned.
	version spoketable.Version
	// baseVersion is the version that the row had before this claim, zero for a
	// new row.
	baseVersion spoketable.Version
	record      Record
	// uncertainAttempt is the attempt of a reassignment that failed and may have
	// taken effect, or empty.
	uncertainAttempt string
}

// Record returns the claim's row as last read, acquired or reassigned.
func (c *Claim) Record() Record { return c.record }

// Run writes claims to the table service until ctx ends.
func (c *Claims) Run(ctx context.Context) {
	c.initialise()
	var writers sync.WaitGroup
	for range writerCount {
		writers.Go(func() { c.writer.run(ctx) })
	}
	writers.Wait()
}

func (c *Claims) initialise() {
	c.initOnce.Do(func() {
		if c.TransactionFunc == nil {
			c.TransactionFunc = func(int) {}
		}
		if c.MemberCountFunc == nil {
			c.MemberCountFunc = func() int { return 1 }
		}
		c.writer = newWriter(c)
		c.attemptStates = make(map[string]State)
	})
}

// AcquireResult is the result of acquiring a claim without an error. Exactly one
// of Acquired and Existing is not nil.
type AcquireResult struct {
	acquired *Claim
	existing *Claim
}

// Acquired returns the new claim, or nil.
func (r AcquireResult) Acquired() *Claim { return r.acquired }

// Existing returns the conflicting claim of another attempt, or nil.
func (r AcquireResult) Existing() *Claim { return r.existing }

// Acquire claims a row for an attempt before the attempt is sent. After an error
// the attempt must not be sent. The error is of kind KindKeyReused if the row
// belongs to another request, and otherwise of kind KindUnavailable.
func (c *Claims) Acquire(ctx context.Context, row string, record Record) (AcquireResult, error) {
	return c.acquireAtVersion(ctx, row, 0, record)
}

// Replace acquires a claim in place of an old one whose attempt is certain not
// to run. Its errors are those of Acquire.
func (c *Claims) Replace(ctx context.Context, old *Claim, record Record) (AcquireResult, error) {
	return c.acquireAtVersion(ctx, old.row, old.version, record)
}

// acquireAtVersion writes the claim on condition that the row has the given
// version. Zero means that the row does not exist.
func (c *Claims) acquireAtVersion(ctx context.Context, row string, version spoketable.Version, record Record) (AcquireResult, error) {
	c.initialise()
	record.State = StateClaimed
	record.Owner = c.Owner
	record.ClaimedAt = spokeclock.Wall()
	claim := &Claim{claims: c, row: row, baseVersion: version, record: record}
	c.setAttemptState(record.AttemptID, StateClaimed)
	r := c.writer.writeRow(ctx, spoketable.Condition{Key: row, Version: version}, spoketable.EncodeWrite(row, record))
	if r.committed {
		claim.version = r.version
		return AcquireResult{acquired: claim}, nil
	}
	if r.err == nil {
		c.setAttemptState(record.AttemptID, "")
		return c.resolveConflict(ctx, row, r.current, record)
	}
	return c.resolveFailedWrite(ctx, claim, version, r.err)
}

// resolveConflict returns the claim that already exists in the row. If that claim
// was released or its row deleted, it acquires the row instead.
func (c *Claims) resolveConflict(ctx context.Context, row string, current spoketable.Row, record Record) (AcquireResult, error) {
	if current.Version == 0 {
		return c.acquireAtVersion(ctx, row, 0, record)
	}
	existing, err := spoketable.DecodeRow[Record](current)
	if err != nil {
		return AcquireResult{}, spokeerror.New("acquire claim", KindUnavailable, err)
	}
	if existing.RequestHash != record.RequestHash {
		return AcquireResult{}, spokeerror.Newf("acquire claim", KindKeyReused, "the idempotency key was used with another request")
	}
	if existing.State == StateReleased {
		return c.acquireAtVersion(ctx, row, current.Version, record)
	}
	return AcquireResult{existing: &Claim{claims: c, row: row, version: current.Version, record: existing}}, nil
}

// resolveFailedWrite handles a claim whose write failed. If the outcome of the
// write is unknown, it reads the row back. Only if the row shows the claim may
// the attempt be sent. Otherwise the attempt is never sent, and the row is
// released in the background.
func (c *Claims) resolveFailedWrite(ctx context.Context, claim *Claim, version spoketable.Version, cause error) (AcquireResult, error) {
	if spokeerror.KindOf[spoketable.Kind](cause) != spoketable.KindOutcomeUnknown {
		c.setAttemptState(claim.record.AttemptID, "")
		return AcquireResult{}, spokeerror.New("acquire claim", KindUnavailable, cause)
	}
	rows, err := c.Table.Read(ctx, claim.row)
	if err == nil && rows[0].Version > version {
		stored, decodeErr := spoketable.DecodeRow[Record](rows[0])
		if decodeErr == nil && stored.AttemptID == claim.record.AttemptID && stored.State == StateClaimed {
			claim.version = rows[0].Version
			return AcquireResult{acquired: claim}, nil
		}
	}
	c.setAttemptState(claim.record.AttemptID, StateReleased)
	c.releaseInBackground(claim)
	return AcquireResult{}, spokeerror.New("acquire claim", KindUnavailable, cause)
}

// Reassign moves a claim to another attempt at another server. The current
// attempt must be certain not to have been sent. After an error, which is of kind
// KindLost, the claim must be released.
func (c *Claim) Reassign(ctx context.Context, attemptID string, server spokecloud.Instance) error {
	next := c.record
	next.AttemptID = attemptID
	next.Server = server.Name
	next.ServerGeneration = server.Generation
	c.claims.setAttemptState(attemptID, StateClaimed)
	r := c.claims.writer.writeRow(ctx, spoketable.Condition{Key: c.row, Version: c.version}, spoketable.EncodeWrite(c.row, next))
	if !r.committed {
		c.claims.setAttemptState(attemptID, StateReleased)
		c.uncertainAttempt = attemptID
		return spokeerror.New("reassign claim", KindLost, r.err)
	}
	c.claims.setAttemptState(c.record.AttemptID, "")
	c.record = next
	c.version = r.version
	return nil
}

// RecordResponse records the response of the claim's attempt. It waits up to
// recordWaitTimeout. If the response is not recorded by then, or ctx ends first,
// it returns and recording continues in the background. It calls releaseFunc once the
// response is no longer held.
func (c *Claim) RecordResponse(ctx context.Context, response spokeplain.Response, releaseFunc func()) {
	finished := make(chan struct{})
	c.claims.runInBackground(func(ctx context.Context) {
		defer close(finished)
		defer releaseFunc()
		c.claims.retryUntilDone(ctx, func(ctx context.Context) bool { return c.tryRecordResponse(ctx, response) })
	})
	waitCtx, cancel := context.WithTimeout(ctx, recordWaitTimeout.Duration())
	defer cancel()
	select {
	case <-finished:
	case <-waitCtx.Done():
	}
}

// tryRecordResponse tries once to record a response. It returns true if the
// response is recorded or another write has changed the row.
func (c *Claim) tryRecordResponse(ctx context.Context, response spokeplain.Response) bool {
	next := c.record
	next.State = StateDone
	next.Response = response
	if len(response.Body) > maxInlineBytes {
		next.ObjectName = "outcome-" + c.record.AttemptID
		if c.claims.Objects.Put(ctx, next.ObjectName, response.Body) != nil {
			return false
		}
		next.Response.Body = nil
	}
	r := c.claims.writer.writeRow(ctx, spoketable.Condition{Key: c.row, Version: c.version}, spoketable.EncodeWrite(c.row, next))
	if r.err != nil {
		return c.rowHasChanged(ctx)
	}
	c.claims.setAttemptState(c.record.AttemptID, "")
	return true
}

// rowHasChanged reports whether the row has a later version, as after an earlier
// attempt to record whose write took effect although it returned an error. If it
// has, rowHasChanged also forgets the state of the attempt.
func (c *Claim) rowHasChanged(ctx context.Context) bool {
	rows, err := c.claims.Table.Read(ctx, c.row)
	if err != nil || rows[0].Version <= c.version {
		return false
	}
	c.claims.setAttemptState(c.record.AttemptID, "")
	return true
}

// RecordedResponse returns the recorded response of a claim in StateDone. It
// returns an error of kind KindUnavailable if the object store cannot be read, the record
// holds no valid response, or holdFunc doesn't allow to hold the response.
func (c *Claim) RecordedResponse(ctx context.Context, holdFunc spokehttp.HoldFunc) (spokeplain.Response, error) {
	response := c.record.Response
	if !spokehttp.IsStatus(response.Status) {
		return spokeplain.Response{}, spokeerror.Newf("read recorded response", KindUnavailable, "the record has the status %d", response.Status)
	}
	if c.record.ObjectName == "" {
		return response, nil
	}
	body, err := c.claims.Objects.Get(ctx, c.record.ObjectName, holdFunc)
	if err != nil {
		return spokeplain.Response{}, spokeerror.New("read recorded response", KindUnavailable, err)
	}
	response.Body = body
	return response, nil
}

// Release releases a claim whose attempt is certain not to have been sent. The
// row is written in the background.
func (c *Claim) Release() {
	c.claims.setAttemptState(c.record.AttemptID, StateReleased)
	c.claims.releaseInBackground(c)
}

// Abandon leaves the claim's row as it is, because the attempt may have run.
func (c *Claim) Abandon() {
	c.claims.setAttemptState(c.record.AttemptID, "")
}

// AttemptState returns the state of an attempt as known to this process, for
// other entry instances: StateClaimed while the attempt may be sent or is in
// flight, StateReleased if it was not and will not be sent, or "" if the attempt
// is not known here.
func (c *Claims) AttemptState(attemptID string) State {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.attemptStates[attemptID]
}

// setAttemptState sets the state of an attempt. An empty state forgets it.
func (c *Claims) setAttemptState(attemptID string, state State) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if state == "" {
		delete(c.attemptStates, attemptID)
		return
	}
	c.attemptStates[attemptID] = state
}

// Reload reads the claim's row again. It returns an error of kind
// KindUnavailable if the row cannot be read or does not exist.
func (c *Claim) Reload(ctx context.Context) error {
	rows, err := c.claims.Table.Read(ctx, c.row)
	if err != nil {
		return spokeerror.New("read claim", KindUnavailable, err)
	}
	if rows[0].Version == 0 {
		return spokeerror.Newf("read claim", KindUnavailable, "the claim's row was deleted")
	}
	record, err := spoketable.DecodeRow[Record](rows[0])
	if err != nil {
		return spokeerror.New("read claim", KindUnavailable, err)
	}
	c.version = rows[0].Version
	c.record = record
	return nil
}
