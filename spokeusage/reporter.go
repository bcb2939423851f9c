package spokeusage

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"

	"github.com/rs/zerolog"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokelease"
	"mulberryspoke.example/mulberryspoke/spoketable"
)

const (
	// reportsKey is the key of the row with the latest stored reports.
	reportsKey = "usage/decided"
	// snapshotKey is the key of the row with the holder's counts of the windows that
	// have not been reported.
	snapshotKey = "usage/counts"
	// snapshotInterval is the time between two writes of that row.
	snapshotInterval = spokeclock.Second
	// minCountsDelay is the least time after a window's end until the peers' last
	// counts have arrived: a heartbeat interval of a deployment of some instances
	// and the time to send a lost heartbeat again.
	minCountsDelay = 2500 * spokeclock.Millis(1)
	// maxReportAge is the time after a window's end from which it is no longer
	// reported.
	maxReportAge = 30 * spokeclock.Second
	interval     = 500 * spokeclock.Millis(1)
	// storedWindowKey is the key of the newest window that is known to be stored,
	// in messages to peers.
	storedWindowKey = "usage_stored"
)

// Report is the usage of one window.
type Report struct {
	// Window is the reported window.
	Window Window `json:"window"`
	// Counts has the number of requests started in the window, by workspace.
	Counts map[string]int64 `json:"counts"`
	// Era is the table's era in which the report was stored.
	Era spoketable.Era `json:"era,omitempty"`
}

// Reporter reports each window while this instance holds the lease. A report is
// stored in the table once, before it is sent, so that every later holder sends
// the same counts. Set its fields before Run.
type Reporter struct {
	// Ledger has the counts.
	Ledger *Ledger
	// Lease must be held to report.
	Lease *spokelease.Lease
	// WorkspacesFunc returns the workspaces to report. Those without requests
	// are reported as zero.
	WorkspacesFunc func() []string
	// ReadFunc reads rows of the table that stores the reports.
	ReadFunc func(ctx context.Context, keys ...string) ([]spoketable.Row, error)
	// TransactFunc tries a transaction on that table once.
	TransactFunc func(ctx context.Context, transaction spoketable.Transaction) (spoketable.Outcome, error)
	// SendFunc sends a report with a fencing number.
	SendFunc func(ctx context.Context, fence spokelease.FencingNumber, report Report) error
	// IdentityFunc returns how this process is named in stored counts. Nil means that
	// no counts are stored.
	IdentityFunc func() Identity
	// CountsDelayFunc returns the time after a window's end until the peers' last
	// counts have arrived. Nil means the least time.
	CountsDelayFunc func() spokeclock.Millis
	// EraFunc returns the era of the table. Nil means that it has none.
	EraFunc func() spoketable.Era
	// Log is the logger.
	Log zerolog.Logger

	fence   spokelease.FencingNumber
	version spoketable.Version
	// stored are the reports in the table, if isLoaded.
	stored   []Report
	sent     map[Window]bool
	isLoaded bool
	// snapshotAt is the ledger's time of the last stored snapshot.
	snapshotAt spokeclock.Millis
	// remembered are all reports that this process has read or stored, as the
	// table may be restored from an older copy.
	remembered map[Window]Report
	// lastStored is the newest window of which this process or a peer has stored
	// the report.
	lastStored atomic.Int64
	// era is the newest era that this process knows, eraSeenAt the ledger's time at which
	// it was first seen.
	era       spoketable.Era
	eraSeenAt spokeclock.Millis
	// firstCertain is the first window of which no earlier holder can have sent a report
	// that the table has lost.
	firstCertain Window
	// skippedThrough is the last window that was left out.
	skippedThrough Window
}

// Counts returns the newest window that is known to be stored, to be sent to
// peers.
func (r *Reporter) Counts() map[string]int64 {
	last := r.lastStored.Load()
	if last == 0 {
		return nil
	}
	return map[string]int64{storedWindowKey: last}
}

// SetPeerCounts records the newest window that a peer knows to be stored. Keys of
// other counters are ignored, and so is a window that can't have begun, after which none
// would be reported.
func (r *Reporter) SetPeerCounts(counts map[string]int64) {
	if w := Window(counts[storedWindowKey]); r.Ledger.isPlausible(w) {
		r.recordStored(w)
	}
}

