package spokemeasure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"mulberryspoke.example/mulberryspoke/spokebackend"
	"mulberryspoke.example/mulberryspoke/spokeclaim"
	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokecloud"
	"mulberryspoke.example/mulberryspoke/spokeconfig"
	"mulberryspoke.example/mulberryspoke/spokemember"
	"mulberryspoke.example/mulberryspoke/spokepeer"
)

const (
	linkWarmUpTime = 3 * spokeclock.Second
	// linkWarmUpPerMember is the additional time in which the links of one more
	// entry instance open.
	linkWarmUpPerMember = 50 * spokeclock.Millis(1)
	peerMeasureDuration = 6 * spokeclock.Second
	churnInterval       = 50 * spokeclock.Millis(1)
	bytesPerKilobyte    = 1000.0
)

// PeerSize is a size at which the links between entry instances are measured.
type PeerSize struct {
	// DataCentres is the number of data centres.
	DataCentres int `json:"data_centres"`
	// EntryInstances is the number of entry instances in each data centre.
	EntryInstances int `json:"members"`
	// Servers is the number of backend servers in each data centre.
	Servers int `json:"servers"`
	// RequestsPerSecond is the request rate of each entry instance.
	RequestsPerSecond float64 `json:"requests_per_second"`
	// InFlight is the number of requests in flight at each entry instance.
	InFlight int `json:"streams"`
}

// PeerCost is the mean cost of the links for each entry instance.
type PeerCost struct {
	// Size is the measured size.
	Size PeerSize `json:"size"`
	// SentKilobytesPerSecond is the rate of sent data.
	SentKilobytesPerSecond float64 `json:"sent_kilobytes_per_second"`
	// ReceivedKilobytesPerSecond is the rate of received data.
	ReceivedKilobytesPerSecond float64 `json:"received_kilobytes_per_second"`
	// CPUCores is the processor time per second, as an equal share of the time of
	// the whole process.
	CPUCores float64 `json:"core"`
	// MemoryMegabytes is the Go runtime's heap and stacks in use, as an equal share
	// of those of the whole process.
	MemoryMegabytes float64 `json:"memory_megabytes"`
	// ConfigPropagationTime is the time until a change of the configuration has
	// reached every entry instance.
	ConfigPropagationTime spokeclock.Millis `json:"config_spread_millis"`
	// HeartbeatsPerSecond is the rate of sent heartbeats.
	HeartbeatsPerSecond float64 `json:"heartbeats_per_second"`
}

// emulatedEntry is the part of an entry instance that communicates with its
// peers, without callers and backend servers.
type emulatedEntry struct {
	node        *spokepeer.Node
	registry    *spokebackend.Registry
	store       *spokeconfig.Store
	serverNames []string
	attempts    []*spokebackend.Attempt
}

// MeasurePeers runs emulated entry instances with links over loopback and
// measures the mean cost of each. It returns an error if one of them can't listen
// or ctx ends before the cost is measured.
func MeasurePeers(ctx context.Context, size PeerSize) (PeerCost, error) {
	ctx, cancel := context.WithCancel(ctx)
	entries, err := startEntries(ctx, size)
	var running sync.WaitGroup
	defer func() {
		cancel()
		running.Wait()
	}()
	if err != nil {
		return PeerCost{}, err
	}
	for i, e := range entries {
		running.Go(func() { e.node.Run(ctx) })
		running.Go(func() { e.churnAttempts(ctx, size, uint64(i)) })
	}
	if err := spokeclock.Sleep(ctx, linkWarmUpTime+linkWarmUpPerMember*spokeclock.Millis(len(entries))); err != nil {
		return PeerCost{}, err
	}
	before, started := sumTotals(entries), time.Now()
	if err := spokeclock.Sleep(ctx, peerMeasureDuration); err != nil {
		return PeerCost{}, err
	}
	after, seconds := sumTotals(entries), time.Since(started).Seconds()
	propagationTime := measureConfigPropagation(ctx, entries)
	ratePerEntry := func(total float64) float64 { return total / seconds / float64(len(entries)) }
	return PeerCost{
		Size:                       size,
		SentKilobytesPerSecond:     ratePerEntry(after.sentBytes-before.sentBytes) / bytesPerKilobyte,
		ReceivedKilobytesPerSecond: ratePerEntry(after.receivedBytes-before.receivedBytes) / bytesPerKilobyte,
		CPUCores:                   ratePerEntry(after.cpuSeconds - before.cpuSeconds),
		HeartbeatsPerSecond:        ratePerEntry(after.heartbeats - before.heartbeats),
		ConfigPropagationTime:      propagationTime,
		MemoryMegabytes:            heapAndStackMegabytes() / float64(len(entries)),
	}, nil
}

// heapAndStackMegabytes returns the heap and stack memory that this process has
// in use.
func heapAndStackMegabytes() float64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapInuse+stats.StackInuse) / (bytesPerKilobyte * bytesPerKilobyte)
}

const (
	propagationTimeout      = 30 * spokeclock.Second
	propagationPollInterval = 5 * spokeclock.Millis(1)
)

