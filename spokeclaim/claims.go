package spokeclaim

import (
	"context"
	"sync"

	"github.com/rs/zerolog"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeerror"
	"mulberryspoke.example/mulberryspoke/spokeobject"
	"mulberryspoke.example/mulberryspoke/spokeplain"
	"mulberryspoke.example/mulberryspoke/spoketable"
)

const (
	inlineBytes    = 16 << 10
	settlePause    = 200 * spokeclock.Millis(1)
	settlePauseMax = 5 * spokeclock.Second
	finishPatience = 400 * spokeclock.Millis(1)
)

// Claims makes, moves and ends claims. Set its fields before Run. It is safe
// for concurrent use.
type Claims struct {
	// Table keeps the rows.
	Table *spoketable.Table
	// Objects keeps outcomes too large for a row.
	Objects *spokeobject.Store
	// Owner names this entry instance.
	Owner string
	// BatchDelay is how long changes are gathered into a transaction. Zero means
	// four milliseconds.
	BatchDelay spokeclock.Millis
	// TransactionFunc, if set, is told of each transaction's rows.
	TransactionFunc func(rows int)
	// MemberCountFunc returns how many entry instances share the table's budget.
	// Nil means one.
	MemberCountFunc func() int
	// Log takes the log lines.
	Log zerolog.Logger

	once    sync.Once
	writer  *writer
	mutex   sync.Mutex
	active  map[string]State
	pending sync.WaitGroup
}

// Claim is a claim held by an attempt of this process, or what stands in its
// way.
type Claim struct {
	claims  *Claims
	row     string
	version spoketable.Version
	base    spoketable.Version
	record  Record
}

// Record returns the claim's row as last seen.
func (c *Claim) Record() Record { return c.record }

// Run writes claims until ctx ends. It waits for what is still to be settled.
func (c *Claims) Run(ctx context.Context) {
	c.fill()
	var writers sync.WaitGroup
	for range writersCount {
		writers.Go(func() { c.writer.run(ctx) })
	}
	writers.Wait()
}

func (c *Claims) fill() {
	c.once.Do(func() {
		if c.TransactionFunc == nil {
			c.TransactionFunc = func(int) {}
		}
		if c.MemberCountFunc == nil {
			c.MemberCountFunc = func() int { return 1 }
		}
		c.writer = newWriter(c)
		c.active = make(map[string]State)
	})
}

// AcquireResult is the result of an attempt to claim.
type AcquireResult struct {
	own   *Claim
	other *Claim
}

// Acquired returns the claim made, or nil.
func (o AcquireResult) Acquired() *Claim { return o.own }

// Existing returns the claim that stands in the way, or nil.
func (o AcquireResult) Existing() *Claim { return o.other }

// Acquire claims a row for an attempt that will go to a server. It returns an
// error of kind KindMismatch when the row belongs to another request, and of
// kind KindUnavailable or KindBusy when nothing is claimed; the attempt must
// then not be sent.
func (c *Claims) Acquire(ctx context.Context, row string, record Record) (AcquireResult, error) {
	return c.makeOver(ctx, row, 0, record)
}

// Replace claims a row in place of a claim that is certain not to run.
func (c *Claims) Replace(ctx context.Context, old *Claim, record Record) (AcquireResult, error) {
	return c.makeOver(ctx, old.row, old.version, record)
}

func (c *Claims) makeOver(ctx context.Context, row string, version spoketable.Version, record Record) (AcquireResult, error) {
	c.fill()
	record.State = StateClaimed
	record.Owner = c.Owner
	record.ClaimedAt = spokeclock.Wall()
	claim := &Claim{claims: c, row: row, base: version, record: record}
	c.setActive(record.AttemptID, StateClaimed)
	r := c.writer.put(ctx, spoketable.Condition{Key: row, Version: version}, spoketable.EncodeWrite(row, record))
	if r.committed {
		claim.version = r.version
		return AcquireResult{own: claim}, nil
	}
	if r.err == nil {
		c.setActive(record.AttemptID, "")
		return c.inTheWay(ctx, row, r.current, record)
	}
	return c.afterFailure(ctx, claim, version, r.err)
}

// inTheWay reads the claim that holds the row. A released one is replaced.
func (c *Claims) inTheWay(ctx context.Context, row string, current spoketable.Row, record Record) (AcquireResult, error) {
	if current.Version == 0 {
		return c.makeOver(ctx, row, 0, record)
	}
	held, err := spoketable.DecodeRow[Record](current)
	if err != nil {
		return AcquireResult{}, spokeerror.New("make claim", KindUnavailable, err)
	}
	if held.RequestHash != record.RequestHash {
		return AcquireResult{}, spokeerror.Newf("make claim", KindKeyReused, "the key belongs to another request")
	}
	if held.State == StateReleased {
		return c.makeOver(ctx, row, current.Version, record)
	}
	return AcquireResult{other: &Claim{claims: c, row: row, version: current.Version, record: held}}, nil
}

