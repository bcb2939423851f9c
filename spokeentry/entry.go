package spokeentry

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"mulberryspoke.example/mulberryspoke/spokebackend"
	"mulberryspoke.example/mulberryspoke/spokeclaim"
	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokecloud"
	"mulberryspoke.example/mulberryspoke/spokeconfig"
	"mulberryspoke.example/mulberryspoke/spokecore"
	"mulberryspoke.example/mulberryspoke/spokeerror"
	"mulberryspoke.example/mulberryspoke/spokefleet"
	"mulberryspoke.example/mulberryspoke/spokehttp"
	"mulberryspoke.example/mulberryspoke/spokelease"
	"mulberryspoke.example/mulberryspoke/spokelimit"
	"mulberryspoke.example/mulberryspoke/spokelog"
	"mulberryspoke.example/mulberryspoke/spokemember"
	"mulberryspoke.example/mulberryspoke/spokeobject"
	"mulberryspoke.example/mulberryspoke/spokeoperate"
	"mulberryspoke.example/mulberryspoke/spokepeer"
	"mulberryspoke.example/mulberryspoke/spokeserve"
	"mulberryspoke.example/mulberryspoke/spoketable"
	"mulberryspoke.example/mulberryspoke/spokewatch"
)

const (
	drainPoll     = 20 * spokeclock.Millis(1)
	pruneInterval = 60 * spokeclock.Second
	headerTimeout = 2 * spokeclock.Second
	settleTimeout = 5 * spokeclock.Second
	// orderDelivery is the longest time an order takes to reach an engine.
	orderDelivery = 2 * spokeclock.Second
	// pickPatience is how long a request waits for a live backend server; a
	// restarted one is listed again by then.
	pickPatience = 3 * spokeclock.Second
	// resumePatience is the same for an answer that has begun. It outlasts the
	// start of an instance in place of the last one.
	resumePatience = 15 * spokeclock.Second
)

// Entry is one entry instance. Set its fields before Run.
type Entry struct {
	// Settings are the checked settings.
	Settings Settings
	// Logs is the source of the parts' loggers.
	Logs spokelog.Root

	log      zerolog.Logger
	metrics  *metrics.Set
	store    *spokeconfig.Store
	keeper   *spokeconfig.Repository
	view     *spokemember.View
	registry *spokebackend.Registry
	claims   *spokeclaim.Claims
	node     *spokepeer.Node
	watch    *spokewatch.Poller
	core     *spokecore.Core
	server   *spokeserve.Server
	commands *spokeoperate.CommandService
	queries  *spokeoperate.QueryService
	prune    *spokelease.Lease
	fleet    *spokefleet.Manager
	callers  *http.Server
	ops      *http.Server
	unready  atomic.Bool
	killed   chan struct{}
	killOnce sync.Once
	makeOnce sync.Once
	ready    chan struct{}
}

// Run serves until ctx ends and then shuts down in order: unready, no new
// requests, requests under way, records, leases, peers. It returns an error of
// kind KindListen when an address is taken, and of kind KindCut when requests
// were left unanswered.
func (e *Entry) Run(ctx context.Context) error {
	e.init()
	listeners, err := e.listen(ctx)
	if err != nil {
		return err
	}
	e.build(listeners.peers)
	duties, stopDuties := context.WithCancel(context.WithoutCancel(ctx))
	defer stopDuties()
	var running sync.WaitGroup
	e.startDuties(duties, &running)
	running.Go(func() { spokehttp.Serve(e.callers, listeners.callers, e.log) })
	running.Go(func() { spokehttp.Serve(e.ops, listeners.operators, e.log) })
	e.log.Info().Str("callers", e.Settings.CallerAddress).Msg("Entry instance serves.")
	close(e.ready)
	select {
	case <-ctx.Done():
		err = e.shutDown()
	case <-e.killed:
	}
	stopDuties()
	e.closeServers()
	running.Wait()
	return err
}

// Started returns a channel that closes once the entry instance serves.
func (e *Entry) Started() <-chan struct{} {
	e.init()
	return e.ready
}

