package spokestandin

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"

	"golang.org/x/time/rate"

	"mulberryspoke.example/mulberryspoke/spokehttp"
	"mulberryspoke.example/mulberryspoke/spoketable"
)

const (
	defaultReadsPerSecond  = 2000
	defaultWritesPerSecond = 400
	burstDivisor           = 5
)

// TableFaults are the faults that a table service injects.
type TableFaults struct {
	Faults `yaml:",inline"`
	// Stale makes read and scan calls return the rows as they were when this was
	// set.
	Stale bool `json:"stale,omitempty"`
	// Copy keeps a copy of the rows, and Restore replaces the rows by it. A restore
	// begins a new era.
	Copy    bool `json:"copy,omitempty"`
	Restore bool `json:"restore,omitempty"`
}

// TableCounters are the totals of a table service since its start.
type TableCounters struct {
	// Reads is the number of read and scan calls within the rate limit.
	Reads int64 `json:"reads"`
	// Transactions is the number of transactions within the rate limit, also of
	// those that ended in a conflict.
	Transactions int64 `json:"transactions"`
	// RowsWritten is the number of rows written or deleted.
	RowsWritten int64 `json:"rows"`
	// RateLimited is the number of calls rejected by the rate limits.
	RateLimited int64 `json:"limited"`
	// StoredRows is the number of rows in the table now.
	StoredRows int64 `json:"held"`
}

// TableService is a stand-in of a transactional table service. Set its fields
// before Handler.
type TableService struct {
	// ReadsPerSecond limits read and scan calls. Zero means 2,000.
	ReadsPerSecond float64
	// WritesPerSecond limits transactions. Zero means 400.
	WritesPerSecond float64

	injector     faultInjector
	mutex        sync.Mutex
	rows         map[string]spoketable.Row
	staleRows    map[string]spoketable.Row
	version      spoketable.Version
	era          spoketable.Era
	copiedRows   map[string]spoketable.Row
	copiedAt     spoketable.Version
	counters     TableCounters
	readLimiter  *rate.Limiter
	writeLimiter *rate.Limiter
}

// Handler returns the HTTP handler of the service and its control calls.
func (t *TableService) Handler() http.Handler {
	t.rows = make(map[string]spoketable.Row)
	t.readLimiter = newLimiter(t.ReadsPerSecond, defaultReadsPerSecond)
	t.writeLimiter = newLimiter(t.WritesPerSecond, defaultWritesPerSecond)
	service := http.NewServeMux()
	service.Handle("POST /v1/read", spokehttp.JSONHandler(t.read))
	service.Handle("POST /v1/scan", spokehttp.JSONHandler(t.scan))
	service.Handle("POST /v1/transact", spokehttp.JSONHandler(t.transact))
	mux := http.NewServeMux()
	mux.Handle("/", t.injector.wrap(service))
	mux.Handle("POST /control", controlHandler(t.setFaults))
	mux.Handle("GET /use", spokehttp.JSONHandler(t.getCounters))
	return mux
}

// newLimiter returns a limiter that allows bursts of a fifth of a second's calls,
// at least one.
func newLimiter(perSecond, fallback float64) *rate.Limiter {
	if perSecond == 0 {
		perSecond = fallback
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/burstDivisor)))
}

func (t *TableService) setFaults(faults TableFaults) {
	t.injector.setFaults(faults.Faults)
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.staleRows = nil
	if faults.Stale {
		t.staleRows = maps.Clone(t.rows)
	}
	if faults.Copy {
		t.copiedRows, t.copiedAt = maps.Clone(t.rows), t.version
	}
	if faults.Restore {
		t.rows, t.version = maps.Clone(t.copiedRows), t.copiedAt
		t.era++
	}
}

func (t *TableService) getCounters(context.Context, struct{}) (TableCounters, error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	counters := t.counters
	counters.StoredRows = int64(len(t.rows))
	return counters, nil
}

// admitCall counts a call, or returns an error with status 429 if the rate limit
// is reached. The caller holds the mutex.
func (t *TableService) admitCall(limiter *rate.Limiter, count *int64) error {
	if !limiter.Allow() {
		t.counters.RateLimited++
		return &spokehttp.StatusError{Code: http.StatusTooManyRequests, Body: "over the table's rate limit"}
	}
	*count++
	return nil
}

// visibleRows returns the rows that read and scan calls see.
func (t *TableService) visibleRows() map[string]spoketable.Row {
	if t.staleRows != nil {
		return t.staleRows
	}
	return t.rows
}

func (t *TableService) read(_ context.Context, request spoketable.ReadRequest) (spoketable.Rows, error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if err := t.admitCall(t.readLimiter, &t.counters.Reads); err != nil {
		return spoketable.Rows{}, err
	}
	var result spoketable.Rows
	for _, key := range request.Keys {
		row, ok := t.visibleRows()[key]
		if !ok {
			row = spoketable.Row{Key: key}
		}
		row.Era = t.era
		result.Rows = append(result.Rows, row)
	}
	return result, nil
}

func (t *TableService) scan(_ context.Context, request spoketable.ScanRequest) (spoketable.Rows, error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if err := t.admitCall(t.readLimiter, &t.counters.Reads); err != nil {
		return spoketable.Rows{}, err
	}
	var result spoketable.Rows
	for key, row := range t.visibleRows() {
		if strings.HasPrefix(key, request.Prefix) && key > request.After {
			row.Era = t.era
			result.Rows = append(result.Rows, row)
		}
	}
	slices.SortFunc(result.Rows, func(a, b spoketable.Row) int { return strings.Compare(a.Key, b.Key) })
	if len(result.Rows) > request.Limit {
		result.Rows = result.Rows[:request.Limit]
		result.HasMore = true
	}
	return result, nil
}

func (t *TableService) transact(_ context.Context, request spoketable.Transaction) (spoketable.Outcome, error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if err := t.admitCall(t.writeLimiter, &t.counters.Transactions); err != nil {
		return spoketable.Outcome{}, err
	}
	outcome := spoketable.Outcome{Era: t.era}
	for _, condition := range request.Conditions {
		row := t.rows[condition.Key]
		if row.Version != condition.Version {
			row.Key = condition.Key
			row.Era = t.era
			outcome.Conflicts = append(outcome.Conflicts, row)
		}
	}
	if len(outcome.Conflicts) > 0 {
		return outcome, nil
	}
	t.version++
	for _, write := range request.Writes {
		t.applyWrite(write)
	}
	outcome.Committed = true
	outcome.Version = t.version
	return outcome, nil
}

func (t *TableService) applyWrite(write spoketable.Write) {
	t.counters.RowsWritten++
	if len(write.Value) == 0 {
		delete(t.rows, write.Key)
		return
	}
	t.rows[write.Key] = spoketable.Row{Key: write.Key, Value: write.Value, Version: t.version}
}
