package main

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Store is a stand-in for the platform's metadata store (PROTOCOL.md, "The platform's
// metadata store", and NEWS.md, "With hundreds of machines").
type Store struct {
	mu      sync.Mutex
	rows    map[rowKey]storedRow
	history []change
	// forgotten is the newest version that is no longer in the history.
	forgotten int64
	version   int64
	era       int64
	down      bool
	changed   chan struct{}
	started   time.Time
	copies    []storeCopy
}

type rowKey struct{ table, part, key string }

type storedRow struct {
	value []byte
	ver   int64
}

type change struct {
	key  rowKey
	row  storedRow
	gone bool
	at   time.Time
}

type storeCopy struct {
	at      time.Time
	rows    map[rowKey]storedRow
	version int64
}

type wireRow struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Ver       int64  `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

const (
	historyKept = 20 * time.Second
	storeDelay  = 5 * time.Millisecond
	maxPageRows = 500
)

func NewStore() *Store {
	return &Store{rows: map[rowKey]storedRow{}, changed: make(chan struct{}), version: 100, forgotten: 100, era: 1, started: time.Now()}
}

// Put writes a row as the operator and the workers do. It returns false while the store
// is away.
func (s *Store) Put(table, key string, value any) bool {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return false
	}
	s.apply([]change{{key: rowKey{table, "", key}, row: storedRow{value: data}}})
	return true
}

// Delete removes a row as the platform does.
func (s *Store) Delete(table, key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return false
	}
	if _, found := s.rows[rowKey{table, "", key}]; found {
		s.apply([]change{{key: rowKey{table, "", key}, gone: true}})
	}
	return true
}

// apply makes one transaction of changes. The caller holds the mutex.
func (s *Store) apply(changes []change) {
	s.version++
	now := time.Now()
	for _, c := range changes {
		c.row.ver, c.at = s.version, now
		if c.gone {
			delete(s.rows, c.key)
		} else {
			s.rows[c.key] = c.row
		}
		s.history = append(s.history, c)
	}
	for len(s.history) > 0 && now.Sub(s.history[0].at) > historyKept {
		s.forgotten = s.history[0].row.ver
		s.history = s.history[1:]
	}
	s.wake()
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// KeepCopy keeps a copy of the store, as its platform does all the time.
func (s *Store) KeepCopy() {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := make(map[rowKey]storedRow, len(s.rows))
	for k, r := range s.rows {
		rows[k] = r
	}
	s.copies = append(s.copies, storeCopy{at: time.Now(), rows: rows, version: s.version})
}

// SetDown lets the store be away, or back as it was.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.wake()
}

// Restore brings the store back from the newest copy of at least the age. What the
// operator and the workers wrote since is kept, as it is written again.
func (s *Store) Restore(age time.Duration) (copyAge time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	var chosen storeCopy
	for _, c := range s.copies {
		if now.Sub(c.at) >= age {
			chosen = c
		}
	}
	current := s.rows
	s.rows = map[rowKey]storedRow{}
	for k, r := range chosen.rows {
		if k.table != "op" && k.table != "servers" {
			s.rows[k] = r
		}
	}
	s.version = chosen.version
	s.history, s.forgotten = nil, chosen.version
	s.era++
	var again []change
	for k, r := range current {
		if k.table == "op" || k.table == "servers" {
			again = append(again, change{key: k, row: storedRow{value: r.value}})
		}
	}
	s.apply(again)
	s.down = false
	s.wake()
	return now.Sub(chosen.at)
}

func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(storeDelay)
	s.mu.Lock()
	down, era := s.down, s.era
	s.mu.Unlock()
	w.Header().Set("Store-Era", strconv.FormatInt(era, 10))
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case "/api/rows-tx":
		s.transact(w, body)
	case "/api/rows-get":
		s.get(w, r)
	case "/api/rows-parts":
		s.parts(w, r)
	case "/api/rows-feed":
		s.feed(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) reply(w http.ResponseWriter, status int, rows []wireRow, more bool, ver int64) {
	if rows == nil {
		rows = []wireRow{}
	}
	data, _ := json.Marshal(map[string]any{"rows": rows, "hasMore": more, "ver": ver, "nowMs": time.Since(s.started).Milliseconds()})
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *Store) transact(w http.ResponseWriter, body []byte) {
	var t struct {
		Expected, Writes, Remove []wireRow
		Across                   bool
	}
	if json.Unmarshal(body, &t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	holds := true
	var current []wireRow
	for _, e := range t.Expected {
		row, found := s.rows[rowKey{e.Table, e.Part, e.Key}]
		holds = holds && row.ver == e.Ver
		if found {
			current = append(current, wireRow{Table: e.Table, Part: e.Part, Key: e.Key, Value: row.value, Ver: row.ver})
		}
	}
	if !holds {
		s.reply(w, http.StatusPreconditionFailed, current, false, s.version)
		return
	}
	var changes []change
	for _, row := range t.Writes {
		if row.Table == "op" || row.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		changes = append(changes, change{key: rowKey{row.Table, row.Part, row.Key}, row: storedRow{value: row.Value}})
	}
	for _, row := range t.Remove {
		if _, found := s.rows[rowKey{row.Table, row.Part, row.Key}]; found {
			changes = append(changes, change{key: rowKey{row.Table, row.Part, row.Key}, gone: true})
		}
	}
	s.apply(changes)
	s.reply(w, http.StatusOK, nil, false, s.version)
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit <= 0 || limit > maxPageRows {
		limit = maxPageRows
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []wireRow
	for k, row := range s.rows {
		if k.table == q.Get("table") && k.part == q.Get("part") && k.key >= q.Get("from") && (q.Get("to") == "" || k.key < q.Get("to")) {
			rows = append(rows, wireRow{Table: k.table, Part: k.part, Key: k.key, Value: row.value, Ver: row.ver})
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	more := len(rows) > limit
	if more {
		rows = rows[:limit]
	}
	s.reply(w, http.StatusOK, rows, more, s.version)
}

func (s *Store) parts(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	found := map[string]bool{}
	for k := range s.rows {
		if k.table == q.Get("table") && k.part > q.Get("after") {
			found[k.part] = true
		}
	}
	parts := []string{}
	for p := range found {
		parts = append(parts, p)
	}
	sort.Strings(parts)
	_ = json.NewEncoder(w).Encode(map[string]any{"parts": parts, "ver": s.version})
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	waitMs, _ := strconv.Atoi(q.Get("waitMs"))
	timer := time.NewTimer(time.Duration(min(waitMs, 30000)) * time.Millisecond)
	defer timer.Stop()
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	for {
		s.mu.Lock()
		down, changed := s.down, s.changed
		lost := after < s.forgotten || after > s.version || s.era != era
		last := map[rowKey]int{}
		var rows []wireRow
		for _, c := range s.history {
			if c.key.table != q.Get("table") || c.row.ver <= after {
				continue
			}
			row := wireRow{Table: c.key.table, Part: c.key.part, Key: c.key.key, Value: c.row.value, Ver: c.row.ver, Tombstone: c.gone}
			if at, seen := last[c.key]; seen {
				rows[at].Key = ""
			}
			last[c.key] = len(rows)
			rows = append(rows, row)
		}
		kept := rows[:0]
		for _, row := range rows {
			if row.Key != "" {
				kept = append(kept, row)
			}
		}
		version, newEra := s.version, s.era
		s.mu.Unlock()
		w.Header().Set("Store-Era", strconv.FormatInt(newEra, 10))
		switch {
		case down:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case lost:
			w.WriteHeader(http.StatusGone)
			return
		case len(kept) > 0:
			s.reply(w, http.StatusOK, kept, false, version)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			s.reply(w, http.StatusOK, nil, false, version)
			return
		case <-r.Context().Done():
			return
		}
	}
}