// IsStoredWindowKey reports whether a counter is the newest stored window, which
// must not be summed up.
func IsStoredWindowKey(key string) bool { return key == storedWindowKey }

func (r *Reporter) recordStored(w Window) {
	for {
		last := r.lastStored.Load()
		if int64(w) <= last || r.lastStored.CompareAndSwap(last, int64(w)) {
			return
		}
	}
}

// remember keeps stored reports, and drops those that are no longer sent.
func (r *Reporter) remember(reports []Report) {
	if r.remembered == nil {
		r.remembered = make(map[Window]Report)
	}
	for _, report := range reports {
		if _, known := r.remembered[report.Window]; !known {
			r.remembered[report.Window] = report
		}
		r.recordStored(report.Window)
	}
	for w := range r.remembered {
		if r.Ledger.SinceEnd(w) > maxReportAge {
			delete(r.remembered, w)
		}
	}
}

// Run reports until ctx ends.
func (r *Reporter) Run(ctx context.Context) {
	spokeclock.Every(ctx, interval, func() { r.reportDue(ctx) })
}

// reportDue stores and sends the reports that are due while the lease is held.
func (r *Reporter) reportDue(ctx context.Context) {
	if r.EraFunc != nil {
		r.noteEra(r.EraFunc())
	}
	fence, held := r.Lease.Held()
	if !held {
		r.isLoaded = false
		return
	}
	if fence != r.fence || !r.isLoaded {
		r.isLoaded = r.load(ctx, fence != r.fence)
		if !r.isLoaded {
			return
		}
		r.fence = fence
		r.sent = make(map[Window]bool)
	}
	r.storeSnapshot(ctx)
	if !r.storeEnded(ctx) {
		return
	}
	for _, report := range r.stored {
		r.send(ctx, report)
	}
}

// noteEra records when this process first saw an era of the table.
func (r *Reporter) noteEra(era spoketable.Era) {
	if era > r.era {
		r.era, r.eraSeenAt = era, r.Ledger.wall()
	}
}

// load reads the reports that earlier holders stored. It returns false if they
// could not be read.
func (r *Reporter) load(ctx context.Context, isNewHolder bool) bool {
	rows, err := r.ReadFunc(ctx, reportsKey, snapshotKey)
	if err != nil {
		r.Log.Warn().Err(err).Msg("Stored usage reports could not be read.")
		return false
	}
	r.noteEra(rows[0].Era)
	if isNewHolder {
		r.firstCertain, r.skippedThrough = 0, 0
	}
	r.restoreSnapshot(rows[1])
	r.stored = nil
	r.version = rows[0].Version
	if r.version == 0 {
		return true
	}
	stored, err := spoketable.DecodeRow[[]Report](rows[0])
	if err != nil {
		r.Log.Error().Err(err).Msg("Stored usage reports are malformed.")
		return false
	}
	r.stored = slices.DeleteFunc(stored, func(report Report) bool { return !r.Ledger.isPlausible(report.Window) })
	r.remember(r.stored)
	if isNewHolder && storedEra(r.stored) < rows[0].Era {
		r.firstCertain = Window(r.eraSeenAt / r.Ledger.WindowLength)
	}
	return true
}

// storedEra returns the era in which reports were last stored.
func storedEra(reports []Report) spoketable.Era {
	var era spoketable.Era
	for _, report := range reports {
		era = max(era, report.Era)
	}
	return era
}

// restoreSnapshot adds the counts of an earlier holder, which may be all that is left
// of instances that died together.
func (r *Reporter) restoreSnapshot(row spoketable.Row) {
	if row.Version == 0 || r.IdentityFunc == nil {
		return
	}
	snapshot, err := spoketable.DecodeRow[Snapshot](row)
	if err != nil {
		r.Log.Error().Err(err).Msg("Stored usage counts are malformed.")
		return
	}
	r.Ledger.Restore(snapshot, r.IdentityFunc())
}

