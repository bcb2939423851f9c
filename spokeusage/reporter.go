package spokeusage

import (
	"context"
	"maps"

	"github.com/rs/zerolog"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokelease"
	"mulberryspoke.example/mulberryspoke/spoketable"
)

const (
	// decisionKey is the row that holds the newest decided reports.
	decisionKey = "usage/decided"
	// settleTime is the wait after a window's end for the peers' last counts:
	// a heartbeat of a large deployment and the time to send it again.
	settleTime = 2500 * spokeclock.Millis(1)
	// repeatLimit is the age from which a window is no longer reported.
	repeatLimit = 30 * spokeclock.Second
	interval    = 500 * spokeclock.Millis(1)
)

// Report is the usage of one window.
type Report struct {
	// Window is the window.
	Window Window `json:"window"`
	// Counts are the requests that began, by workspace.
	Counts map[string]int64 `json:"counts"`
}

// Reporter reports each window while this instance holds the lease. The counts
// of a window are decided once, in the table, before they are sent, so that
// every holder sends the same. Set its fields before Run.
type Reporter struct {
	// Ledger has the counts.
	Ledger *Ledger
	// Lease is the right to report.
	Lease *spokelease.Lease
	// WorkspacesFunc returns the workspaces to report, also without requests.
	WorkspacesFunc func() []string
	// ReadFunc reads rows of the table that keeps the decisions.
	ReadFunc func(ctx context.Context, keys ...string) ([]spoketable.Row, error)
	// TransactFunc tries a transaction on that table once.
	TransactFunc func(ctx context.Context, transaction spoketable.Transaction) (spoketable.Outcome, error)
	// SendFunc sends a report under a fencing number.
	SendFunc func(ctx context.Context, fence spokelease.FencingNumber, report Report) error
	// Log takes the log lines.
	Log zerolog.Logger

	fence   spokelease.FencingNumber
	version spoketable.Version
	decided []Report
	sent    map[Window]bool
	known   bool
}

// Run reports until ctx ends.
func (r *Reporter) Run(ctx context.Context) {
	spokeclock.Every(ctx, interval, func() { r.step(ctx) })
}

func (r *Reporter) step(ctx context.Context) {
	fence, held := r.Lease.Held()
	if !held {
		r.known = false
		return
	}
	if fence != r.fence || !r.known {
		r.fence = fence
		r.sent = make(map[Window]bool)
		r.known = r.recall(ctx)
	}
	if !r.known || !r.decide(ctx) {
		return
	}
	for _, report := range r.decided {
		r.send(ctx, report)
	}
}

// recall reads what earlier holders decided.
func (r *Reporter) recall(ctx context.Context) bool {
	rows, err := r.ReadFunc(ctx, decisionKey)
	if err != nil {
		r.Log.Warn().Err(err).Msg("Decided reports could not be read.")
		return false
	}
	r.decided = nil
	r.version = rows[0].Version
	if r.version == 0 {
		return true
	}
	decided, err := spoketable.DecodeRow[[]Report](rows[0])
	if err != nil {
		r.Log.Error().Err(err).Msg("Decided reports are malformed.")
		return false
	}
	r.decided = decided
	return true
}

// decide writes down the windows that have ended since the last decision. It
// reports false when the table did not take them.
func (r *Reporter) decide(ctx context.Context) bool {
	last := r.Ledger.CurrentWindow() - 1
	if r.Ledger.SinceEnd(last) < settleTime {
		last--
	}
	first := last
	if len(r.decided) > 0 {
		first = max(r.decided[len(r.decided)-1].Window+1, last-windowsKept+1)
	}
	if first > last {
		return true
	}
	next := r.recent()
	for w := first; w <= last; w++ {
		next = append(next, r.report(w))
	}
	outcome, err := r.TransactFunc(ctx, spoketable.Transaction{
		Conditions: []spoketable.Condition{{Key: decisionKey, Version: r.version}},
		Writes:     []spoketable.Write{spoketable.EncodeWrite(decisionKey, next)},
	})
	if err != nil || !outcome.Committed {
		r.Log.Warn().Err(err).Bool("conflict", err == nil).Msg("Reports could not be decided.")
		r.known = false
		return false
	}
	r.version = outcome.Version
	r.decided = next
	return true
}

// recent drops decisions that are too old to be sent again.
func (r *Reporter) recent() []Report {
	var recent []Report
	for _, report := range r.decided {
		if r.Ledger.SinceEnd(report.Window) < repeatLimit {
			recent = append(recent, report)
		}
	}
	return recent
}

func (r *Reporter) report(w Window) Report {
	counts := make(map[string]int64)
	for _, workspace := range r.WorkspacesFunc() {
		counts[workspace] = 0
	}
	maps.Copy(counts, r.Ledger.Totals(w))
	return Report{Window: w, Counts: counts}
}

func (r *Reporter) send(ctx context.Context, report Report) {
	if r.sent[report.Window] || r.Ledger.SinceEnd(report.Window) > repeatLimit {
		return
	}
	fence, held := r.Lease.Held()
	if !held || fence != r.fence {
		return
	}
	if err := r.SendFunc(ctx, fence, report); err != nil {
		r.Log.Warn().Err(err).Int64("window", int64(report.Window)).Int64("fence", int64(fence)).Msg("Usage could not be reported.")
		return
	}
	r.sent[report.Window] = true
	r.Log.Info().Int64("window", int64(report.Window)).Int64("fence", int64(fence)).Interface("counts", report.Counts).Msg("Usage reported.")
}
