package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeRow is a row as the page on the platform's store spells it.
type storeRow struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Version   int64  `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

func (r storeRow) id() string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

// store is a stand-in of the platform's metadata store. All machines see the same rows;
// each has an address of its own (see storeGate), so that it can be cut off by itself.
type store struct {
	mutex   sync.Mutex
	rows    map[string]storeRow
	history []storeRow
	version int64
	changed chan struct{}
	started time.Time
}

// keptChanges bounds the history. It spans more than the 20 s of the sheet here.
const keptChanges = 20000

func newStore() *store {
	return &store{rows: make(map[string]storeRow), version: 1, changed: make(chan struct{}), started: time.Now()}
}

// put writes a row as the operator or a server does, and returns its version.
func (s *store) put(table, key string, value any) int64 {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.apply([]storeRow{{Table: table, Key: key, Value: data}})
	return s.version
}

func (s *store) apply(changes []storeRow) {
	s.version++
	for _, row := range changes {
		row.Version = s.version
		if row.Tombstone {
			delete(s.rows, row.id())
		} else {
			s.rows[row.id()] = row
		}
		s.history = append(s.history, row)
	}
	if len(s.history) > keptChanges {
		s.history = slices.Clone(s.history[len(s.history)-keptChanges:])
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// page is an answer about rows.
type page struct {
	Rows    []storeRow `json:"rows"`
	HasMore bool       `json:"hasMore"`
	Version int64      `json:"ver"`
	Now     int64      `json:"nowMs"`
}

func (s *store) newPage() page {
	return page{Rows: []storeRow{}, Version: s.version, Now: time.Since(s.started).Milliseconds()}
}

// storeGate is the store as one machine reaches it.
type storeGate struct {
	store *store
	// mapRow changes a row for the machine: the addresses of other machines lead through the
	// harness's relays, as all run on one host.
	mapRow func(storeRow) storeRow
	gate
}

func (g *storeGate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	switch r.URL.Path {
	case "/api/rows-get":
		g.get(w, r)
	case "/api/rows-feed":
		g.feed(w, r)
	case "/api/rows-tx":
		g.transact(w, r)
	case "/api/rows-parts":
		_, _ = io.WriteString(w, `{"parts":[],"hasMore":false}`)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

const maxPageRows = 500

func (g *storeGate) get(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	s := g.store
	s.mutex.Lock()
	answer := s.newPage()
	for _, row := range s.rows {
		isInRange := row.Key >= query.Get("from") && (query.Get("to") == "" || row.Key < query.Get("to"))
		if row.Table == query.Get("table") && row.Part == query.Get("part") && isInRange {
			answer.Rows = append(answer.Rows, row)
		}
	}
	s.mutex.Unlock()
	sort.Slice(answer.Rows, func(i, j int) bool { return answer.Rows[i].Key < answer.Rows[j].Key })
	if len(answer.Rows) > maxPageRows {
		answer.Rows, answer.HasMore = answer.Rows[:maxPageRows], true
	}
	g.write(w, answer)
}

func (g *storeGate) write(w http.ResponseWriter, answer page) {
	for i, row := range answer.Rows {
		if g.mapRow != nil {
			answer.Rows[i] = g.mapRow(row)
		}
	}
	_ = json.NewEncoder(w).Encode(answer)
}

func (g *storeGate) feed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	timer := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer timer.Stop()
	s := g.store
	for {
		s.mutex.Lock()
		answer, changed := s.newPage(), s.changed
		for _, row := range s.history {
			if row.Table == query.Get("table") && row.Version > after {
				answer.Rows = append(answer.Rows, row)
			}
		}
		s.mutex.Unlock()
		if len(answer.Rows) > 0 {
			g.write(w, answer)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			g.write(w, answer)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (g *storeGate) transact(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Expected []storeRow `json:"expected"`
		Writes   []storeRow `json:"writes"`
		Remove   []storeRow `json:"remove"`
	}
	data, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(data, &call) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s := g.store
	s.mutex.Lock()
	defer s.mutex.Unlock()
	answer := s.newPage()
	isMet := true
	for _, expected := range call.Expected {
		row := s.rows[expected.id()]
		isMet = isMet && row.Version == expected.Version
		if row.Version > 0 {
			answer.Rows = append(answer.Rows, row)
		}
	}
	for _, row := range append(slices.Clone(call.Writes), call.Remove...) {
		if row.Table == "op" || row.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	if !isMet {
		w.WriteHeader(http.StatusPreconditionFailed)
		g.write(w, answer)
		return
	}
	var changes []storeRow
	for _, row := range call.Writes {
		changes = append(changes, storeRow{Table: row.Table, Part: row.Part, Key: row.Key, Value: row.Value})
	}
	for _, row := range call.Remove {
		changes = append(changes, storeRow{Table: row.Table, Part: row.Part, Key: row.Key, Tombstone: true})
	}
	s.apply(changes)
	answer.Version = s.version
	answer.Rows = []storeRow{}
	g.write(w, answer)
}

// gate is a listener that can be cut: its connections are reset and new ones refused, as by
// a partition that refuses.
type gate struct {
	mutex    sync.Mutex
	address  string
	listener net.Listener
	conns    map[net.Conn]struct{}
	serve    func(net.Conn)
	// cuts is the number of cuts that are in force.
	cuts int
}

func (g *gate) open(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	g.mutex.Lock()
	g.listener, g.address = listener, listener.Addr().String()
	if g.conns == nil {
		g.conns = make(map[net.Conn]struct{})
	}
	g.mutex.Unlock()
	go g.accept(listener)
	return nil
}

func (g *gate) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		g.mutex.Lock()
		if g.cuts > 0 {
			g.mutex.Unlock()
			reset(conn)
			continue
		}
		g.conns[conn] = struct{}{}
		g.mutex.Unlock()
		go func() {
			g.serve(conn)
			g.mutex.Lock()
			delete(g.conns, conn)
			g.mutex.Unlock()
		}()
	}
}

func (g *gate) cut() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.cuts++
	_ = g.listener.Close()
	for conn := range g.conns {
		reset(conn)
	}
}

// heal ends one cut.
func (g *gate) heal() error {
	g.mutex.Lock()
	g.cuts--
	isOpen := g.cuts == 0
	g.mutex.Unlock()
	if !isOpen {
		return nil
	}
	return g.open(g.address)
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// connListener hands single connections to an HTTP server.
type connListener struct {
	conns chan net.Conn
	done  chan struct{}
	addr  net.Addr
}

func (l *connListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}
func (l *connListener) Close() error   { return nil }
func (l *connListener) Addr() net.Addr { return l.addr }

// closeNoticer tells when a connection is closed.
type closeNoticer struct {
	net.Conn
	once   sync.Once
	closed chan struct{}
}

func (c *closeNoticer) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// httpServe returns a function that serves connections of a gate with a handler.
func httpServe(handler http.Handler) func(net.Conn) {
	listener := &connListener{conns: make(chan net.Conn), done: make(chan struct{}), addr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)}}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	return func(conn net.Conn) {
		noticer := &closeNoticer{Conn: conn, closed: make(chan struct{})}
		listener.conns <- noticer
		<-noticer.closed
	}
}

// relayDialer connects from an address by which directLinks tells relays from machines.
var relayDialer = net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 2)}}

// relayTo returns a function that forwards a connection of a gate to an address.
func relayTo(target string) func(net.Conn) {
	return func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		upstream, err := relayDialer.Dial("tcp", target)
		if err != nil {
			reset(conn)
			return
		}
		defer func() { _ = upstream.Close() }()
		done := make(chan struct{}, 2)
		forward := func(to, from net.Conn) {
			_, err := io.Copy(to, from)
			if err != nil && !strings.Contains(err.Error(), "EOF") {
				reset(to)
			}
			done <- struct{}{}
		}
		go forward(upstream, conn)
		go forward(conn, upstream)
		<-done
	}
}
