package spokedemo

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokecloud"
	"mulberryspoke.example/mulberryspoke/spokeconfig"
	"mulberryspoke.example/mulberryspoke/spokeentry"
	"mulberryspoke.example/mulberryspoke/spokeerror"
	"mulberryspoke.example/mulberryspoke/spokelog"
	"mulberryspoke.example/mulberryspoke/spokestandin"
)

const (
	loopback    = "127.0.0.1:0"
	readyWithin = 10 * spokeclock.Second
	readyPause  = 20 * spokeclock.Millis(1)
)

// LocalDeployment is a deployment in this process. Set its fields before Start.
type LocalDeployment struct {
	// Example is what to run.
	Example Example
	// Logs is the source of loggers.
	Logs spokelog.Root
	// StepTime is the time of an engine's step. Zero means the engine's own.
	StepTime time.Duration
	// SwitchOff names mechanisms to turn off.
	SwitchOff []string
	// StartedEngineSlots is the slots of engines that the cloud API starts. Zero means
	// the engine's own.
	StartedEngineSlots int
	// CallerAddress is where the first entry instance listens. Empty means any
	// free port.
	CallerAddress string

	ctx     context.Context
	mutex   sync.Mutex
	running sync.WaitGroup
	stops   map[string]func()
	table   *spokestandin.TableService
	cloud   *spokestandin.CloudAPI
	engines map[string]*spokestandin.Engine
	plains  map[string]*spokestandin.PlainServer
	entries []*spokeentry.Entry
	started int
	urls    platformURLs
}

type platformURLs struct {
	table  string
	object string
	cloud  string
}

// Start runs the deployment until ctx ends and applies its declaration. It
// returns an error of kind KindStart.
func (l *LocalDeployment) Start(ctx context.Context) error {
	l.ctx = ctx
	l.stops = make(map[string]func())
	l.engines = make(map[string]*spokestandin.Engine)
	l.plains = make(map[string]*spokestandin.PlainServer)
	if err := l.startPlatform(); err != nil {
		return err
	}
	for _, place := range l.Example.Deployment.DataCentres {
		if err := l.startServers(place); err != nil {
			return err
		}
	}
	for _, place := range l.Example.Deployment.DataCentres {
		if err := l.startEntries(place); err != nil {
			return err
		}
	}
	return l.Apply(ctx, l.Example.Declaration)
}

// Wait waits until everything has stopped after ctx ended.
func (l *LocalDeployment) Wait() { l.running.Wait() }

