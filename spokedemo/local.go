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
	anyLoopbackPort   = "127.0.0.1:0"
	readyTimeout      = 10 * spokeclock.Second
	readyPollInterval = 20 * spokeclock.Millis(1)
)

// LocalDeployment is a deployment that runs in this process. Set its fields
// before Start.
type LocalDeployment struct {
	// Example is the deployment to run and its declaration.
	Example Example
	// Logs creates the loggers of the entry instances.
	Logs spokelog.Root
	// StepTime is the time of one step of a model engine. Zero means the
	// engine's default.
	StepTime time.Duration
	// SwitchOff lists the mechanisms to turn off in the entry instances.
	SwitchOff []string
	// StartedEngineSlots is the number of slots of model engines that the cloud
	// API starts. Zero means the engine's default.
	StartedEngineSlots int
	// CallerAddress is the address where the first entry instance listens for
	// callers. Empty means any free port on loopback.
	CallerAddress string

	ctx          context.Context
	mutex        sync.Mutex
	goroutines   sync.WaitGroup
	stopFuncs    map[string]func()
	table        *spokestandin.TableService
	cloud        *spokestandin.CloudAPI
	engines      map[string]*spokestandin.Engine
	plainServers map[string]*spokestandin.PlainServer
	entries      []*spokeentry.Entry
	startedCount int
	urls         platformURLs
}

type platformURLs struct {
	table  string
	object string
	cloud  string
}

// Start starts the deployment, applies its declaration and waits until the
// entry instances are ready. The deployment runs until ctx ends. Start returns
// an error of kind KindStartFailed, or the error of invalid settings.
func (l *LocalDeployment) Start(ctx context.Context) error {
	l.ctx = ctx
	l.stopFuncs = make(map[string]func())
	l.engines = make(map[string]*spokestandin.Engine)
	l.plainServers = make(map[string]*spokestandin.PlainServer)
	if err := l.startPlatformServices(); err != nil {
		return err
	}
	for _, dataCentre := range l.Example.Deployment.DataCentres {
		if err := l.startServers(dataCentre); err != nil {
			return err
		}
	}
	for _, dataCentre := range l.Example.Deployment.DataCentres {
		if err := l.startEntries(dataCentre); err != nil {
			return err
		}
	}
	return l.Apply(ctx, l.Example.Declaration)
}

// Wait waits until all parts have stopped, after the context of Start has
// ended.
func (l *LocalDeployment) Wait() { l.goroutines.Wait() }

