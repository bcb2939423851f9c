package spokelease_test

import (
	"context"
	"net/http/httptest"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"mulberryspoke.example/mulberryspoke/spokecase"
	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokehttp"
	"mulberryspoke.example/mulberryspoke/spokelease"
	"mulberryspoke.example/mulberryspoke/spokestandin"
	"mulberryspoke.example/mulberryspoke/spoketable"
)

type leaseCase struct {
	TakeoverDelay spokeclock.Millis `yaml:"quiet_millis"`
	Name          string            `yaml:"name"`
	Steps         []leaseStep       `yaml:"steps"`
}

type leaseStep struct {
	Note         string            `yaml:"note"`
	Advance      spokeclock.Millis `yaml:"advance_millis"`
	TableDown    bool              `yaml:"table_down"`
	TableUp      bool              `yaml:"table_up"`
	LoseResponse bool              `yaml:"lose_answer"`
	Copy         bool              `yaml:"copy"`
	Restore      bool              `yaml:"restore"`
	Restart      []string          `yaml:"restart"`
	// Row is what another writer puts in place of the lease's row.
	Row     string                   `yaml:"row"`
	Act     string                   `yaml:"act"`
	Release string                   `yaml:"release"`
	Held    []string                 `yaml:"held"`
	Fence   spokelease.FencingNumber `yaml:"fence"`
}

// faults returns the faults to set at the table, and whether there are any.
func (s leaseStep) faults() (spokestandin.TableFaults, bool) {
	faults := spokestandin.TableFaults{Copy: s.Copy, Restore: s.Restore}
	faults.Unavailable = s.TableDown
	if s.LoseResponse {
		faults.AbortResponses, faults.PathPrefix = 1, "/v1/transact"
	}
	return faults, s.TableDown || s.TableUp || s.LoseResponse || s.Copy || s.Restore
}

// TestLeases runs the scripts of testdata/leases.yaml against a simulated table
// service with a manual clock.
func TestLeases(t *testing.T) {
	cases := spokecase.Read[[]leaseCase](t, "testdata/leases.yaml")
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) { c.run(t) })
	}
}

func (c leaseCase) run(t *testing.T) {
	standin := &spokestandin.TableService{}
	server := httptest.NewServer(standin.Handler())
	defer server.Close()
	clock := &spokeclock.Manual{}
	clock.Advance(1)
	table := &spoketable.Table{URL: server.URL, Client: spokehttp.NewClient(), NoKeepAliveClient: spokehttp.NewNoKeepAliveClient()}
	leases := make(map[string]*spokelease.Lease)
	start := func(name string) {
		leases[name] = &spokelease.Lease{
			ReadFunc: table.Read, TransactFunc: table.Transact, Clock: clock.Clock(), Name: "duty", Holder: name, Term: 6000, MaxDeliveryDelay: 2000, TakeoverDelay: c.TakeoverDelay, Log: zerolog.Nop(),
		}
	}
	start("a")
	start("b")
	setFaults := func(faults spokestandin.TableFaults) {
		_, err := spokehttp.PostJSON[struct{}](context.Background(), table.Client, server.URL+"/control", faults)
		require.NoError(t, err)
	}
	usedFences := make(map[spokelease.FencingNumber]string)
	for i, s := range c.Steps {
		clock.Advance(s.Advance)
		if faults, has := s.faults(); has {
			setFaults(faults)
		}
		for _, name := range s.Restart {
			start(name)
		}
		if s.Row != "" {
			_, err := table.Transact(context.Background(), spoketable.Transaction{Writes: []spoketable.Write{{Key: "lease/duty", Value: []byte(s.Row)}}})
			require.NoError(t, err)
		}
		if s.Act != "" {
			leases[s.Act].AcquireOrRenew(context.Background())
		}
		if s.Release != "" {
			leases[s.Release].Release()
		}
		s.checkHolders(t, i+1, leases, usedFences)
	}
}

// checkHolders compares the active holders with those that the step wants. No
// fencing number may be used by two of them.
func (s leaseStep) checkHolders(t *testing.T, step int, leases map[string]*spokelease.Lease, usedFences map[spokelease.FencingNumber]string) {
	for name, lease := range leases {
		fence, held := lease.Held()
		require.Equal(t, contains(s.Held, name), held, "step %d: %s", step, name)
		if !held {
			continue
		}
		if s.Fence > 0 {
			require.Equal(t, s.Fence, fence, "step %d", step)
		}
		holder, used := usedFences[fence]
		require.True(t, !used || holder == name, "step %d: %s and %s use fencing number %d", step, holder, name, fence)
		usedFences[fence] = name
	}
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}
