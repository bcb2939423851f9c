package spokefeed_test

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeerror"
	"mulberryspoke.example/mulberryspoke/spokefeed"
	"mulberryspoke.example/mulberryspoke/spoketable"
)

const (
	simulatedReaders = 3
	// minShared is the number of instances from which one reads for the others.
	minShared = 6
	// hopTime is the time of a message between two instances or to the table.
	hopTime = 2 * time.Millisecond
	// storeTimeout bounds a read of the whole table.
	storeTimeout = 1500 * time.Millisecond
	// suspicionDelay is the time after which a peer that doesn't answer is suspected.
	suspicionDelay = time.Second
	stateReady     = "ready"
	stateLeaving   = "leaving"
)

// simulatedTable is a table with a feed of changes.
type simulatedTable struct {
	mutex   sync.Mutex
	rows    map[string]spoketable.Row
	removed map[string]spoketable.Version
	version spoketable.Version
	changed chan struct{}
}

func newSimulatedTable() *simulatedTable {
	return &simulatedTable{rows: map[string]spoketable.Row{}, removed: map[string]spoketable.Version{}, changed: make(chan struct{})}
}

// set changes a row, or removes it if the state is empty.
func (s *simulatedTable) set(key, state string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.version++
	if state == "" {
		delete(s.rows, key)
		s.removed[key] = s.version
	} else {
		s.rows[key] = spoketable.Row{Key: key, Value: []byte(state), Version: s.version}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *simulatedTable) all() ([]spoketable.Row, spokefeed.Position) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Collect(maps.Values(s.rows)), spokefeed.Position{Era: 1, Version: s.version}
}

// changesAfter returns the changes after a version, and a channel that is closed at the
// next one.
func (s *simulatedTable) changesAfter(version spoketable.Version) ([]spokefeed.Change, spokefeed.Position, chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var changes []spokefeed.Change
	for _, row := range s.rows {
		if row.Version > version {
			changes = append(changes, spokefeed.Change{Row: row})
		}
	}
	for key, removedAt := range s.removed {
		if removedAt > version {
			changes = append(changes, spokefeed.Change{Row: spoketable.Row{Key: key}, Removed: true})
		}
	}
	return changes, spokefeed.Position{Era: 1, Version: s.version}, s.changed
}

// instanceState is what is wrong with an instance.
type instanceState struct {
	isStopped, isFrozen, isCutOff bool
	// isTurnedAway means that the table refuses the instance, isIgnored that it doesn't
	// answer.
	isTurnedAway, isIgnored bool
	// delay is how much later the instance processes what it receives.
	delay time.Duration
	// silencedCalls is how often all calls in flight have fallen silent.
	silencedCalls int
}

func (s instanceState) isSound() bool {
	s.silencedCalls = 0
	return s == instanceState{}
}

// simulatedInstance is an instance that follows the table.
type simulatedInstance struct {
	name       string
	simulation *simulation

	mutex sync.Mutex
	state instanceState
	// changed is closed at the next change of state, the last one was at changedAt.
	changed   chan struct{}
	changedAt time.Time
	run       int64
	relay     *spokefeed.Relay
	rows      map[string]spoketable.Row
	stop      context.CancelFunc
}

// update changes the instance's state.
func (i *simulatedInstance) update(updateFunc func(s *instanceState)) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	updateFunc(&i.state)
	i.changedAt = time.Now()
	close(i.changed)
	i.changed = make(chan struct{})
}

func (i *simulatedInstance) current() (instanceState, chan struct{}) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.state, i.changed
}

// process waits until the instance gets to run.
func (i *simulatedInstance) process() {
	for {
		state, changed := i.current()
		if !state.isFrozen {
			time.Sleep(state.delay)
			return
		}
		<-changed
	}
}

// soundRows returns the rows of an instance that has had no fault for the time to
// recover, or nil.
func (i *simulatedInstance) soundRows(recovery time.Duration) map[string]spoketable.Row {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if !i.state.isSound() || time.Since(i.changedAt) <= recovery {
		return nil
	}
	return i.rows
}

// callTable waits until the table answers: at once if isReadyFunc says so, otherwise at
// its next change or the end of the wait.
func (i *simulatedInstance) callTable(ctx context.Context, wait time.Duration, isReadyFunc func() (bool, chan struct{})) error {
	time.Sleep(hopTime)
	defer i.process()
	defer time.Sleep(hopTime)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	isOver := wait == 0
	first, _ := i.current()
	for {
		state, stateChanged := i.current()
		isReady, tableChanged := isReadyFunc()
		isSilent := state.isIgnored || state.isCutOff || state.silencedCalls != first.silencedCalls
		if state.isTurnedAway {
			return spokeerror.Newf("call table", spokefeed.KindUnavailable, "refused")
		}
		if !isSilent && (isReady || isOver) {
			return nil
		}
		select {
		case <-stateChanged:
		case <-tableChanged:
		case <-timer.C:
			isOver = true
		case <-ctx.Done():
			return spokeerror.New("call table", spokefeed.KindUnavailable, ctx.Err())
		}
	}
}

