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
	peerWarm = 3 * spokeclock.Second
	// peerWarmEach is the time for one more member's links to open.
	peerWarmEach = 50 * spokeclock.Millis(1)
	peerMeasure  = 6 * spokeclock.Second
	churnTick    = 50 * spokeclock.Millis(1)
	kilobyte     = 1000.0
)

// PeerSize is a size at which the links between entry instances are measured.
type PeerSize struct {
	// DataCentres is the number of data centres.
	DataCentres int `json:"data_centres"`
	// EntryInstances is the number of entry instances in each.
	EntryInstances int `json:"members"`
	// Servers is the number of backend servers in each.
	Servers int `json:"servers"`
	// RequestsPerSecond is the requests for each second at each entry instance.
	RequestsPerSecond float64 `json:"requests_per_second"`
	// InFlight is the number of answers under way at each entry instance.
	InFlight int `json:"streams"`
}

// PeerCost is what the links cost each entry instance.
type PeerCost struct {
	// Size is the size it was measured at.
	Size PeerSize `json:"size"`
	// SentKilobytesPerSecond is in kilobytes a second.
	SentKilobytesPerSecond float64 `json:"sent_kilobytes_per_second"`
	// ReceivedKilobytesPerSecond is in kilobytes a second.
	ReceivedKilobytesPerSecond float64 `json:"received_kilobytes_per_second"`
	// CPUCores is the part of a core, without the driver's own.
	CPUCores float64 `json:"core"`
	// MemoryMegabytes is in megabytes, the Go runtime's heap and stacks in use.
	MemoryMegabytes float64 `json:"memory_megabytes"`
	// ConfigPropagationTime is how long a change of configuration took to reach every member.
	ConfigPropagationTime spokeclock.Millis `json:"config_spread_millis"`
	// HeartbeatsPerSecond is the number sent each second.
	HeartbeatsPerSecond float64 `json:"heartbeats_per_second"`
}

// member is one emulated entry instance, without callers and servers.
type member struct {
	node     *spokepeer.Node
	registry *spokebackend.Registry
	store    *spokeconfig.Store
	names    []string
	work     []*spokebackend.Attempt
}

// MeasurePeers runs that many entry instances' membership over loopback and
// returns what it costs each.
func MeasurePeers(ctx context.Context, size PeerSize) (PeerCost, error) {
	ctx, cancel := context.WithCancel(ctx)
	members, err := startMembers(ctx, size)
	var running sync.WaitGroup
	defer func() {
		cancel()
		running.Wait()
	}()
	if err != nil {
		return PeerCost{}, err
	}
	for i, m := range members {
		running.Go(func() { m.node.Run(ctx) })
		running.Go(func() { m.churn(ctx, size, uint64(i)) })
	}
	if err := spokeclock.Sleep(ctx, peerWarm+peerWarmEach*spokeclock.Millis(len(members))); err != nil {
		return PeerCost{}, err
	}
	before, started := totals(members), time.Now()
	if err := spokeclock.Sleep(ctx, peerMeasure); err != nil {
		return PeerCost{}, err
	}
	after, seconds := totals(members), time.Since(started).Seconds()
	spread := spreadChange(ctx, members)
	each := func(total float64) float64 { return total / seconds / float64(len(members)) }
	return PeerCost{
		Size:                       size,
		SentKilobytesPerSecond:     each(after.sent-before.sent) / kilobyte,
		ReceivedKilobytesPerSecond: each(after.received-before.received) / kilobyte,
		CPUCores:                   each(after.cpu - before.cpu),
		HeartbeatsPerSecond:        each(after.heartbeats - before.heartbeats),
		ConfigPropagationTime:      spread,
		MemoryMegabytes:            usedMegabytes() / float64(len(members)),
	}, nil
}

// usedMegabytes returns what this process's heap and stacks use.
func usedMegabytes() float64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapInuse+stats.StackInuse) / (kilobyte * kilobyte)
}

const (
	spreadLimit = 30 * spokeclock.Second
	spreadPoll  = 5 * spokeclock.Millis(1)
)