// listenAndServe serves a handler on a free loopback port and returns its
// address. It registers a function under the name, which Kill uses to stop the
// server.
func (l *LocalDeployment) listenAndServe(name string, handler http.Handler) (string, error) {
	var config net.ListenConfig
	listener, err := config.Listen(l.ctx, "tcp", anyLoopbackPort)
	if err != nil {
		return "", spokeerror.New("start "+name, KindStartFailed, err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	l.goroutines.Go(func() { _ = server.Serve(listener) })
	stop := sync.OnceFunc(func() { _ = server.Close() })
	context.AfterFunc(l.ctx, stop)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.stopFuncs[name] = stop
	return listener.Addr().String(), nil
}

func (l *LocalDeployment) startPlatformServices() error {
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

func (l *LocalDeployment) startServers(dataCentre DataCentre) error {
	for _, servers := range dataCentre.Servers {
		for i := range servers.Count {
			name := fmt.Sprintf("%s-%s-%d", dataCentre.Name, servers.Service, i+1)
			if err := l.startServer(dataCentre.Name, name, servers); err != nil {
				return err
			}
		}
	}
	return nil
}

// startInstance starts a model engine on behalf of the cloud API. It returns
// false if no port could be opened.
func (l *LocalDeployment) startInstance(request spokecloud.StartRequest) (spokecloud.Instance, bool) {
	l.mutex.Lock()
	l.startedCount++
	name := fmt.Sprintf("%s-%s-started-%d", request.DataCentre, request.Service, l.startedCount)
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

func (l *LocalDeployment) startServer(dataCentre, name string, servers ServerGroup) error {
	handler := l.plainHandler(name)
	if servers.Kind == spokeconfig.ServiceModel {
		handler = l.engineHandler(name, servers)
	}
	address, err := l.listenAndServe(name, handler)
	if err != nil {
		return err
	}
	l.cloud.Control(spokestandin.CloudControlRequest{Register: []spokecloud.Instance{{
		Name: name, Role: spokecloud.RoleBackend, Service: servers.Service, DataCentre: dataCentre,
		Address: address, MachineClass: servers.MachineClass, Reclaimable: servers.Reclaimable,
	}}})
	return nil
}

func (l *LocalDeployment) plainHandler(name string) http.Handler {
	plain := &spokestandin.PlainServer{Name: name}
	l.plainServers[name] = plain
	return plain.Handler()
}

func (l *LocalDeployment) engineHandler(name string, servers ServerGroup) http.Handler {
	engine := &spokestandin.Engine{Name: name, Slots: servers.Slots, StepTime: l.StepTime}
	l.mutex.Lock()
	l.engines[name] = engine
	l.mutex.Unlock()
	handler := engine.Handler()
	l.goroutines.Go(func() { engine.Run(l.ctx) })
	return handler
}

func (l *LocalDeployment) startEntries(dataCentre DataCentre) error {
	for i := range dataCentre.EntryInstances {
		name := fmt.Sprintf("%s-entry-%d", dataCentre.Name, i+1)
		if err := l.startEntry(dataCentre.Name, name); err != nil {
			return err
		}
	}
	return nil
}

func (l *LocalDeployment) startEntry(dataCentre, name string) error {
	settings, err := l.entrySettings(dataCentre, name)
	if err != nil {
		return err
	}
	entry := &spokeentry.Entry{Settings: settings, Logs: l.Logs.WithField("instance", name)}
	l.entries = append(l.entries, entry)
	exited := make(chan error, 1)
	l.goroutines.Go(func() { exited <- entry.Run(l.ctx) })
	select {
	case err := <-exited:
		return spokeerror.New("start "+name, KindStartFailed, err)
	case <-entry.Started():
	}
	l.stopFuncs[name] = entry.Kill
	l.cloud.Control(spokestandin.CloudControlRequest{Register: []spokecloud.Instance{{
		Name: name, Role: spokecloud.RoleEntry, DataCentre: dataCentre, Address: entry.Settings.PeerAddress,
	}}})
	return nil
}

func (l *LocalDeployment) entrySettings(dataCentre, name string) (spokeentry.Settings, error) {
	callerAddress := anyLoopbackPort
	if l.CallerAddress != "" && len(l.entries) == 0 {
		callerAddress = l.CallerAddress
	}
	settings := spokeentry.Settings{
		Name: name, DataCentre: dataCentre,
		CallerAddress: callerAddress, OperatorAddress: anyLoopbackPort, PeerAddress: anyLoopbackPort,
		TableURL: l.urls.table, ObjectURL: l.urls.object, CloudURL: l.urls.cloud, ListURL: l.urls.cloud,
		OperatorKeySHA256: spokeconfig.HashKey(l.Example.Deployment.OperatorKey),
		LogLevel:          "info", TraceExporter: "none", UnreadyDelay: 200, GracePeriod: 10 * spokeclock.Second, MaxBodyBytes: 1 << 20,
		DisabledMechanisms: l.SwitchOff,
	}
	return settings, settings.Check()
}

// Kill stops a server or entry instance at once, without a drain, as a crash
// would. An unknown name is ignored.
func (l *LocalDeployment) Kill(name string) {
	l.mutex.Lock()
	stop := l.stopFuncs[name]
	l.mutex.Unlock()
	if stop != nil {
		stop()
	}
}

// CallerURLs returns the URLs of the entry instances for callers.
func (l *LocalDeployment) CallerURLs() []string {
	var urls []string
	for _, entry := range l.entries {
		urls = append(urls, "http://"+entry.Settings.CallerAddress)
	}
	return urls
}

// OperatorURLs returns the URLs of the entry instances for operators.
func (l *LocalDeployment) OperatorURLs() []string {
	var urls []string
	for _, entry := range l.entries {
		urls = append(urls, "http://"+entry.Settings.OperatorAddress)
	}
	return urls
}

// Table returns the stand-in of the table service.
func (l *LocalDeployment) Table() *spokestandin.TableService { return l.table }

// Cloud returns the stand-in of the cloud API.
func (l *LocalDeployment) Cloud() *spokestandin.CloudAPI { return l.cloud }

// Engine returns the model engine with the given name, or nil.
func (l *LocalDeployment) Engine(name string) *spokestandin.Engine {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.engines[name]
}

// PlainServer returns the backend server of a plain service by name, or nil.
func (l *LocalDeployment) PlainServer(name string) *spokestandin.PlainServer {
	return l.plainServers[name]
}