// afterFailure resolves a claim whose write brought no answer. The attempt is
// sent only if reading back shows its claim; otherwise it never will be, and
// the row is released in the background.
func (c *Claims) afterFailure(ctx context.Context, claim *Claim, version spoketable.Version, cause error) (AcquireResult, error) {
	if spokeerror.KindOf[spoketable.Kind](cause) != spoketable.KindOutcomeUnknown {
		c.setActive(claim.record.AttemptID, "")
		return AcquireResult{}, spokeerror.New("make claim", KindUnavailable, cause)
	}
	rows, err := c.Table.Read(ctx, claim.row)
	if err == nil && rows[0].Version > version {
		held, decodeErr := spoketable.DecodeRow[Record](rows[0])
		if decodeErr == nil && held.AttemptID == claim.record.AttemptID && held.State == StateClaimed {
			claim.version = rows[0].Version
			return AcquireResult{own: claim}, nil
		}
	}
	c.setActive(claim.record.AttemptID, StateReleased)
	c.settleLater(claim)
	return AcquireResult{}, spokeerror.New("make claim", KindUnavailable, cause)
}

// Reassign points a claim at another server under another attempt, once the first
// is certain not to have been sent. It returns an error of kind KindLost or
// KindUnavailable; the claim must then be released.
func (c *Claim) Reassign(ctx context.Context, attempt, server string) error {
	next := c.record
	next.AttemptID = attempt
	next.Server = server
	c.claims.setActive(attempt, StateClaimed)
	r := c.claims.writer.put(ctx, spoketable.Condition{Key: c.row, Version: c.version}, spoketable.EncodeWrite(c.row, next))
	if !r.committed {
		c.claims.setActive(attempt, StateReleased)
		return spokeerror.New("move claim", KindLost, r.err)
	}
	c.claims.setActive(c.record.AttemptID, "")
	c.record = next
	c.version = r.version
	return nil
}

// RecordResponse records the outcome. It waits a while for the record, and goes on
// trying in the background after that.
func (c *Claim) RecordResponse(ctx context.Context, answer spokeplain.Response) {
	finished := make(chan struct{})
	c.claims.background(func(ctx context.Context) {
		defer close(finished)
		c.claims.persist(ctx, func(ctx context.Context) bool { return c.finishOnce(ctx, answer) })
	})
	wait, cancel := context.WithTimeout(ctx, finishPatience.Duration())
	defer cancel()
	select {
	case <-finished:
	case <-wait.Done():
	}
}

func (c *Claim) finishOnce(ctx context.Context, answer spokeplain.Response) bool {
	next := c.record
	next.State = StateDone
	next.Response = answer
	if len(answer.Body) > inlineBytes {
		next.ObjectName = "outcome-" + c.record.AttemptID
		if c.claims.Objects.Put(ctx, next.ObjectName, answer.Body) != nil {
			return false
		}
		next.Response.Body = nil
	}
	r := c.claims.writer.put(ctx, spoketable.Condition{Key: c.row, Version: c.version}, spoketable.EncodeWrite(c.row, next))
	if r.err != nil {
		return c.recorded(ctx)
	}
	c.claims.setActive(c.record.AttemptID, "")
	return true
}

// recorded reports whether an earlier try to record took effect.
func (c *Claim) recorded(ctx context.Context) bool {
	rows, err := c.claims.Table.Read(ctx, c.row)
	if err != nil || rows[0].Version == c.version {
		return false
	}
	c.claims.setActive(c.record.AttemptID, "")
	return true
}

// RecordedResponse returns the recorded outcome of a claim that is done. It returns an
// error of kind KindUnavailable.
func (c *Claim) RecordedResponse(ctx context.Context) (spokeplain.Response, error) {
	answer := c.record.Response
	if c.record.ObjectName == "" {
		return answer, nil
	}
	body, err := c.claims.Objects.Get(ctx, c.record.ObjectName)
	if err != nil {
		return spokeplain.Response{}, spokeerror.New("read outcome", KindUnavailable, err)
	}
	answer.Body = body
	return answer, nil
}

// Release gives up a claim whose attempt has certainly not been sent. The row
// is released in the background.
func (c *Claim) Release() {
	c.claims.setActive(c.record.AttemptID, StateReleased)
	c.claims.settleLater(c)
}

// Abandon leaves a claim standing whose attempt may have run.
func (c *Claim) Abandon() {
	c.claims.setActive(c.record.AttemptID, "")
}

// AttemptState tells a peer what this process knows of an attempt: StateClaimed
// while it is under way, StateReleased when it will never be sent, or "" when
// nothing is known.
func (c *Claims) AttemptState(attempt string) State {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.active[attempt]
}

func (c *Claims) setActive(attempt string, state State) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if state == "" {
		delete(c.active, attempt)
		return
	}
	c.active[attempt] = state
}

// Reload reads the claim's row again. It returns an error of kind
// KindUnavailable.
func (c *Claim) Reload(ctx context.Context) error {
	rows, err := c.claims.Table.Read(ctx, c.row)
	if err != nil {
		return spokeerror.New("read claim", KindUnavailable, err)
	}
	if rows[0].Version == 0 {
		return spokeerror.Newf("read claim", KindUnavailable, "the row is gone")
	}
	record, err := spoketable.DecodeRow[Record](rows[0])
	if err != nil {
		return spokeerror.New("read claim", KindUnavailable, err)
	}
	c.version = rows[0].Version
	c.record = record
	return nil
}
