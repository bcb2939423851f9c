package spokewatch

import (
	"context"
	"net/http"
	"sync"

	"github.com/rs/zerolog"

	"mulberryspoke.example/mulberryspoke/spokebackend"
	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokecloud"
	"mulberryspoke.example/mulberryspoke/spokeconfig"
	"mulberryspoke.example/mulberryspoke/spokeengine"
	"mulberryspoke.example/mulberryspoke/spokemember"
)

const (
	configInterval = 1000 * spokeclock.Millis(1)
	listInterval   = 1000 * spokeclock.Millis(1)
	noticeInterval = 300 * spokeclock.Millis(1)
	// loadInterval is the shortest pause between two rounds of load reports.
	loadInterval = 500 * spokeclock.Millis(1)
	markInterval = 100 * spokeclock.Millis(1)
	loadTimeout  = 300 * spokeclock.Millis(1)
	// loadIntervalPerServer is the pause between two rounds for each server read
	// in a round.
	loadIntervalPerServer = 400 * spokeclock.Millis(1)
	maxLoadReaders        = 8
	// pollRateFactor is the polling rate of a data centre with many live
	// instances, as a multiple of that of a single instance.
	pollRateFactor = 2
)

// Poller polls for one entry instance. Set its fields before Run.
type Poller struct {
	// Cloud has the platform's list of instances and reclaim notices.
	Cloud *spokecloud.Cloud
	// Repository reads the configuration.
	Repository *spokeconfig.Repository
	// View has the live entry instances, which share the polling.
	View *spokemember.View
	// Registry gets the state of the backend servers.
	Registry *spokebackend.Registry
	// Client is the HTTP client for load reports.
	Client *http.Client
	// ChangedFunc is called after a newer configuration was read or a reclaim
	// was announced.
	ChangedFunc func()
	// Log is the logger.
	Log zerolog.Logger

	instances []spokecloud.Instance
}

// Run polls until ctx ends, with a goroutine for each source.
func (p *Poller) Run(ctx context.Context) {
	var pollers sync.WaitGroup
	pollers.Go(func() { p.pollShared(ctx, configInterval, p.readConfig) })
	pollers.Go(func() { p.pollShared(ctx, listInterval, p.readList) })
	pollers.Go(func() { p.pollShared(ctx, noticeInterval, p.readNotices) })
	pollers.Go(func() { p.pollLoads(ctx) })
	pollers.Go(func() { spokeclock.Every(ctx, markInterval, p.applyMarks) })
	pollers.Wait()
}

// pollShared polls at an interval that grows with the number of live instances.
func (p *Poller) pollShared(ctx context.Context, interval spokeclock.Millis, poll func(context.Context)) {
	for ctx.Err() == nil {
		poll(ctx)
		live := spokeclock.Millis(len(p.View.LiveLocalInstances()))
		pause := max(interval, interval*live/pollRateFactor)
		if spokeclock.Sleep(ctx, pause) != nil {
			return
		}
	}
}

func (p *Poller) readConfig(ctx context.Context) {
	before := p.Repository.Store.Revision()
	if err := p.Repository.Refresh(ctx); err != nil {
		p.Log.Debug().Err(err).Msg("Configuration could not be read.")
		return
	}
	if revision := p.Repository.Store.Revision(); revision > before {
		p.Log.Info().Int64("since", int64(before)).Int64("revision", int64(revision)).Str("digest", p.Repository.Store.Current().Digest()).Msg("Newer configuration read.")
		p.ChangedFunc()
	}
}

func (p *Poller) readList(ctx context.Context) {
	instances, changed, err := p.Cloud.ListInstances(ctx)
	if err != nil {
		p.Log.Debug().Err(err).Msg("List of instances could not be read.")
		return
	}
	if changed {
		p.instances = instances
	}
	p.Registry.UpdateInstances(p.instances)
	p.View.UpdateInstances(p.instances)
}