// start starts the instance's follower, as after a start of its process.
func (i *simulatedInstance) start() {
	table, c := i.simulation.table, i.simulation.scenario
	bounds := c.bounds()
	clock := &spokeclock.Clock{}
	ctx, stop := context.WithCancel(context.Background())
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.run++
	i.stop, i.rows = stop, nil
	i.relay = &spokefeed.Relay{Generation: i.run, MaxConfirmAge: bounds.MaxConfirmAge(), Clock: clock}
	upstream := &spokefeed.Upstream{
		TableName: "servers", MaxWait: bounds.ReaderWait(), Clock: clock,
		ReadAllFunc: func(ctx context.Context) ([]spoketable.Row, spokefeed.Position, error) {
			ctx, cancel := context.WithTimeout(ctx, storeTimeout)
			defer cancel()
			rows, position := table.all()
			err := i.callTable(ctx, 0, func() (bool, chan struct{}) {
				rows, position = table.all()
				return true, nil
			})
			return rows, position, err
		},
		ChangesFunc: func(ctx context.Context, after spokefeed.Position, wait spokeclock.Millis) ([]spokefeed.Change, spokefeed.Position, error) {
			ctx, cancel := context.WithTimeout(ctx, (wait + spokefeed.TimeoutMargin).Duration())
			defer cancel()
			var changes []spokefeed.Change
			var position spokefeed.Position
			err := i.callTable(ctx, wait.Duration(), func() (isReady bool, changed chan struct{}) {
				changes, position, changed = table.changesAfter(after.Version)
				return len(changes) > 0, changed
			})
			if err != nil {
				return nil, after, err
			}
			return changes, position, nil
		},
		ReadersFunc: func() ([]string, bool) { return i.simulation.readers(i) },
		RelayFunc: func(ctx context.Context, peer string, request spokefeed.RelayRequest) (spokefeed.RelayUpdate, error) {
			defer i.process()
			return i.callRelay(ctx, i.simulation.instance(peer), request)
		},
	}
	follower := &spokefeed.Follower{
		TableName: "servers", ReadAllFunc: upstream.ReadAll, ChangesFunc: upstream.Changes, Relay: i.relay, RowsExpire: true, Bounds: bounds, Clock: clock, Log: zerolog.Nop(),
		PauseFunc: func(isRelayed bool) spokeclock.Millis {
			if _, isShared := i.simulation.readers(i); isRelayed || isShared {
				return spokefeed.MinPause
			}
			return c.DirectPause
		},
		RowsChangedFunc: func(rows map[string]spoketable.Row) {
			i.mutex.Lock()
			defer i.mutex.Unlock()
			i.rows = maps.Clone(rows)
		},
	}
	go follower.Run(ctx)
}

// halt ends the instance's follower.
func (i *simulatedInstance) halt() {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.stop()
}

// callRelay calls the relay of a peer over a link that is silent while one of the two is
// cut off.
func (i *simulatedInstance) callRelay(ctx context.Context, peer *simulatedInstance, request spokefeed.RelayRequest) (spokefeed.RelayUpdate, error) {
	type result struct {
		update spokefeed.RelayUpdate
		err    error
	}
	results := make(chan result, 1)
	first, _ := i.current()
	peerState, _ := peer.current()
	if peerState.isStopped {
		return spokefeed.RelayUpdate{}, spokeerror.Newf("call relay", spokefeed.KindUnavailable, "refused")
	}
	if !first.isCutOff && !peerState.isCutOff {
		peer.mutex.Lock()
		relay := peer.relay
		peer.mutex.Unlock()
		go func() {
			time.Sleep(hopTime)
			peer.process()
			update, err := relay.Changes(ctx, request)
			peer.process()
			results <- result{update, err}
		}()
	}
	select {
	case r := <-results:
		time.Sleep(hopTime)
		state, _ := i.current()
		peerState, _ = peer.current()
		if !state.isCutOff && !peerState.isCutOff && !peerState.isStopped && state.silencedCalls == first.silencedCalls {
			return r.update, r.err
		}
		<-ctx.Done()
	case <-ctx.Done():
	}
	return spokefeed.RelayUpdate{}, spokeerror.New("call relay", spokefeed.KindUnavailable, ctx.Err())
}

// simulation is a data centre whose instances follow a table.
type simulation struct {
	scenario  leavingCase
	table     *simulatedTable
	instances []*simulatedInstance
	start     time.Time
	// leftAt is when servers began to leave.
	leftAt map[string]time.Time
}

func (s *simulation) instance(name string) *simulatedInstance {
	return s.instances[slices.IndexFunc(s.instances, func(i *simulatedInstance) bool { return i.name == name })]
}

// readers returns which peers read the table for an instance, by its view of the
// members, and whether it reads for others.
func (s *simulation) readers(self *simulatedInstance) ([]string, bool) {
	var owners []string
	for _, i := range s.instances {
		i.mutex.Lock()
		isSuspected := i != self && (i.state.isStopped || i.state.isFrozen || i.state.isCutOff) && time.Since(i.changedAt) > suspicionDelay
		i.mutex.Unlock()
		if !isSuspected {
			owners = append(owners, i.name)
		}
	}
	if len(owners) < minShared {
		return nil, false
	}
	owners = owners[:simulatedReaders]
	if at := slices.Index(owners, self.name); at >= 0 {
		return owners[:at], true
	}
	return owners, false
}
