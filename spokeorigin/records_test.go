package spokeorigin_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"mulberryspoke.example/mulberryspoke/spokecase"
	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeerror"
	"mulberryspoke.example/mulberryspoke/spokeorigin"
	"mulberryspoke.example/mulberryspoke/spoketable"
)

const (
	service = "lm"
	baseKey = "stream_base/" + service
	// timeLeft is the time of a stream's caller if the script names none.
	timeLeft = 10 * spokeclock.Second
)

type originStream struct {
	ID        string `yaml:"id"`
	Version   string `yaml:"version"`
	Workspace string `yaml:"workspace"`
	// TimeLeft is the time for which the caller may resume the stream.
	TimeLeft spokeclock.Millis `yaml:"time_left_millis"`
}

type originStep struct {
	Note     string            `yaml:"note"`
	Advance  spokeclock.Millis `yaml:"advance_millis"`
	Versions map[string]int    `yaml:"versions"`
	// Table is how the table answers: unavailable, unknown or, by default, as it should.
	Table *string        `yaml:"table"`
	Era   spoketable.Era `yaml:"era"`
	Lose  string         `yaml:"lose"`
	Begin *originStream  `yaml:"begin"`
	Find  *originStream  `yaml:"find"`
	// Forget lets another process go on, which knows the bases.
	Forget bool `yaml:"forget"`
	// IsFrozen is whether the process does not run while the time advances.
	IsFrozen bool `yaml:"is_frozen"`
	// Restart lets a process go on that has just started.
	Restart bool `yaml:"restart"`
	// StoredBase is a base that another process has written, by default in the present era.
	StoredBase string         `yaml:"stored_base"`
	StoredEra  spoketable.Era `yaml:"stored_era"`
	// OddBase is what another process has written in place of a base.
	OddBase       string `yaml:"odd_base"`
	StoredIsMixed bool   `yaml:"stored_is_mixed"`
	// StoredChanges is the number of changes of the base up to the one that was written.
	StoredChanges int64 `yaml:"stored_changes"`
	// StoredAfterRead is a base that another process writes right after the next read.
	StoredAfterRead string           `yaml:"stored_after_read"`
	WantStoredBase  string           `yaml:"want_stored_base"`
	WantBase        string           `yaml:"want_base"`
	Want            string           `yaml:"want"`
	WantError       spokeorigin.Kind `yaml:"want_error"`
	Records         *int             `yaml:"records"`
	Preferred       *string          `yaml:"preferred"`
}

type originCase struct {
	Name  string       `yaml:"name"`
	Steps []originStep `yaml:"steps"`
}

// TestOrigins guards against streams whose version is told wrong, or told although it
// isn't known.
func TestOrigins(t *testing.T) {
	for _, c := range spokecase.Read[[]originCase](t, "testdata/origins.yaml") {
		t.Run(c.Name, func(t *testing.T) { newOriginSimulation(t).run(c.Steps) })
	}
}

type originSimulation struct {
	*testing.T
	memoryTable

	clock    spokeclock.Manual
	failure  string
	versions map[string]int
	records  *spokeorigin.Records
	base     string
	// storedAfterRead is a base that another process writes after the next read.
	storedAfterRead string
}

// memoryTable is a table in memory.
type memoryTable struct {
	rows    map[string]spoketable.Row
	version spoketable.Version
	era     spoketable.Era
}

func newMemoryTable() memoryTable { return memoryTable{rows: make(map[string]spoketable.Row), era: 1} }

func (m *memoryTable) read(keys []string) []spoketable.Row {
	var rows []spoketable.Row
	for _, key := range keys {
		row := m.rows[key]
		row.Key, row.Era = key, m.era
		rows = append(rows, row)
	}
	return rows
}

func (m *memoryTable) transact(t spoketable.Transaction) spoketable.Outcome {
	for _, c := range t.Conditions {
		if m.rows[c.Key].Version != c.Version {
			return spoketable.Outcome{}
		}
	}
	m.version++
	for _, w := range t.Writes {
		m.rows[w.Key] = spoketable.Row{Key: w.Key, Value: w.Value, Version: m.version}
	}
	return spoketable.Outcome{Committed: true, Version: m.version, Era: m.era}
}

func newOriginSimulation(t *testing.T) *originSimulation {
	s := &originSimulation{T: t, memoryTable: newMemoryTable()}
	s.clock.Advance(1)
	s.start()
	return s
}