// listenAndServe serves a handler on a free port and returns its address.
func (l *LocalDeployment) listenAndServe(name string, handler http.Handler) (string, error) {
	var config net.ListenConfig
	listener, err := config.Listen(l.ctx, "tcp", loopback)
	if err != nil {
		return "", spokeerror.New("start "+name, KindStartFailed, err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	l.running.Go(func() { _ = server.Serve(listener) })
	stop := sync.OnceFunc(func() { _ = server.Close() })
	context.AfterFunc(l.ctx, stop)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.stops[name] = stop
	return listener.Addr().String(), nil
}

func (l *LocalDeployment) startPlatform() error {
	l.table = &spokestandin.TableService{}
	l.cloud = &spokestandin.CloudAPI{KillFunc: func(i spokecloud.Instance) { l.Kill(i.Name) }, StartFunc: l.startInstance}
	tableAddress, err := l.listenAndServe("table", l.table.Handler())
	if err != nil {
		return err
	}
	objectAddress, err := l.listenAndServe("object", (&spokestandin.ObjectStore{}).Handler())
	if err != nil {
		return err
	}
	cloudAddress, err := l.listenAndServe("cloud", l.cloud.Handler())
	if err != nil {
		return err
	}
	l.urls = platformURLs{table: "http://" + tableAddress, object: "http://" + objectAddress, cloud: "http://" + cloudAddress}
	return nil
}

func (l *LocalDeployment) startServers(place DataCentre) error {
	for _, servers := range place.Servers {
		for i := range servers.Count {
			name := fmt.Sprintf("%s-%s-%d", place.Name, servers.Service, i+1)
			if err := l.startServer(place.Name, name, servers); err != nil {
				return err
			}
		}
	}
	return nil
}

// startInstance starts a model engine for the cloud API.
func (l *LocalDeployment) startInstance(request spokecloud.StartRequest) (spokecloud.Instance, bool) {
	l.mutex.Lock()
	l.started++
	name := fmt.Sprintf("%s-%s-started-%d", request.DataCentre, request.Service, l.started)
	l.mutex.Unlock()
	address, err := l.listenAndServe(name, l.engineHandler(name, ServerGroup{Slots: l.StartedEngineSlots}))
	if err != nil {
		return spokecloud.Instance{}, false
	}
	return spokecloud.Instance{
		Name: name, Role: spokecloud.RoleBackend, Service: request.Service, DataCentre: request.DataCentre,
		Address: address, MachineClass: request.MachineClass, Reclaimable: request.Reclaimable,
	}, true
}

func (l *LocalDeployment) startServer(place, name string, servers ServerGroup) error {
	handler := l.plainHandler(name)
	if servers.Kind == spokeconfig.ServiceModel {
		handler = l.engineHandler(name, servers)
	}
	address, err := l.listenAndServe(name, handler)
	if err != nil {
		return err
	}
	l.cloud.Control(spokestandin.CloudControlRequest{Register: []spokecloud.Instance{{
		Name: name, Role: spokecloud.RoleBackend, Service: servers.Service, DataCentre: place,
		Address: address, MachineClass: servers.MachineClass, Reclaimable: servers.Reclaimable,
	}}})
	return nil
}

func (l *LocalDeployment) plainHandler(name string) http.Handler {
	plain := &spokestandin.PlainServer{Name: name}
	l.plains[name] = plain
	return plain.Handler()
}

func (l *LocalDeployment) engineHandler(name string, servers ServerGroup) http.Handler {
	engine := &spokestandin.Engine{Name: name, Slots: servers.Slots, StepTime: l.StepTime}
	l.mutex.Lock()
	l.engines[name] = engine
	l.mutex.Unlock()
	handler := engine.Handler()
	l.running.Go(func() { engine.Run(l.ctx) })
	return handler
}

func (l *LocalDeployment) startEntries(place DataCentre) error {
	for i := range place.EntryInstances {
		name := fmt.Sprintf("%s-entry-%d", place.Name, i+1)
		if err := l.startEntry(place.Name, name); err != nil {
			return err
		}
	}
	return nil
}

func (l *LocalDeployment) startEntry(place, name string) error {
	settings, err := l.settings(place, name)
	if err != nil {
		return err
	}
	entry := &spokeentry.Entry{Settings: settings, Logs: l.Logs.WithField("instance", name)}
	l.entries = append(l.entries, entry)
	failed := make(chan error, 1)
	l.running.Go(func() { failed <- entry.Run(l.ctx) })
	select {
	case err := <-failed:
		return spokeerror.New("start "+name, KindStartFailed, err)
	case <-entry.Started():
	}
	l.stops[name] = entry.Kill
	l.cloud.Control(spokestandin.CloudControlRequest{Register: []spokecloud.Instance{{
		Name: name, Role: spokecloud.RoleEntry, DataCentre: place, Address: entry.Settings.PeerAddress,
	}}})
	return nil
}

func (l *LocalDeployment) settings(place, name string) (spokeentry.Settings, error) {
	callers := loopback
	if l.CallerAddress != "" && len(l.entries) == 0 {
		callers = l.CallerAddress
	}
	settings := spokeentry.Settings{
		Name: name, DataCentre: place,
		CallerAddress: callers, OperatorAddress: loopback, PeerAddress: loopback,
		TableURL: l.urls.table, ObjectURL: l.urls.object, CloudURL: l.urls.cloud, ListURL: l.urls.cloud,
		OperatorKeySHA256: spokeconfig.HashKey(l.Example.Deployment.OperatorKey),
		LogLevel:          "info", TraceExporter: "none", UnreadyDelay: 200, GracePeriod: 10 * spokeclock.Second, MaxBodyBytes: 1 << 20,
		DisabledMechanisms: l.SwitchOff,
	}
	return settings, settings.Check()
}

// Kill ends a part at once, as a crash would.
func (l *LocalDeployment) Kill(name string) {
	l.mutex.Lock()
	stop := l.stops[name]
	l.mutex.Unlock()
	if stop != nil {
		stop()
	}
}

// CallerURLs returns where callers reach the entry instances.
func (l *LocalDeployment) CallerURLs() []string {
	var urls []string
	for _, entry := range l.entries {
		urls = append(urls, "http://"+entry.Settings.CallerAddress)
	}
	return urls
}

// OperatorURLs returns where operators reach the entry instances.
func (l *LocalDeployment) OperatorURLs() []string {
	var urls []string
	for _, entry := range l.entries {
		urls = append(urls, "http://"+entry.Settings.OperatorAddress)
	}
	return urls
}

// Table returns the stand-in for the table service.
func (l *LocalDeployment) Table() *spokestandin.TableService { return l.table }

// Cloud returns the stand-in for the cloud API.
func (l *LocalDeployment) Cloud() *spokestandin.CloudAPI { return l.cloud }

// Engine returns a model engine by name, or nil.
func (l *LocalDeployment) Engine(name string) *spokestandin.Engine {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.engines[name]
}

// PlainServer returns a plain service's backend server by name, or nil.
func (l *LocalDeployment) PlainServer(name string) *spokestandin.PlainServer { return l.plains[name] }
