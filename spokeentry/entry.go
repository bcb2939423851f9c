package spokeentry

import (
	"context"
	"math"
	"net"
	"net/http"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

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
	"mulberryspoke.example/mulberryspoke/spokememory"
	"mulberryspoke.example/mulberryspoke/spokeobject"
	"mulberryspoke.example/mulberryspoke/spokeoperate"
	"mulberryspoke.example/mulberryspoke/spokepeer"
	"mulberryspoke.example/mulberryspoke/spokeserve"
	"mulberryspoke.example/mulberryspoke/spoketable"
	"mulberryspoke.example/mulberryspoke/spokewatch"
)

const (
	drainPollInterval = 20 * spokeclock.Millis(1)
	pruneInterval     = 60 * spokeclock.Second
	headerTimeout     = 2 * spokeclock.Second
	// maxCommandTime is the time after which the connection of an operator's command may be
	// closed for another one. Commands write a few rows of the table. With 10 s, readiness
	// probes at this listener waited that long while commands that stop short took all places.
	maxCommandTime = 2 * spokeclock.Second
	// maxOperatorHeaderBytes is far above the headers of operators, probes and readers of
	// metrics.
	maxOperatorHeaderBytes = 64 << 10
	// memoryLimitRatio is the part of an instance's memory that GOMEMLIMIT leaves to the Go
	// runtime.
	memoryLimitRatio = 0.7
	megabyteShift    = 20
	// maxDescriptors stands for no limit of open files.
	maxDescriptors       = 1 << 20
	pendingClaimsTimeout = 5 * spokeclock.Second
	// maxOrderDelay is the longest time that an order takes to reach an engine.
	maxOrderDelay = 2 * spokeclock.Second
	// serverWaitTimeout is how long a request waits for a live backend server. A
	// restarted one is listed again within that time.
	serverWaitTimeout = 3 * spokeclock.Second
	// resumeWaitTimeout is the same for a request whose answer has started. It is
	// longer than the start of an instance that replaces the last one.
	resumeWaitTimeout = 15 * spokeclock.Second
)

// Entry is one entry instance. Set its fields before Run.
type Entry struct {
	// Settings are the validated settings.
	Settings Settings
	// Logs creates the loggers of the components.
	Logs spokelog.Root

	log            zerolog.Logger
	metrics        *metrics.Set
	store          *spokeconfig.Store
	repository     *spokeconfig.Repository
	view           *spokemember.View
	registry       *spokebackend.Registry
	claims         *spokeclaim.Claims
	peerNode       *spokepeer.Node
	poller         *spokewatch.Poller
	core           *spokecore.Core
	server         *spokeserve.Server
	commands       *spokeoperate.CommandService
	queries        *spokeoperate.QueryService
	pruneLease     *spokelease.Lease
	fleet          *spokefleet.Manager
	guard          *spokememory.Guard
	callerServer   *http.Server
	operatorServer *http.Server
	operatorLimit  *spokememory.ConnectionLimit
	unready        atomic.Bool
	killed         chan struct{}
	killOnce       sync.Once
	initOnce       sync.Once
	started        chan struct{}
}

// Run serves until ctx ends and then shuts down in order: it becomes unready,
// refuses new requests, waits for those in flight and for pending claims, and
// releases leases and links. It returns an error of kind KindListenFailed when
// an address can't be listened on, and of kind KindRequestsAborted when the
// shutdown cut off requests.
func (e *Entry) Run(ctx context.Context) error {
	e.init()
	listeners, err := e.listen(ctx)
	if err != nil {
		return err
	}
	e.buildComponents(listeners.peers)
	background, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	defer stopBackground()
	var running sync.WaitGroup
	e.startBackground(background, &running)
	running.Go(func() { spokehttp.Serve(e.callerServer, e.guard.Connections.Listener(listeners.callers), e.log) })
	running.Go(func() { spokehttp.Serve(e.operatorServer, e.operatorLimit.Listener(listeners.operators), e.log) })
	e.log.Info().Str("callers", e.Settings.CallerAddress).Msg("Entry instance is serving.")
	close(e.started)
	select {
	case <-ctx.Done():
		err = e.shutDown()
	case <-e.killed:
	}
	stopBackground()
	e.closeServers()
	running.Wait()
	return err
}

// Started returns a channel that is closed once the entry instance serves
// requests.
func (e *Entry) Started() <-chan struct{} {
	e.init()
	return e.started
}

// Kill stops the entry instance without a shutdown, as a crash would, except
// that its goroutines finish their current operation. It is safe for concurrent
// use.
func (e *Entry) Kill() {
	e.init()
	e.killOnce.Do(func() { close(e.killed) })
}

