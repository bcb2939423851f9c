package spokepeer_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mulberryspoke.example/mulberryspoke/spokebackend"
	"mulberryspoke.example/mulberryspoke/spokecase"
	"mulberryspoke.example/mulberryspoke/spokecloud"
	"mulberryspoke.example/mulberryspoke/spokeconfig"
	"mulberryspoke.example/mulberryspoke/spokecount"
	"mulberryspoke.example/mulberryspoke/spokemember"
	"mulberryspoke.example/mulberryspoke/spokepeer"
)

const aggregateWait = 15 * time.Second

type aggregateCase struct {
	Name string `yaml:"name"`
	// Instances is the number of instances in each data centre.
	Instances map[string]int `yaml:"instances"`
	Steps     []struct {
		// Counted is how often each running instance counts.
		Counted int `yaml:"counted"`
		// StoppedGateways is whether the instances that send the sums of a data
		// centre to others are stopped.
		StoppedGateways string `yaml:"stopped_gateways"`
		// Totals has the counts of each data centre that all others must know.
		Totals map[string]int64 `yaml:"totals"`
		// Members is the number of active instances that each must know.
		Members int `yaml:"members"`
	} `yaml:"steps"`
}

// TestAggregates runs instances of several data centres that are linked through
// gateways only. Each must learn what all others have counted, and how many they
// are, also after the gateways are gone.
func TestAggregates(t *testing.T) {
	for _, c := range spokecase.Read[[]aggregateCase](t, "testdata/aggregates.yaml") {
		t.Run(c.Name, func(t *testing.T) { c.run(t) })
	}
}

// aggregateInstance is one instance with its counter.
type aggregateInstance struct {
	node *spokepeer.Node
	stop context.CancelFunc

	mutex   sync.Mutex
	counted int64
	// sent is whether the instance has sent the sums of its data centre.
	sent   bool
	sum    spokecount.Sum
	totals map[string]int64
}

func (c aggregateCase) run(t *testing.T) {
	var running []*aggregateInstance
	var list []spokecloud.Instance
	for dataCentre, count := range c.Instances {
		for i := range count {
			instance := newAggregateInstance(t, dataCentre, fmt.Sprintf("%s-%d", dataCentre, i))
			running = append(running, instance)
			self := instance.node.View.Self
			list = append(list, spokecloud.Instance{Name: self.Name, Role: spokecloud.RoleEntry, DataCentre: dataCentre, Address: self.Address, State: spokecloud.StateRunning})
		}
	}
	for _, instance := range running {
		instance.node.View.UpdateInstances(list)
		ctx, cancel := context.WithCancel(context.Background())
		instance.stop = cancel
		done := make(chan struct{})
		go func() {
			defer close(done)
			instance.node.Run(ctx)
		}()
		t.Cleanup(func() {
			cancel()
			<-done
		})
	}
	for i, step := range c.Steps {
		var left []*aggregateInstance
		for _, instance := range running {
			instance.mutex.Lock()
			instance.counted += int64(step.Counted)
			isStopped := instance.sent && instance.node.View.Self.DataCentre == step.StoppedGateways
			instance.mutex.Unlock()
			if isStopped {
				instance.stop()
				continue
			}
			left = append(left, instance)
		}
		running = left
		require.EventuallyWithT(t, func(t *assert.CollectT) {
			for _, instance := range running {
				instance.check(t, step.Totals, step.Members)
			}
		}, aggregateWait, 50*time.Millisecond, "step %d", i+1)
	}
}

func newAggregateInstance(t *testing.T, dataCentre, name string) *aggregateInstance {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	a := &aggregateInstance{totals: make(map[string]int64), sum: spokecount.Sum{FromZeroFunc: func(string) bool { return true }}}
	view := &spokemember.View{Self: spokemember.Identity{Name: name, DataCentre: dataCentre, Address: listener.Addr().String(), Generation: 1}}
	a.node = &spokepeer.Node{
		View: view, Store: &spokeconfig.Store{}, Registry: &spokebackend.Registry{DataCentre: dataCentre}, Listener: listener, BaseInterval: 50, Log: zerolog.Nop(),
		CountsFunc: a.counts,
		MergePeerCountsFunc: func(peer string, generation int64, counts map[string]int64) {
			if identity, _ := view.Lookup(peer); identity.DataCentre == dataCentre {
				a.sum.SetCounts(peer, generation, counts)
			}
		},
		DataCentreCountsFunc: func() map[string]int64 {
			a.mutex.Lock()
			a.sent = true
			a.mutex.Unlock()
			a.sum.SetCounts(name, 1, a.counts())
			return a.sum.Totals()
		},
		MergeDataCentreCountsFunc: func(other string, _ int64, counts map[string]int64) {
			a.mutex.Lock()
			defer a.mutex.Unlock()
			if count, changed := counts["x"]; changed {
				a.totals[other] = count
			}
		},
	}
	return a
}

func (a *aggregateInstance) counts() map[string]int64 {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return map[string]int64{"x": a.counted}
}

func (a *aggregateInstance) check(t assert.TestingT, totals map[string]int64, members int) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	self := a.node.View.Self
	for dataCentre, total := range totals {
		if dataCentre != self.DataCentre {
			assert.Equal(t, total, a.totals[dataCentre], "%s at %s", dataCentre, self.Name)
		}
	}
	assert.Equal(t, members, a.node.View.ActiveInstanceCount(), "members at %s", self.Name)
}

// TestOvertakingAggregates guards against a sum that an older one replaces, which has come on
// another way.
func TestOvertakingAggregates(t *testing.T) {
	instance := newAggregateInstance(t, "a", "a-0")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go instance.node.Run(ctx)
	links := make(map[string]*rawLink)
	for _, peer := range []string{"a-1", "a-2"} {
		links[peer] = openRawLink(t, instance.node.View.Self.Address)
		links[peer].send(fmt.Sprintf(`{"jsonrpc":"2.0","id":7,"method":"hello","params":{"identity":{"name":%q,"data_centre":"a","generation":1},"link":1}}`, peer))
		_, err := links[peer].receive()
		require.NoError(t, err)
	}
	for i, step := range []struct {
		peer         string
		count, total int64
	}{{"a-1", 10, 10}, {"a-2", 7, 10}, {"a-2", 12, 12}, {"a-1", 11, 12}} {
		links[step.peer].send(fmt.Sprintf(`{"jsonrpc":"2.0","method":"heartbeat","params":{"data_centre_counts":[{"data_centre":"b","origin":"b-0","generation":1,"counts":{"x":%d}}]}}`, step.count))
		require.True(t, links[step.peer].isHandled())
		instance.mutex.Lock()
		require.Equal(t, step.total, instance.totals["b"], "step %d", i+1)
		instance.mutex.Unlock()
	}
}
