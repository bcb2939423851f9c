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
	loadInterval   = 500 * spokeclock.Millis(1)
	markInterval   = 100 * spokeclock.Millis(1)
	loadTimeout    = 300 * spokeclock.Millis(1)
	loadEach       = 400 * spokeclock.Millis(1)
	loadReaders    = 8
	// pollers is how many instances' worth of polling a data centre does.
	pollers = 2
)

// Poller polls for one entry instance. Set its fields before Run.
type Poller struct {
	// Cloud is the platform's list and notices.
	Cloud *spokecloud.Cloud
	// Keeper reads the configuration.
	Keeper *spokeconfig.Keeper
	// View says who else polls.
	View *spokemember.View
	// Registry takes what is learned of backend servers.
	Registry *spokebackend.Registry
	// Client reads load reports.
	Client *http.Client
	// ChangedFunc is called when a newer configuration was read.
	ChangedFunc func()
	// Log takes the log lines.
	Log zerolog.Logger

	listed []spokecloud.Instance
}

// Run polls until ctx ends, with a goroutine for each duty.
func (w *Poller) Run(ctx context.Context) {
	var duties sync.WaitGroup
	duties.Go(func() { w.shared(ctx, configInterval, w.config) })
	duties.Go(func() { w.shared(ctx, listInterval, w.list) })
	duties.Go(func() { w.shared(ctx, noticeInterval, w.notices) })
	duties.Go(func() { w.watchLoads(ctx) })
	duties.Go(func() { spokeclock.Every(ctx, markInterval, w.marks) })
	duties.Wait()
}

// shared polls at an interval that grows with the number of live instances.
func (w *Poller) shared(ctx context.Context, interval spokeclock.Millis, poll func(context.Context)) {
	for ctx.Err() == nil {
		poll(ctx)
		live := spokeclock.Millis(len(w.View.Live()))
		pause := max(interval, interval*live/pollers)
		if spokeclock.Sleep(ctx, pause) != nil {
			return
		}
	}
}

func (w *Poller) config(ctx context.Context) {
	before := w.Keeper.Store.Revision()
	if err := w.Keeper.Refresh(ctx); err != nil {
		w.Log.Debug().Err(err).Msg("Configuration could not be read.")
		return
	}
	if revision := w.Keeper.Store.Revision(); revision > before {
		w.Log.Info().Int64("revision", int64(revision)).Msg("Configuration read.")
		w.ChangedFunc()
	}
}

func (w *Poller) list(ctx context.Context) {
	instances, changed, err := w.Cloud.ListInstances(ctx)
	if err != nil {
		w.Log.Debug().Err(err).Msg("List could not be read.")
		return
	}
	if changed {
		w.listed = instances
	}
	w.Registry.UpdateInstances(w.listed)
	w.View.Learn(w.listed)
}

func (w *Poller) notices(ctx context.Context) {
	notices, err := w.Cloud.ReclaimNotices(ctx)
	if err != nil {
		w.Log.Debug().Err(err).Msg("Notices could not be read.")
		return
	}
	before := len(w.Registry.Removals())
	for _, notice := range notices {
		w.Registry.MarkForRemoval(notice.Instance, spokebackend.Removal{Source: spokebackend.SourceNotice, Remaining: notice.TimeLeft})
	}
	if len(w.Registry.Removals()) > before {
		w.Log.Info().Int("notices", len(notices)).Msg("Reclaim announced.")
		w.ChangedFunc()
	}
}

// marks puts the operators' marks in force on the registry.
func (w *Poller) marks() {
	snapshot := w.Keeper.Store.Current()
	if snapshot == nil {
		return
	}
	for _, mark := range snapshot.Marks() {
		source := spokebackend.SourceOperatorDrain
		if mark.Kind == spokeconfig.MarkStop {
			source = spokebackend.SourceOperatorStop
		}
		w.Registry.MarkForRemoval(mark.Instance, spokebackend.Removal{Source: source})
	}
	for _, name := range w.Registry.OperatorMarked() {
		if snapshot.Mark(name) == spokeconfig.MarkNone {
			w.Registry.ClearOperatorMark(name)
		}
	}
}

// watchLoads reads reports in rounds. Each server watched makes a round
// longer, so that the number of reads a second is bounded.
func (w *Poller) watchLoads(ctx context.Context) {
	for ctx.Err() == nil {
		watched := w.loads(ctx)
		pause := max(loadInterval, loadEach*spokeclock.Millis(watched))
		if w.leastReported() {
			pause = loadInterval
		}
		if spokeclock.Sleep(ctx, pause) != nil {
			return
		}
	}
}

// leastReported reports whether a service is routed by reports alone. That
// baseline is given all the reports it could have.
func (w *Poller) leastReported() bool {
	snapshot := w.Keeper.Store.Current()
	if snapshot == nil {
		return false
	}
	for _, service := range snapshot.Declaration().Services {
		if service.Routing == spokeconfig.RoutingLeastReported {
			return true
		}
	}
	return false
}

// loads reads the reports of the servers that this instance watches and
// returns how many there are.
func (w *Poller) loads(ctx context.Context) int {
	snapshot := w.Keeper.Store.Current()
	if snapshot == nil {
		return 0
	}
	gate := make(chan struct{}, loadReaders)
	var readers sync.WaitGroup
	watched := 0
	for _, name := range w.Registry.LocalServerNames() {
		instance, known := w.Registry.Lookup(name)
		if !known || !w.reports(snapshot, instance) {
			continue
		}
		watched++
		gate <- struct{}{}
		readers.Go(func() {
			w.load(ctx, instance)
			<-gate
		})
	}
	readers.Wait()
	return watched
}

func (w *Poller) reports(snapshot *spokeconfig.Snapshot, instance spokecloud.Instance) bool {
	service, ok := snapshot.Service(instance.Service)
	if !ok || service.Kind != spokeconfig.ServiceModel {
		return false
	}
	return service.Routing == spokeconfig.RoutingLeastReported || w.View.Watches(instance.Name)
}

func (w *Poller) load(ctx context.Context, instance spokecloud.Instance) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout.Duration())
	defer cancel()
	engine := spokeengine.Engine{URL: "http://" + instance.Address, Client: w.Client}
	load, err := engine.Load(ctx)
	if err != nil {
		return
	}
	w.Registry.RecordLoad(instance.Name, load)
}