func (e *Entry) init() {
	e.initOnce.Do(func() {
		e.killed = make(chan struct{})
		e.started = make(chan struct{})
	})
}

// listeners are the open listeners of an entry instance.
type listeners struct {
	callers   net.Listener
	operators net.Listener
	peers     net.Listener
}

// listen opens the listeners and stores their addresses in the settings, in
// which port 0 stands for any free port.
func (e *Entry) listen(ctx context.Context) (listeners, error) {
	var opened listeners
	var config net.ListenConfig
	for _, target := range []struct {
		address  *string
		listener *net.Listener
	}{
		{&e.Settings.CallerAddress, &opened.callers},
		{&e.Settings.OperatorAddress, &opened.operators},
		{&e.Settings.PeerAddress, &opened.peers},
	} {
		listener, err := config.Listen(ctx, "tcp", *target.address)
		if err != nil {
			return opened, spokeerror.New("start entry instance", KindListenFailed, err)
		}
		*target.listener = listener
		*target.address = listener.Addr().String()
	}
	return opened, nil
}

// buildComponents creates and connects the components.
func (e *Entry) buildComponents(peers net.Listener) {
	e.log = e.Logs.Component("entry")
	e.metrics = metrics.NewSet()
	e.guard = spokememory.NewGuard(e.limits(), e.metrics, e.Logs.Component("serve"))
	client, noKeepAliveClient := spokehttp.NewClient(), spokehttp.NewNoKeepAliveClient()
	spokehttp.ChargeResponses(e.guard.OpenOwn, client, noKeepAliveClient)
	table := &spoketable.Table{URL: e.Settings.TableURL, Client: client, NoKeepAliveClient: noKeepAliveClient}
	objects := &spokeobject.Store{URL: e.Settings.ObjectURL, NoKeepAliveClient: noKeepAliveClient}
	e.store = &spokeconfig.Store{}
	e.repository = &spokeconfig.Repository{Table: table, Store: e.store}
	e.view = &spokemember.View{Self: e.identity()}
	e.registry = &spokebackend.Registry{DataCentre: e.Settings.DataCentre}
	e.claims = &spokeclaim.Claims{
		Table: table, Objects: objects, Owner: e.Settings.Name,
		TransactionFunc: e.newTransactionFunc(), MemberCountFunc: e.view.EntryInstanceCount, Log: e.Logs.Component("claim"),
	}
	e.peerNode = &spokepeer.Node{
		View: e.view, Store: e.store, Registry: e.registry, AttemptStateFunc: e.claims.AttemptState,
		Listener: e.guard.Peers.Listener(peers), LinkHeardFunc: e.guard.Peers.RecordHeartbeat, OpenHoldFunc: e.guard.OpenOwn, Log: e.Logs.Component("peer"),
	}
	e.registry.LongAnswersChangedFunc = e.peerNode.TriggerHeartbeatsIfFewLinks
	e.poller = &spokewatch.Poller{
		Cloud:      &spokecloud.Cloud{URL: e.Settings.CloudURL, ListURL: e.Settings.ListURL, Client: client, NoKeepAliveClient: noKeepAliveClient},
		Repository: e.repository, View: e.view, Registry: e.registry, Client: client,
		ChangedFunc: e.peerNode.TriggerHeartbeats, Log: e.Logs.Component("watch"),
	}
	e.pruneLease = e.newLease(table, "prune", 0)
	e.fleet = &spokefleet.Manager{
		Lease: e.newLease(table, "fleet", maxOrderDelay),
		Cloud: e.poller.Cloud, Registry: e.registry, Store: e.store, NoKeepAliveClient: noKeepAliveClient, DrainStartedFunc: e.peerNode.TriggerHeartbeats, Log: e.Logs.Component("fleet"),
	}
	e.buildServers(client, noKeepAliveClient)
	e.addSeedPeers()
	e.registerGauges()
}

// newLease returns the lease of a duty. One instance of each data centre contends
// for it.
func (e *Entry) newLease(table *spoketable.Table, duty string, maxDelay spokeclock.Millis) *spokelease.Lease {
	return &spokelease.Lease{
		ReadFunc: table.Read, TransactFunc: table.Transact, Name: duty, Holder: e.Settings.Name, MaxDeliveryDelay: maxDelay,
		EligibleFunc: func() bool { return e.view.OwnsDuty("duty/" + duty) },
		Log:          e.Logs.Component("lease"),
	}
}

