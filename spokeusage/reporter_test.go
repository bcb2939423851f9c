package spokeusage_test

import (
	"context"
	"errors"
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
	"mulberryspoke.example/mulberryspoke/spokeusage"
)

type reportCase struct {
	Name  string `yaml:"name"`
	Steps []struct {
		Note    string            `yaml:"note"`
		Advance spokeclock.Millis `yaml:"advance_millis"`
		// Requests has the workspaces of the requests that start, by instance.
		Requests map[string][]string `yaml:"begin"`
		// CountsTo is the instance that gets the other's counts.
		CountsTo string `yaml:"hear"`
		// Acquire is the instance that renews or acquires the lease.
		Acquire string `yaml:"lead"`
		// Release is the instance that releases the lease.
		Release string `yaml:"release"`
		// Copy takes a copy of the table, and Restore restores it.
		Copy    bool `yaml:"copy"`
		Restore bool `yaml:"restore"`
		// Restart are instances that are killed and started again.
		Restart []string `yaml:"restart"`
		// OddCounts are counters that a gets from a third instance, and OddRow is what is
		// written in place of the stored reports.
		OddCounts map[string]int64 `yaml:"odd_counts"`
		OddRow    string           `yaml:"odd_row"`
		// ResponsesLost is whether the platform's responses to reports are lost.
		ResponsesLost bool `yaml:"lost"`
		// Sent has the windows sent in this step, counted from the script's
		// first.
		Sent []int64 `yaml:"sent"`
	} `yaml:"steps"`
	// Counts has the counts of each window that was sent.
	Counts map[int64]map[string]int64 `yaml:"counts"`
}

// TestReports changes the holder of the lease and loses responses. Whoever
// reports a window, and however often, the counts must be the same and fencing
// numbers must not decrease.
func TestReports(t *testing.T) {
	for _, c := range spokecase.Read[[]reportCase](t, "testdata/reports.yaml") {
		t.Run(c.Name, func(t *testing.T) { newReportSimulation(t).run(c) })
	}
}

const windowLength = 5 * spokeclock.Second

// firstWindow is the window in which a script's wall clock starts.
const firstWindow = 1000

// reportSimulation runs the reporters of two instances with one table. It is
// also the platform that they report to.
type reportSimulation struct {
	*testing.T
	controlFunc   func(spokestandin.TableFaults)
	table         *spoketable.Table
	generation    int64
	clock         spokeclock.Manual
	ledgers       map[string]*spokeusage.Ledger
	leases        map[string]*spokelease.Lease
	reporters     map[string]*spokeusage.Reporter
	counts        map[int64]map[string]int64
	sent          []int64
	fence         spokelease.FencingNumber
	responsesLost bool
	era           spoketable.Era
}

func newReportSimulation(t *testing.T) *reportSimulation {
	server := httptest.NewServer((&spokestandin.TableService{}).Handler())
	t.Cleanup(server.Close)
	table := &spoketable.Table{URL: server.URL, Client: spokehttp.NewClient(), NoKeepAliveClient: spokehttp.NewNoKeepAliveClient()}
	s := &reportSimulation{
		T: t, ledgers: map[string]*spokeusage.Ledger{}, leases: map[string]*spokelease.Lease{},
		reporters: map[string]*spokeusage.Reporter{}, counts: map[int64]map[string]int64{},
	}
	s.controlFunc = func(faults spokestandin.TableFaults) {
		_, err := spokehttp.PostJSON[struct{}](context.Background(), table.Client, server.URL+"/control", faults)
		require.NoError(t, err)
	}
	s.clock.Advance(1)
	s.table = table
	for _, name := range []string{"a", "b"} {
		s.start(name, 1)
	}
	return s
}

