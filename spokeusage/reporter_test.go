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
		Advance spokeclock.Millis `yaml:"advance_millis"`
		// Begin are workspaces of which a request begins at an instance.
		Begin map[string][]string `yaml:"begin"`
		// Hear says which instance takes in the other's counts.
		Hear string `yaml:"hear"`
		// Lead lets an instance renew or take the lease, and report.
		Lead string `yaml:"lead"`
		// Release gives the lease of an instance up.
		Release string `yaml:"release"`
		// Lost says that the platform's answers to reports are lost.
		Lost bool `yaml:"lost"`
		// Sent are the windows sent in this step, as counted from the first.
		Sent []int64 `yaml:"sent"`
	} `yaml:"steps"`
	// Counts are the counts of each window that was sent.
	Counts map[int64]map[string]int64 `yaml:"counts"`
}

// TestReports plays holders that come and go. Whoever reports a window, and how
// often, the counts are the same, and fencing numbers never go back.
func TestReports(t *testing.T) {
	for _, c := range spokecase.Read[[]reportCase](t, "testdata/reports.yaml") {
		t.Run(c.Name, func(t *testing.T) { newReportPlay(t).play(c) })
	}
}

const reportSpan = 5 * spokeclock.Second

// firstWindow is where a script's wall clock starts.
const firstWindow = 1000

type reportPlay struct {
	*testing.T
	clock     spokeclock.Manual
	ledgers   map[string]*spokeusage.Ledger
	leases    map[string]*spokelease.Lease
	reporters map[string]*spokeusage.Reporter
	counts    map[int64]map[string]int64
	sent      []int64
	fence     spokelease.FencingNumber
	lost      bool
}

func newReportPlay(t *testing.T) *reportPlay {
	server := httptest.NewServer((&spokestandin.Table{}).Handler())
	t.Cleanup(server.Close)
	table := &spoketable.Table{URL: server.URL, Client: spokehttp.NewClient()}
	p := &reportPlay{
		T: t, ledgers: map[string]*spokeusage.Ledger{}, leases: map[string]*spokelease.Lease{},
		reporters: map[string]*spokeusage.Reporter{}, counts: map[int64]map[string]int64{},
	}
	p.clock.Advance(1)
	for _, name := range []string{"a", "b"} {
		p.ledgers[name] = &spokeusage.Ledger{WindowLength: reportSpan, WallFunc: func() spokeclock.Millis { return firstWindow*reportSpan + p.clock.Clock().Now() }}
		p.leases[name] = &spokelease.Lease{
			ReadFunc: table.Read, TransactFunc: table.Transact, Clock: p.clock.Clock(), Name: "duty", Holder: name, Term: 3000, MaxDeliveryDelay: 1500, Log: zerolog.Nop(),
		}
		p.reporters[name] = &spokeusage.Reporter{
			Ledger: p.ledgers[name], Lease: p.leases[name], WorkspacesFunc: func() []string { return []string{"w"} },
			ReadFunc: table.Read, TransactFunc: table.Transact, SendFunc: p.take, Log: zerolog.Nop(),
		}
	}
	return p
}

var errLost = errors.New("answer lost")

// take is the platform, which takes a window once.
func (p *reportPlay) take(_ context.Context, fence spokelease.FencingNumber, report spokeusage.Report) error {
	require.GreaterOrEqual(p, fence, p.fence, "an older holder")
	p.fence = fence
	window := int64(report.Window) - firstWindow
	if before, known := p.counts[window]; known {
		require.Equal(p, before, report.Counts, "window %d", window)
	}
	p.counts[window] = report.Counts
	p.sent = append(p.sent, window)
	if p.lost {
		return errLost
	}
	return nil
}

func (p *reportPlay) play(c reportCase) {
	for i, step := range c.Steps {
		p.clock.Advance(step.Advance)
		p.lost = step.Lost
		p.sent = nil
		for name, workspaces := range step.Begin {
			for _, workspace := range workspaces {
				p.ledgers[name].CountRequest(workspace)
			}
		}
		if step.Hear != "" {
			other := map[string]string{"a": "b", "b": "a"}[step.Hear]
			p.ledgers[step.Hear].SetPeerCounts(other, 1, p.ledgers[other].Counts())
		}
		if step.Lead != "" {
			p.leases[step.Lead].AcquireOrRenew(context.Background())
		}
		if step.Release != "" {
			p.leases[step.Release].Release()
		}
		for _, name := range []string{"a", "b"} {
			p.reporters[name].Step(context.Background())
		}
		require.Equal(p, step.Sent, p.sent, "step %d", i+1)
	}
	require.Equal(p, c.Counts, p.counts)
}

// TestLedgerWithoutWindows checks that a ledger whose windows have no length
// counts nothing.
func TestLedgerWithoutWindows(t *testing.T) {
	var ledger spokeusage.Ledger
	ledger.CountRequest("w")
	ledger.SetPeerCounts("peer", 1, map[string]int64{"begun/1/w": 1})
	require.Empty(t, ledger.Counts())
}