// spreadChange puts a change in force at one member and returns how long it
// took until it was at all, or the limit.
func spreadChange(ctx context.Context, members []*member) spokeclock.Millis {
	var clock spokeclock.Clock
	started := clock.Now()
	place := spokeconfig.Declaration{DataCentres: []spokeconfig.DataCentre{{Name: "changed", Region: "region"}}}
	items := place.Items()
	items[0].Revision = 1
	if _, err := members[0].store.Merge(spokeconfig.Delta{To: 1, Items: items}); err != nil {
		return spreadLimit
	}
	members[0].node.TriggerHeartbeats()
	for clock.Now()-started < spreadLimit {
		if everywhere(members, 1) || spokeclock.Sleep(ctx, spreadPoll) != nil {
			break
		}
	}
	return clock.Now() - started
}

func everywhere(members []*member, revision spokeconfig.Revision) bool {
	for _, m := range members {
		if m.store.Revision() < revision {
			return false
		}
	}
	return true
}

type peerTotals struct {
	sent       float64
	received   float64
	heartbeats float64
	cpu        float64
}

func totals(members []*member) peerTotals {
	sum := peerTotals{cpu: processSeconds()}
	for _, m := range members {
		sum.sent += float64(m.node.Traffic().SentBytes())
		sum.received += float64(m.node.Traffic().ReceivedBytes())
		sum.heartbeats += float64(m.node.Traffic().SentHeartbeats())
	}
	return sum
}

// processSeconds returns the processor time of this process in seconds.
func processSeconds() float64 {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()).Seconds()
}

func startMembers(ctx context.Context, size PeerSize) ([]*member, error) {
	var members []*member
	var identities []spokemember.Identity
	var config net.ListenConfig
	for place := range size.DataCentres {
		for i := range size.EntryInstances {
			listener, err := config.Listen(ctx, "tcp", "127.0.0.1:0")
			if err != nil {
				return nil, err
			}
			identity := spokemember.Identity{
				Name: fmt.Sprintf("region-%02d-entry-%03d", place, i), DataCentre: fmt.Sprintf("region-%02d", place),
				Address: listener.Addr().String(), Generation: 1,
			}
			identities = append(identities, identity)
			members = append(members, newMember(identity, listener, size))
		}
	}
	for _, m := range members {
		for _, identity := range identities {
			m.node.View.AddSeedPeer(identity)
		}
	}
	return members, nil
}

func newMember(identity spokemember.Identity, listener net.Listener, size PeerSize) *member {
	m := &member{registry: &spokebackend.Registry{DataCentre: identity.DataCentre}, store: &spokeconfig.Store{}}
	var instances []spokecloud.Instance
	for i := range size.Servers {
		instances = append(instances, spokecloud.Instance{
			Name: fmt.Sprintf("%s-assistant-%04d", identity.DataCentre, i), Role: spokecloud.RoleBackend,
			Service: "assistant", DataCentre: identity.DataCentre, Address: "127.0.0.1:1", State: spokecloud.StateRunning,
		})
	}
	m.registry.UpdateInstances(instances)
	m.names = m.registry.LocalServerNames()
	m.node = &spokepeer.Node{
		View:             &spokemember.View{Self: identity},
		Store:            m.store,
		Registry:         m.registry,
		AttemptStateFunc: func(string) spokeclaim.State { return "" },
		Listener:         listener,
		Log:              zerolog.Nop(),
	}
	return m
}

// churn begins and ends requests, so that their number stays about the same.
func (m *member) churn(ctx context.Context, size PeerSize, seed uint64) {
	if len(m.names) == 0 {
		return
	}
	random := rand.New(rand.NewPCG(seed, seed)) //nolint:gosec // An experiment has to be repeatable.
	for range size.InFlight {
		m.begin(random)
	}
	owed := 0.0
	spokeclock.Every(ctx, churnTick, func() {
		for owed += size.RequestsPerSecond * float64(churnTick) / float64(spokeclock.Second); owed >= 1; owed-- {
			m.begin(random)
			m.endOne(random)
		}
	})
}

func (m *member) begin(random *rand.Rand) {
	name := m.names[random.IntN(len(m.names))]
	if work, ok := m.registry.BeginAttempt(name, false, func(spokebackend.Removal) {}); ok {
		m.work = append(m.work, work)
	}
}

func (m *member) endOne(random *rand.Rand) {
	if len(m.work) == 0 {
		return
	}
	i := random.IntN(len(m.work))
	m.work[i].Succeed()
	m.work[i] = m.work[len(m.work)-1]
	m.work = m.work[:len(m.work)-1]
}