// measureConfigPropagation merges a change into the configuration of one entry
// instance and returns the time until all have it. It returns at least
// propagationTimeout if they don't have it by then, or if the merge fails.
func measureConfigPropagation(ctx context.Context, entries []*emulatedEntry) spokeclock.Millis {
	var clock spokeclock.Clock
	started := clock.Now()
	declaration := spokeconfig.Declaration{DataCentres: []spokeconfig.DataCentre{{Name: "changed", Region: "region"}}}
	items := declaration.Items()
	items[0].Revision = 1
	if _, err := entries[0].store.Merge(spokeconfig.Delta{To: 1, Items: items}); err != nil {
		return propagationTimeout
	}
	entries[0].node.TriggerHeartbeats()
	for clock.Now()-started < propagationTimeout {
		if allHaveRevision(entries, 1) || spokeclock.Sleep(ctx, propagationPollInterval) != nil {
			break
		}
	}
	return clock.Now() - started
}

func allHaveRevision(entries []*emulatedEntry, revision spokeconfig.Revision) bool {
	for _, e := range entries {
		if e.store.Revision() < revision {
			return false
		}
	}
	return true
}

// peerTotals are sums over all entry instances since their start.
type peerTotals struct {
	sentBytes     float64
	receivedBytes float64
	heartbeats    float64
	cpuSeconds    float64
}

func sumTotals(entries []*emulatedEntry) peerTotals {
	sum := peerTotals{cpuSeconds: processCPUSeconds()}
	for _, e := range entries {
		sum.sentBytes += float64(e.node.Traffic().SentBytes())
		sum.receivedBytes += float64(e.node.Traffic().ReceivedBytes())
		sum.heartbeats += float64(e.node.Traffic().SentHeartbeats())
	}
	return sum
}

// processCPUSeconds returns the user and system time of this process, or zero if
// it isn't available.
func processCPUSeconds() float64 {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()).Seconds()
}

// startEntries opens the listeners of all emulated entry instances and adds each
// to the views of all.
func startEntries(ctx context.Context, size PeerSize) ([]*emulatedEntry, error) {
	var entries []*emulatedEntry
	var identities []spokemember.Identity
	var listenConfig net.ListenConfig
	for dataCentreIndex := range size.DataCentres {
		for i := range size.EntryInstances {
			listener, err := listenConfig.Listen(ctx, "tcp", "127.0.0.1:0")
			if err != nil {
				return nil, err
			}
			identity := spokemember.Identity{
				Name: fmt.Sprintf("region-%02d-entry-%03d", dataCentreIndex, i), DataCentre: fmt.Sprintf("region-%02d", dataCentreIndex),
				Address: listener.Addr().String(), Generation: 1,
			}
			identities = append(identities, identity)
			entries = append(entries, newEmulatedEntry(identity, listener, size))
		}
	}
	for _, e := range entries {
		for _, identity := range identities {
			e.node.View.AddSeedPeer(identity)
		}
	}
	return entries, nil
}

func newEmulatedEntry(identity spokemember.Identity, listener net.Listener, size PeerSize) *emulatedEntry {
	e := &emulatedEntry{registry: &spokebackend.Registry{DataCentre: identity.DataCentre}, store: &spokeconfig.Store{}}
	var instances []spokecloud.Instance
	for i := range size.Servers {
		instances = append(instances, spokecloud.Instance{
			Name: fmt.Sprintf("%s-assistant-%04d", identity.DataCentre, i), Role: spokecloud.RoleBackend,
			Service: "assistant", DataCentre: identity.DataCentre, Address: "127.0.0.1:1", State: spokecloud.StateRunning,
		})
	}
	e.registry.UpdateInstances(instances)
	e.serverNames = e.registry.LocalServerNames()
	e.node = &spokepeer.Node{
		View:             &spokemember.View{Self: identity},
		Store:            e.store,
		Registry:         e.registry,
		AttemptStateFunc: func(string) spokeclaim.State { return "" },
		Listener:         listener,
		Log:              zerolog.Nop(),
	}
	return e
}

// churnAttempts begins size.InFlight attempts and then ends and begins attempts
// at the request rate, so that the number in flight stays about constant.
func (e *emulatedEntry) churnAttempts(ctx context.Context, size PeerSize, seed uint64) {
	if len(e.serverNames) == 0 {
		return
	}
	random := rand.New(rand.NewPCG(seed, seed)) //nolint:gosec // The experiment has to be reproducible.
	for range size.InFlight {
		e.beginAttempt(random)
	}
	dueAttempts := 0.0
	spokeclock.Every(ctx, churnInterval, func() {
		for dueAttempts += size.RequestsPerSecond * float64(churnInterval) / float64(spokeclock.Second); dueAttempts >= 1; dueAttempts-- {
			e.beginAttempt(random)
			e.endAttempt(random)
		}
	})
}

// beginAttempt begins an attempt at a random backend server.
func (e *emulatedEntry) beginAttempt(random *rand.Rand) {
	name := e.serverNames[random.IntN(len(e.serverNames))]
	if attempt, ok := e.registry.BeginAttempt(name, false, func(spokebackend.Removal) {}); ok {
		e.attempts = append(e.attempts, attempt)
	}
}

// endAttempt ends a random attempt in flight.
func (e *emulatedEntry) endAttempt(random *rand.Rand) {
	if len(e.attempts) == 0 {
		return
	}
	i := random.IntN(len(e.attempts))
	e.attempts[i].Succeed()
	e.attempts[i] = e.attempts[len(e.attempts)-1]
	e.attempts = e.attempts[:len(e.attempts)-1]
}
