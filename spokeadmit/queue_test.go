package spokeadmit_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mulberryspoke.example/mulberryspoke/spokeadmit"
	"mulberryspoke.example/mulberryspoke/spokecase"
	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeerror"
)

type queueCase struct {
	Name     string `yaml:"name"`
	Room     int    `yaml:"room"`
	LongRoom int    `yaml:"long_room"`
	Steps    []struct {
		Ask       string   `yaml:"ask"`
		Workspace string   `yaml:"workspace"`
		Weight    int      `yaml:"weight"`
		Long      bool     `yaml:"long"`
		Release   string   `yaml:"release"`
		SetRoom   *int     `yaml:"set_room"`
		Admitted  []string `yaml:"admitted"`
	} `yaml:"steps"`
}

// holders are the places held, in the order of admission.
type holders struct {
	mutex  sync.Mutex
	names  []string
	places map[string]*spokeadmit.Admission
}

func (h *holders) add(name string, place *spokeadmit.Admission) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.names = append(h.names, name)
	h.places[name] = place
}

func (h *holders) release(name string) {
	h.mutex.Lock()
	place := h.places[name]
	h.names = slices.DeleteFunc(h.names, func(n string) bool { return n == name })
	h.mutex.Unlock()
	place.Release()
}

func (h *holders) now() []string {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return slices.Clone(h.names)
}

func TestQueue(t *testing.T) {
	cases := spokecase.Read[[]queueCase](t, "testdata/queue.yaml")
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) { c.run(t) })
	}
}

func (c queueCase) run(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	var mutex sync.Mutex
	capacity := spokeadmit.Capacity{Slots: c.Room, LongSlots: c.LongRoom}
	queue := &spokeadmit.Queue{CapacityFunc: func() spokeadmit.Capacity {
		mutex.Lock()
		defer mutex.Unlock()
		return capacity
	}}
	held := &holders{places: make(map[string]*spokeadmit.Admission)}
	var asking sync.WaitGroup
	defer asking.Wait()
	defer cancel()
	for i, s := range c.Steps {
		switch {
		case s.Ask != "":
			waiting := queue.Waiting()
			request := spokeadmit.Request{Workspace: s.Workspace, Weight: max(1, s.Weight), LongAnswer: s.Long, MaxWait: 60 * spokeclock.Second}
			asking.Go(func() {
				if place, err := queue.Admit(ctx, request); err == nil {
					held.add(s.Ask, place)
				}
			})
			require.Eventually(t, func() bool {
				return queue.Waiting() > waiting || slices.Contains(held.now(), s.Ask)
			}, time.Second, time.Millisecond)
		case s.Release != "":
			held.release(s.Release)
		case s.SetRoom != nil:
			mutex.Lock()
			capacity = spokeadmit.Capacity{Slots: *s.SetRoom, LongSlots: *s.SetRoom}
			mutex.Unlock()
		}
		require.Eventually(t, func() bool { return slices.Equal(held.now(), s.Admitted) }, time.Second, time.Millisecond,
			"step %d: %v hold a place instead of %v", i+1, held.now(), s.Admitted)
	}
}

// TestRefusesAtOnce checks that a wait over the allowed one is refused without
// waiting.
func TestRefusesAtOnce(t *testing.T) {
	clock := &spokeclock.Manual{}
	queue := &spokeadmit.Queue{CapacityFunc: func() spokeadmit.Capacity { return spokeadmit.Capacity{Slots: 1} }, Clock: clock.Clock()}
	request := spokeadmit.Request{Workspace: "a", Weight: 1, MaxWait: 100}
	for range 50 {
		place, err := queue.Admit(context.Background(), request)
		require.NoError(t, err)
		clock.Advance(spokeclock.Second)
		place.Release()
	}
	place, err := queue.Admit(context.Background(), request)
	require.NoError(t, err)
	defer place.Release()
	started := time.Now()
	_, err = queue.Admit(context.Background(), request)
	require.Equal(t, spokeadmit.KindOverloaded, spokeerror.KindOf[spokeadmit.Kind](err))
	require.Less(t, time.Since(started), 50*time.Millisecond)
	require.GreaterOrEqual(t, queue.RetryAfter(request), spokeclock.Second)
}