// start starts a process that knows nothing.
func (s *originSimulation) start() {
	table := spokeorigin.Table{ReadFunc: s.readTable, TransactFunc: s.transactTable, ScanFunc: func(context.Context) ([]spoketable.Row, error) { return nil, nil }}
	s.base = "-"
	s.records = &spokeorigin.Records{
		Bases: table, Shards: []spokeorigin.Table{table}, Clock: s.clock.Clock(), Log: zerolog.Nop(),
		VersionsFunc: func(string) map[string]int { return s.versions }, EraFunc: func() spoketable.Era { return s.era }, IsCleanerFunc: func() bool { return true },
		ServicesFunc:    func() []string { return []string{service} },
		BaseChangedFunc: func(_, version string) { s.base = version },
	}
}

func (s *originSimulation) readTable(_ context.Context, keys ...string) ([]spoketable.Row, error) {
	if s.failure != "" {
		return nil, spokeerror.Newf("read", spoketable.KindUnavailable, "away")
	}
	rows := s.read(keys)
	if version := s.storedAfterRead; version != "" {
		s.storedAfterRead = ""
		s.storeBase(originStep{StoredBase: version})
	}
	return rows, nil
}

func (s *originSimulation) transactTable(_ context.Context, t spoketable.Transaction) (spoketable.Outcome, error) {
	switch s.failure {
	case "unavailable":
		return spoketable.Outcome{}, spokeerror.Newf("write", spoketable.KindUnavailable, "away")
	case "unknown":
		return spoketable.Outcome{}, spokeerror.Newf("write", spoketable.KindOutcomeUnknown, "no answer")
	}
	return s.transact(t), nil
}

func (s *originSimulation) run(steps []originStep) {
	for i, step := range steps {
		s.set(step)
		s.records.Check(context.Background())
		// The time in which no server has the base begins with the check that notices it.
		s.clock.Advance(step.Advance)
		if !step.IsFrozen {
			s.records.Check(context.Background())
		}
		if step.WantBase != "" {
			require.Equal(s, step.WantBase, s.base, "step %d", i+1)
		}
		if step.WantStoredBase != "" {
			require.Contains(s, string(s.rows[baseKey].Value), step.WantStoredBase, "step %d", i+1)
		}
		s.check(step, i+1)
	}
}

func (s *originSimulation) set(step originStep) {
	if step.Versions != nil {
		s.versions = step.Versions
	}
	if step.Table != nil {
		s.failure = *step.Table
	}
	s.era = max(s.era, step.Era)
	delete(s.rows, step.Lose)
	if step.Restart {
		s.start()
	}
	if step.StoredBase != "" {
		s.storeBase(step)
	}
	if step.OddBase != "" {
		s.version++
		s.rows[baseKey] = spoketable.Row{Key: baseKey, Value: []byte(step.OddBase), Version: s.version}
	}
	s.storedAfterRead = step.StoredAfterRead
}

// storeBase writes a base as another process does, by default in the present era.
func (s *originSimulation) storeBase(step originStep) {
	era := step.StoredEra
	if era == 0 {
		era = s.era
	}
	s.version++
	s.rows[baseKey] = spoketable.Row{Key: baseKey, Value: fmt.Appendf(nil, `{"software_version":%q,"era":%d,"is_mixed":%t,"changes":%d}`, step.StoredBase, era, step.StoredIsMixed, step.StoredChanges), Version: s.version}
}

// check begins or finds a stream.
func (s *originSimulation) check(step originStep, number int) {
	before := s.streamRows()
	var err error
	switch {
	case step.Begin != nil:
		err = s.records.Begin(context.Background(), step.Begin.stream(), step.Begin.Version)
	case step.Find != nil:
		var version string
		if step.Forget {
			s.forget()
		}
		version, err = s.records.Find(context.Background(), step.Find.stream())
		require.Equal(s, step.Want, version, "step %d: %v", number, err)
	}
	require.Equal(s, step.WantError, spokeerror.KindOf[spokeorigin.Kind](err), "step %d: %v", number, err)
	if step.Records != nil {
		require.Equal(s, *step.Records, s.streamRows()-before, "step %d", number)
	}
	if step.Preferred != nil {
		preferred, _ := s.records.PreferredVersion(service)
		require.Equal(s, *step.Preferred, preferred, "step %d", number)
	}
}

// forget lets the streams that the process knows expire in its memory alone.
func (s *originSimulation) forget() { s.records.Forget() }

func (s *originSimulation) streamRows() int {
	return len(slices.DeleteFunc(slices.Collect(maps.Keys(s.rows)), func(key string) bool { return strings.HasPrefix(key, "stream_base/") }))
}

func (o *originStream) stream() spokeorigin.Stream {
	left := o.TimeLeft
	if left == 0 {
		left = timeLeft
	}
	return spokeorigin.Stream{ID: o.ID, Service: service, Workspace: o.Workspace, TimeLeft: left}
}