// Kill ends the entry instance at once, as a crash would, but for what its
// goroutines are in the middle of. It is safe for concurrent use.
func (e *Entry) Kill() {
	e.init()
	e.killOnce.Do(func() { close(e.killed) })
}

func (e *Entry) init() {
	e.makeOnce.Do(func() {
		e.killed = make(chan struct{})
		e.ready = make(chan struct{})
	})
}

// listeners are the open sockets of an entry instance.
type listeners struct {
	callers   net.Listener
	operators net.Listener
	peers     net.Listener
}

// listen opens the sockets. An address with port 0 becomes the one that was
// free.
func (e *Entry) listen(ctx context.Context) (listeners, error) {
	var open listeners
	var config net.ListenConfig
	for _, wish := range []struct {
		address  *string
		listener *net.Listener
	}{
		{&e.Settings.CallerAddress, &open.callers},
		{&e.Settings.OperatorAddress, &open.operators},
		{&e.Settings.PeerAddress, &open.peers},
	} {
		listener, err := config.Listen(ctx, "tcp", *wish.address)
		if err != nil {
			return open, spokeerror.New("start entry instance", KindListenFailed, err)
		}
		*wish.listener = listener
		*wish.address = listener.Addr().String()
	}
	return open, nil
}

// build makes the parts and joins them.
func (e *Entry) build(peers net.Listener) {
	e.log = e.Logs.Component("entry")
	e.metrics = metrics.NewSet()
	client := spokehttp.NewClient()
	table := &spoketable.Table{URL: e.Settings.TableURL, Client: client}
	objects := &spokeobject.Store{URL: e.Settings.ObjectURL, Client: client}
	e.store = &spokeconfig.Store{}
	e.keeper = &spokeconfig.Repository{Table: table, Store: e.store}
	e.view = &spokemember.View{Self: e.identity()}
	e.registry = &spokebackend.Registry{DataCentre: e.Settings.DataCentre}
	e.claims = &spokeclaim.Claims{
		Table: table, Objects: objects, Owner: e.Settings.Name,
		TransactionFunc: e.countRows(), MemberCountFunc: e.view.EntryInstanceCount, Log: e.Logs.Component("claim"),
	}
	e.node = &spokepeer.Node{
		View: e.view, Store: e.store, Registry: e.registry, AttemptStateFunc: e.claims.AttemptState,
		Listener: peers, Log: e.Logs.Component("peer"),
	}
	e.registry.LongAnswersChangedFunc = e.node.TriggerHeartbeatsIfFewLinks
	e.watch = &spokewatch.Poller{
		Cloud:      &spokecloud.Cloud{URL: e.Settings.CloudURL, ListURL: e.Settings.ListURL, Client: client},
		Repository: e.keeper, View: e.view, Registry: e.registry, Client: client,
		ChangedFunc: e.node.TriggerHeartbeats, Log: e.Logs.Component("watch"),
	}
	e.prune = e.lease(table, "prune", 0)
	e.fleet = &spokefleet.Manager{
		Lease: e.lease(table, "fleet", orderDelivery),
		Cloud: e.watch.Cloud, Registry: e.registry, Store: e.store, Client: client, DrainStartedFunc: e.node.TriggerHeartbeats, Log: e.Logs.Component("fleet"),
	}
	e.buildServers(client)
	e.seed()
	e.publish()
}

// lease returns the lease of a duty, for which one instance of each data centre
// contends.
func (e *Entry) lease(table *spoketable.Table, duty string, delivery spokeclock.Millis) *spokelease.Lease {
	return &spokelease.Lease{
		ReadFunc: table.Read, TransactFunc: table.Transact, Name: duty, Holder: e.Settings.Name, MaxDeliveryDelay: delivery,
		EligibleFunc: func() bool { return e.view.OwnsDuty("duty/" + duty) },
		Log:          e.Logs.Component("lease"),
	}
}