func (e *Entry) buildServers(client, noKeepAliveClient *http.Client) {
	e.core = e.newCore()
	e.server = &spokeserve.Server{
		Core: e.core, Store: e.store, Claims: e.claims,
		AttemptStateFunc: e.peerNode.AttemptState, ConfigUpToDateFunc: e.peerNode.ConfigCheckDone,
		Client: client, NoKeepAliveClient: noKeepAliveClient,
		MaxBodyBytes: e.Settings.MaxBodyBytes, Budget: e.guard.Budget, Counters: spokeserve.NewCounters(e.metrics),
		Log: e.Logs.Component("serve"), Switches: e.switches(),
	}
	authenticator := spokeoperate.Authenticator{KeySHA256: e.Settings.OperatorKeySHA256}
	e.commands = &spokeoperate.CommandService{Authenticator: authenticator, Repository: e.repository, View: e.view, ChangedFunc: e.peerNode.TriggerHeartbeats}
	e.queries = &spokeoperate.QueryService{Authenticator: authenticator, Store: e.store, View: e.view, Registry: e.registry, Core: e.core, Leases: []*spokelease.Lease{e.pruneLease, e.fleet.Lease}}
	e.callerServer = &http.Server{Handler: e.callerHandler(), ReadHeaderTimeout: headerTimeout.Duration(), ConnState: e.guard.Connections.Update}
	e.operatorLimit = e.guard.NewSmallListener("operators", maxCommandTime)
	e.operatorServer = &http.Server{Handler: e.operatorHandler(), ReadHeaderTimeout: headerTimeout.Duration(), MaxHeaderBytes: maxOperatorHeaderBytes, ConnState: e.operatorLimit.Update}
}

// limits returns the bounds on callers: those that are set, else those derived from the
// memory limit of the Go runtime and the limit of open files.
func (e *Entry) limits() spokememory.Limits {
	memory := debug.SetMemoryLimit(-1)
	if memory == math.MaxInt64 {
		memory = 0
	}
	var files unix.Rlimit
	descriptors := 0
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &files); err == nil {
		descriptors = int(min(files.Cur, maxDescriptors))
	}
	derived := spokememory.DeriveLimits(int64(float64(memory)/memoryLimitRatio), descriptors)
	return derived.Overridden(spokememory.Limits{BudgetBytes: int64(e.Settings.BudgetMegabytes) << megabyteShift, Connections: e.Settings.Connections, PeerConnections: e.Settings.PeerConnections})
}

// newCore returns the core without the disabled mechanisms.
func (e *Entry) newCore() *spokecore.Core {
	core := &spokecore.Core{
		Registry: e.registry, Limiter: &spokelimit.Limiter{}, MemberCountFunc: e.view.EntryInstanceCount,
		DisableShortPriority: e.isDisabled("priority"), ServerWaitTimeout: serverWaitTimeout, ResumeWaitTimeout: resumeWaitTimeout,
		MoveOnRemoval: !e.isDisabled("move"), MoveOnSlowdown: !e.isDisabled("slow_move"),
		Counters: spokecore.NewCounters(e.metrics), Log: e.Logs.Component("serve"),
	}
	if !e.isDisabled("admission") {
		core.MaxWaitFunc = spokeserve.MaxWait
	}
	return core
}

func (e *Entry) isDisabled(mechanism string) bool {
	return slices.Contains(e.Settings.DisabledMechanisms, mechanism)
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
		DisableResume: e.isDisabled("resume"), DisableClaims: e.isDisabled("claims"),
		DisableCacheMove: e.isDisabled("cache_move"), DisablePriority: e.isDisabled("priority"),
	}
}

func (e *Entry) addSeedPeers() {
	for _, text := range e.Settings.SeedPeers {
		identity, err := parsePeer(text)
		if err == nil {
			e.view.AddSeedPeer(identity)
		}
	}
}

// startBackground starts the goroutines of all background work.
func (e *Entry) startBackground(ctx context.Context, running *sync.WaitGroup) {
	running.Go(func() { e.guard.Run(ctx) })
	running.Go(func() { e.claims.Run(ctx) })
	running.Go(func() { e.peerNode.Run(ctx) })
	running.Go(func() { e.poller.Run(ctx) })
	running.Go(func() { e.pruneLease.Run(ctx) })
	running.Go(func() { e.fleet.Lease.Run(ctx) })
	running.Go(func() { e.fleet.Run(ctx) })
	running.Go(func() { spokeclock.Every(ctx, pruneInterval, func() { e.pruneClaims(ctx) }) })
}

// pruneClaims deletes old claims if this instance holds the lease for it.
func (e *Entry) pruneClaims(ctx context.Context) {
	current := e.store.Current()
	if _, held := e.pruneLease.Held(); !held || current == nil {
		return
	}
	for _, workspace := range current.Declaration().Workspaces {
		if _, err := e.claims.Prune(ctx, workspace.Name, spokeclock.Wall()); err != nil {
			e.log.Warn().Err(err).Msg("Old claims could not be deleted.")
			return
		}
	}
}