// start starts a run of an instance, which knows nothing.
func (s *reportSimulation) start(name string, generation int64) {
	s.generation = generation
	s.ledgers[name] = &spokeusage.Ledger{WindowLength: windowLength, WallFunc: func() spokeclock.Millis { return firstWindow*windowLength + s.clock.Clock().Now() }}
	s.leases[name] = &spokelease.Lease{
		ReadFunc: s.table.Read, TransactFunc: s.table.Transact, Clock: s.clock.Clock(), Name: "duty", Holder: name, Term: 3000, MaxDeliveryDelay: 1500, Log: zerolog.Nop(),
	}
	s.reporters[name] = &spokeusage.Reporter{
		Ledger: s.ledgers[name], Lease: s.leases[name], WorkspacesFunc: func() []string { return []string{"w"} },
		ReadFunc: s.table.Read, TransactFunc: s.table.Transact, SendFunc: s.receiveReport, IdentityFunc: func() spokeusage.Identity { return spokeusage.Identity{Instance: name, Generation: generation} },
		EraFunc: func() spoketable.Era { return s.era }, Log: zerolog.Nop(),
	}
}

var errResponseLost = errors.New("response to the usage report was lost")

// receiveReport is the platform's side of a report. A window that is reported
// again must have the same counts.
func (s *reportSimulation) receiveReport(_ context.Context, fence spokelease.FencingNumber, report spokeusage.Report) error {
	require.GreaterOrEqual(s, fence, s.fence, "fencing number decreased")
	s.fence = fence
	window := int64(report.Window) - firstWindow
	if before, reported := s.counts[window]; reported {
		require.Equal(s, before, report.Counts, "window %d", window)
	}
	s.counts[window] = report.Counts
	s.sent = append(s.sent, window)
	if s.responsesLost {
		return errResponseLost
	}
	return nil
}

func (s *reportSimulation) run(c reportCase) {
	for i, step := range c.Steps {
		s.clock.Advance(step.Advance)
		s.responsesLost = step.ResponsesLost
		s.sent = nil
		if step.Copy || step.Restore {
			s.controlFunc(spokestandin.TableFaults{Copy: step.Copy, Restore: step.Restore})
		}
		if step.Restore {
			s.era++
		}
		s.applyInstances(step.Restart, step.Requests)
		if step.CountsTo != "" {
			other := map[string]string{"a": "b", "b": "a"}[step.CountsTo]
			s.ledgers[step.CountsTo].SetPeerCounts(other, 1, s.ledgers[other].Counts())
			s.reporters[step.CountsTo].SetPeerCounts(s.reporters[other].Counts())
		}
		s.ledgers["a"].SetPeerCounts("odd", 1, step.OddCounts)
		s.reporters["a"].SetPeerCounts(step.OddCounts)
		if step.OddRow != "" {
			_, err := s.table.Transact(context.Background(), spoketable.Transaction{Writes: []spoketable.Write{{Key: "usage/decided", Value: []byte(step.OddRow)}}})
			require.NoError(s, err)
		}
		if step.Acquire != "" {
			s.leases[step.Acquire].AcquireOrRenew(context.Background())
		}
		if step.Release != "" {
			s.leases[step.Release].Release()
		}
		for _, name := range []string{"a", "b"} {
			s.reporters[name].ReportDue(context.Background())
		}
		require.Equal(s, step.Sent, s.sent, "step %d", i+1)
	}
	require.Equal(s, c.Counts, s.counts)
}

// applyInstances starts instances again and counts requests at others.
func (s *reportSimulation) applyInstances(restarted []string, requests map[string][]string) {
	for _, name := range restarted {
		s.start(name, s.generation+1)
	}
	for name, workspaces := range requests {
		for _, workspace := range workspaces {
			s.ledgers[name].CountRequest(workspace)
		}
	}
}

// TestLedgerWithoutWindows checks that a ledger whose windows have no length
// counts nothing.
func TestLedgerWithoutWindows(t *testing.T) {
	var ledger spokeusage.Ledger
	ledger.CountRequest("w")
	ledger.SetPeerCounts("peer", 1, map[string]int64{"begun/1/w": 1})
	require.Empty(t, ledger.Counts())
}