func (p *Poller) readNotices(ctx context.Context) {
	notices, err := p.Cloud.ReclaimNotices(ctx)
	if err != nil {
		p.Log.Debug().Err(err).Msg("Reclaim notices could not be read.")
		return
	}
	before := len(p.Registry.Removals())
	for _, notice := range notices {
		p.Registry.MarkForRemoval(notice.Instance, spokebackend.Removal{Source: spokebackend.SourceNotice, Remaining: notice.TimeLeft})
	}
	if len(p.Registry.Removals()) > before {
		p.Log.Info().Int("notices", len(notices)).Msg("Reclaim announced.")
		p.ChangedFunc()
	}
}

// applyMarks applies the operators' marks in the configuration to the registry.
func (p *Poller) applyMarks() {
	snapshot := p.Repository.Store.Current()
	if snapshot == nil {
		return
	}
	for _, mark := range snapshot.Marks() {
		source := spokebackend.SourceOperatorDrain
		if mark.Kind == spokeconfig.MarkStop {
			source = spokebackend.SourceOperatorStop
		}
		p.Registry.MarkForRemoval(mark.Instance, spokebackend.Removal{Source: source})
	}
	for _, name := range p.Registry.OperatorMarked() {
		if snapshot.InstanceMark(name) == spokeconfig.MarkNone {
			p.Registry.ClearOperatorMark(name)
		}
	}
}

// pollLoads reads load reports in rounds. The pause between rounds grows with
// the number of servers, which bounds the reads per second.
func (p *Poller) pollLoads(ctx context.Context) {
	for ctx.Err() == nil {
		servers := p.readLoads(ctx)
		pause := max(loadInterval, loadIntervalPerServer*spokeclock.Millis(servers))
		if p.usesLeastReported() {
			pause = loadInterval
		}
		if spokeclock.Sleep(ctx, pause) != nil {
			return
		}
	}
}

// usesLeastReported reports whether a service is routed by load reports alone.
// This baseline of comparisons gets all load reports, without the bound on
// reads per second.
func (p *Poller) usesLeastReported() bool {
	snapshot := p.Repository.Store.Current()
	if snapshot == nil {
		return false
	}
	for _, service := range snapshot.Declaration().Services {
		if service.Routing == spokeconfig.RoutingLeastReportedLoad {
			return true
		}
	}
	return false
}

// readLoads reads the load reports of the servers that this instance polls. It
// returns their number.
func (p *Poller) readLoads(ctx context.Context) int {
	snapshot := p.Repository.Store.Current()
	if snapshot == nil {
		return 0
	}
	semaphore := make(chan struct{}, maxLoadReaders)
	var readers sync.WaitGroup
	servers := 0
	for _, name := range p.Registry.LocalServerNames() {
		instance, found := p.Registry.Lookup(name)
		if !found || !p.pollsLoadOf(snapshot, instance) {
			continue
		}
		servers++
		semaphore <- struct{}{}
		readers.Go(func() {
			p.readLoad(ctx, instance)
			<-semaphore
		})
	}
	readers.Wait()
	return servers
}

// pollsLoadOf reports whether this instance reads a server's load reports.
func (p *Poller) pollsLoadOf(snapshot *spokeconfig.Snapshot, instance spokecloud.Instance) bool {
	service, ok := snapshot.Service(instance.Service)
	if !ok || service.Kind != spokeconfig.ServiceModel {
		return false
	}
	return service.Routing == spokeconfig.RoutingLeastReportedLoad || p.View.OwnsDuty(instance.Name)
}

func (p *Poller) readLoad(ctx context.Context, instance spokecloud.Instance) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout.Duration())
	defer cancel()
	engine := spokeengine.Client{URL: "http://" + instance.Address, HTTPClient: p.Client}
	load, err := engine.Load(ctx)
	if err != nil {
		return
	}
	p.Registry.RecordLoad(instance.Name, instance.Generation, load)
}