func (e *Entry) buildServers(client *http.Client) {
	e.core = e.newCore()
	e.server = &spokeserve.Server{
		Core: e.core, Store: e.store, Claims: e.claims,
		AttemptStateFunc: e.node.AttemptState, ConfigUpToDateFunc: e.node.ConfigCheckDone,
		Client: client, NoKeepAliveClient: spokehttp.NewNoKeepAliveClient(),
		MaxBodyBytes: e.Settings.MaxBodyBytes, Counters: spokeserve.NewCounters(e.metrics),
		Log: e.Logs.Component("serve"), Switches: e.switches(),
	}
	gate := spokeoperate.Authenticator{KeySHA256: e.Settings.OperatorKeySHA256}
	e.commands = &spokeoperate.CommandService{Authenticator: gate, Repository: e.keeper, View: e.view, ChangedFunc: e.node.TriggerHeartbeats}
	e.queries = &spokeoperate.QueryService{Authenticator: gate, Store: e.store, View: e.view, Registry: e.registry, Core: e.core, Leases: []*spokelease.Lease{e.prune, e.fleet.Lease}}
	e.callers = &http.Server{Handler: e.callerHandler(), ReadHeaderTimeout: headerTimeout.Duration()}
	e.ops = &http.Server{Handler: e.operatorHandler(), ReadHeaderTimeout: headerTimeout.Duration()}
}

// newCore returns the core, without the mechanisms that are switched off.
func (e *Entry) newCore() *spokecore.Core {
	core := &spokecore.Core{
		Registry: e.registry, Limiter: &spokelimit.Limiter{}, MemberCountFunc: e.view.EntryInstanceCount,
		DisableShortPriority: e.switchedOff("priority"), ServerWaitTimeout: pickPatience, ResumeWaitTimeout: resumePatience,
		MoveOnRemoval: !e.switchedOff("move"), MoveOnSlowdown: !e.switchedOff("slow_move"),
		Counters: spokecore.NewCounters(e.metrics), Log: e.Logs.Component("serve"),
	}
	if !e.switchedOff("admission") {
		core.MaxWaitFunc = spokeserve.MaxWait
	}
	return core
}

func (e *Entry) switchedOff(name string) bool {
	return slices.Contains(e.Settings.DisabledMechanisms, name)
}

func (e *Entry) identity() spokemember.Identity {
	address := e.Settings.PeerAdvertise
	if address == "" {
		address = e.Settings.PeerAddress
	}
	return spokemember.Identity{
		Name:       e.Settings.Name,
		DataCentre: e.Settings.DataCentre,
		Address:    address,
		Generation: int64(spokeclock.Wall()),
	}
}

func (e *Entry) switches() spokeserve.Switches {
	return spokeserve.Switches{
		DisableResume: e.switchedOff("resume"), DisableClaims: e.switchedOff("claims"),
		DisableCacheMove: e.switchedOff("cache_move"), DisablePriority: e.switchedOff("priority"),
	}
}

func (e *Entry) seed() {
	for _, text := range e.Settings.SeedPeers {
		identity, err := parsePeer(text)
		if err == nil {
			e.view.AddSeedPeer(identity)
		}
	}
}

func (e *Entry) startDuties(ctx context.Context, running *sync.WaitGroup) {
	running.Go(func() { e.claims.Run(ctx) })
	running.Go(func() { e.node.Run(ctx) })
	running.Go(func() { e.watch.Run(ctx) })
	running.Go(func() { e.prune.Run(ctx) })
	running.Go(func() { e.fleet.Lease.Run(ctx) })
	running.Go(func() { e.fleet.Run(ctx) })
	running.Go(func() { spokeclock.Every(ctx, pruneInterval, func() { e.pruneOnce(ctx) }) })
}

// pruneOnce deletes old claims while this instance holds that duty.
func (e *Entry) pruneOnce(ctx context.Context) {
	current := e.store.Current()
	if _, held := e.prune.Held(); !held || current == nil {
		return
	}
	for _, workspace := range current.Declaration().Workspaces {
		if _, err := e.claims.Prune(ctx, workspace.Name, spokeclock.Wall()); err != nil {
			e.log.Warn().Err(err).Msg("Old claims could not be pruned.")
			return
		}
	}
}
