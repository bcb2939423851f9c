package spokestandin

import (
	"context"
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

// TableFaults are the faults of a table service.
type TableFaults struct {
	Faults `yaml:",inline"`
	// Stale serves reads from how the table was when this was set.
	Stale bool `json:"stale,omitempty"`
}

// TableCounters counts what a table service did.
type TableCounters struct {
	// Reads counts calls that read.
	Reads int64 `json:"reads"`
	// Transactions counts calls that write.
	Transactions int64 `json:"transactions"`
	// RowsWritten counts rows written.
	RowsWritten int64 `json:"rows"`
	// RateLimited counts calls refused for the rate.
	RateLimited int64 `json:"limited"`
	// StoredRows is the number of rows in the table.
	StoredRows int64 `json:"held"`
}

// TableService is a transactional table service. Set its fields before Handler.
type TableService struct {
	// ReadsPerSecond limits reads. Zero means 2,000.
	ReadsPerSecond float64
	// WritesPerSecond limits transactions. Zero means 400.
	WritesPerSecond float64

	faulty  faulty
	mutex   sync.Mutex
	rows    map[string]spoketable.Row
	stale   map[string]spoketable.Row
	version spoketable.Version
	use     TableCounters
	reads   *rate.Limiter
	writes  *rate.Limiter
}

// Handler returns the service's HTTP interface.
func (t *TableService) Handler() http.Handler {
	t.rows = make(map[string]spoketable.Row)
	t.reads = limiter(t.ReadsPerSecond, defaultReadsPerSecond)
	t.writes = limiter(t.WritesPerSecond, defaultWritesPerSecond)
	service := http.NewServeMux()
	service.Handle("POST /v1/read", spokehttp.JSONHandler(t.read))
	service.Handle("POST /v1/scan", spokehttp.JSONHandler(t.scan))
	service.Handle("POST /v1/transact", spokehttp.JSONHandler(t.transact))
	mux := http.NewServeMux()
	mux.Handle("/", t.faulty.wrap(service))
	mux.Handle("POST /control", control(t.set))
	mux.Handle("GET /use", spokehttp.JSONHandler(t.report))
	return mux
}

func limiter(perSecond, fallback float64) *rate.Limiter {
	if perSecond == 0 {
		perSecond = fallback
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/burstDivisor)))
}

func (t *TableService) set(faults TableFaults) {
	t.faulty.set(faults.Faults)
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.stale = nil
	if !faults.Stale {
		return
	}
	t.stale = make(map[string]spoketable.Row, len(t.rows))
	for key, row := range t.rows {
		t.stale[key] = row
	}
}

func (t *TableService) report(context.Context, struct{}) (TableCounters, error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	use := t.use
	use.StoredRows = int64(len(t.rows))
	return use, nil
}

func (t *TableService) admit(limit *rate.Limiter, count *int64) error {
	if !limit.Allow() {
		t.use.RateLimited++
		return &spokehttp.StatusError{Code: http.StatusTooManyRequests, Body: "over the table's rate"}
	}
	*count++
	return nil
}

// readable returns the rows that reads see.
func (t *TableService) readable() map[string]spoketable.Row {
	if t.stale != nil {
		return t.stale
	}
	return t.rows
}

func (t *TableService) read(_ context.Context, request spoketable.ReadRequest) (spoketable.Rows, error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if err := t.admit(t.reads, &t.use.Reads); err != nil {
		return spoketable.Rows{}, err
	}
	var answer spoketable.Rows
	for _, key := range request.Keys {
		row, ok := t.readable()[key]
		if !ok {
			row = spoketable.Row{Key: key}
		}
		answer.Rows = append(answer.Rows, row)
	}
	return answer, nil
}

func (t *TableService) scan(_ context.Context, request spoketable.ScanRequest) (spoketable.Rows, error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if err := t.admit(t.reads, &t.use.Reads); err != nil {
		return spoketable.Rows{}, err
	}
	var answer spoketable.Rows
	for key, row := range t.readable() {
		if strings.HasPrefix(key, request.Prefix) && key > request.After {
			answer.Rows = append(answer.Rows, row)
		}
	}
	slices.SortFunc(answer.Rows, func(a, b spoketable.Row) int { return strings.Compare(a.Key, b.Key) })
	if len(answer.Rows) > request.Limit {
		answer.Rows = answer.Rows[:request.Limit]
		answer.HasMore = true
	}
	return answer, nil
}

func (t *TableService) transact(_ context.Context, request spoketable.Transaction) (spoketable.Outcome, error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if err := t.admit(t.writes, &t.use.Transactions); err != nil {
		return spoketable.Outcome{}, err
	}
	var outcome spoketable.Outcome
	for _, condition := range request.Conditions {
		row := t.rows[condition.Key]
		if row.Version != condition.Version {
			row.Key = condition.Key
			outcome.Conflicts = append(outcome.Conflicts, row)
		}
	}
	if len(outcome.Conflicts) > 0 {
		return outcome, nil
	}
	t.version++
	for _, write := range request.Writes {
		t.put(write)
	}
	outcome.Committed = true
	outcome.Version = t.version
	return outcome, nil
}

func (t *TableService) put(write spoketable.Write) {
	t.use.RowsWritten++
	if len(write.Value) == 0 {
		delete(t.rows, write.Key)
		return
	}
	t.rows[write.Key] = spoketable.Row{Key: write.Key, Value: write.Value, Version: t.version}
}