// storeSnapshot stores the counts known now, once in each snapshotInterval. A failure
// only makes the counts of a holder that dies older.
func (r *Reporter) storeSnapshot(ctx context.Context) {
	now := r.Ledger.wall()
	if r.IdentityFunc == nil || now-r.snapshotAt < snapshotInterval {
		return
	}
	r.snapshotAt = now
	_, err := r.TransactFunc(ctx, spoketable.Transaction{
		Writes: []spoketable.Write{spoketable.EncodeWrite(snapshotKey, r.Ledger.Snapshot(r.IdentityFunc()))},
	})
	if err != nil {
		r.Log.Warn().Err(err).Msg("Usage counts could not be stored.")
	}
}

// storeEnded stores reports of the windows that have ended since the last
// stored one. It returns false if the table did not accept them.
func (r *Reporter) storeEnded(ctx context.Context) bool {
	last := r.Ledger.CurrentWindow() - 1
	if r.Ledger.SinceEnd(last) < r.countsDelay() {
		last--
	}
	first := last
	if len(r.stored) > 0 {
		first = max(r.stored[len(r.stored)-1].Window+1, last-windowsKept+1)
	}
	first = max(first, r.skippedThrough+1)
	reports := r.recent()
	isNew := false
	for w := first; w <= last; w++ {
		report, ok := r.undecidedReport(w)
		if !ok {
			r.skippedThrough = w
			continue
		}
		report.Era, isNew = r.era, true
		reports = append(reports, report)
	}
	if !isNew {
		return true
	}
	outcome, err := r.TransactFunc(ctx, spoketable.Transaction{
		Conditions: []spoketable.Condition{{Key: reportsKey, Version: r.version}},
		Writes:     []spoketable.Write{spoketable.EncodeWrite(reportsKey, reports)},
	})
	if err != nil || !outcome.Committed {
		r.Log.Warn().Err(err).Bool("conflict", err == nil).Msg("Usage reports could not be stored.")
		r.isLoaded = false
		return false
	}
	r.version = outcome.Version
	r.stored = reports
	r.remember(reports)
	return true
}

// undecidedReport returns the report of a window that the table doesn't have. It
// is the one that this process remembers, if a restore has removed it from the
// table. It returns false if an earlier holder has sent one, or may have, whose counts
// are not known: another report could contradict it.
func (r *Reporter) undecidedReport(w Window) (Report, bool) {
	if report, known := r.remembered[w]; known {
		return report, true
	}
	if w <= Window(r.lastStored.Load()) {
		r.Log.Warn().Int64("window", int64(w)).Msg("Usage report was lost with a restore of the table and is not sent again.")
		return Report{}, false
	}
	if w < r.firstCertain {
		r.Log.Warn().Int64("window", int64(w)).Int64("era", int64(r.era)).Msg("Usage window may have been reported before a restore of the table and is not reported.")
		return Report{}, false
	}
	return r.report(w), true
}

func (r *Reporter) countsDelay() spokeclock.Millis {
	if r.CountsDelayFunc == nil {
		return minCountsDelay
	}
	return max(minCountsDelay, r.CountsDelayFunc())
}

// recent returns the stored reports that may still be sent.
func (r *Reporter) recent() []Report {
	var recent []Report
	for _, report := range r.stored {
		if r.Ledger.SinceEnd(report.Window) < maxReportAge {
			recent = append(recent, report)
		}
	}
	return recent
}

// report builds the report of a window from the counts known now.
func (r *Reporter) report(w Window) Report {
	counts := make(map[string]int64)
	for _, workspace := range r.WorkspacesFunc() {
		counts[workspace] = 0
	}
	maps.Copy(counts, r.Ledger.Totals(w))
	return Report{Window: w, Counts: counts}
}

func (r *Reporter) send(ctx context.Context, report Report) {
	if r.sent[report.Window] || r.Ledger.SinceEnd(report.Window) > maxReportAge {
		return
	}
	fence, held := r.Lease.Held()
	if !held || fence != r.fence {
		return
	}
	if err := r.SendFunc(ctx, fence, report); err != nil {
		r.Log.Warn().Err(err).Int64("window", int64(report.Window)).Int64("fence", int64(fence)).Msg("Usage report could not be sent.")
		return
	}
	r.sent[report.Window] = true
	r.Log.Info().Int64("window", int64(report.Window)).Int64("fence", int64(fence)).Interface("counts", report.Counts).Msg("Usage reported.")
}
