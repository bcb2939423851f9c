package spokeconfig_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"

	"mulberryspoke.example/mulberryspoke/spokeconfig"
	"mulberryspoke.example/mulberryspoke/spoketable"
)

// memoryTable is a table service without a network. Its function fields may be nil.
type memoryTable struct {
	// history has the rows after each transaction.
	history []map[string]spoketable.Row
	// viewFunc returns the point in the history of which a read or scan tells.
	viewFunc func() int
	// isRequestLostFunc is called before each transaction and isResponseLostFunc after it.
	isRequestLostFunc, isResponseLostFunc func() bool
	// committedFunc is called with the rows after each transaction that was committed.
	committedFunc func(rows map[string]spoketable.Row)
}

func newMemoryTable() *memoryTable {
	return &memoryTable{history: []map[string]spoketable.Row{{}}}
}

func (m *memoryTable) newRepository() *spokeconfig.Repository {
	client := &http.Client{Transport: m}
	return &spokeconfig.Repository{Table: &spoketable.Table{URL: "http://table", Client: client, NoKeepAliveClient: client}, Store: &spokeconfig.Store{}}
}

// RoundTrip implements http.RoundTripper.
func (m *memoryTable) RoundTrip(request *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return nil, err
	}
	var response any
	switch request.URL.Path {
	case "/v1/read":
		response, err = handle(body, m.read)
	case "/v1/scan":
		response, err = handle(body, m.scan)
	default:
		response, err = handle(body, m.transact)
	}
	if err != nil {
		return nil, err
	}
	text, err := json.Marshal(response)
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{"Content-Type": {"application/json"}}, Body: io.NopCloser(bytes.NewReader(text)), Request: request}, err
}

func handle[Request any](body []byte, handlerFunc func(Request) (any, error)) (any, error) {
	var request Request
	if err := json.Unmarshal(body, &request); err != nil {
		return nil, err
	}
	return handlerFunc(request)
}

func (m *memoryTable) newest() map[string]spoketable.Row { return m.history[len(m.history)-1] }

func (m *memoryTable) view() map[string]spoketable.Row {
	if m.viewFunc == nil {
		return m.newest()
	}
	return m.history[m.viewFunc()]
}

func (m *memoryTable) read(request spoketable.ReadRequest) (any, error) {
	rows := spoketable.Rows{}
	view := m.view()
	for _, key := range request.Keys {
		row := view[key]
		row.Key = key
		rows.Rows = append(rows.Rows, row)
	}
	return rows, nil
}

func (m *memoryTable) scan(request spoketable.ScanRequest) (any, error) {
	view, rows := m.view(), spoketable.Rows{}
	for _, key := range slices.Sorted(maps.Keys(view)) {
		if strings.HasPrefix(key, request.Prefix) && key > request.After {
			rows.Rows = append(rows.Rows, view[key])
		}
	}
	return rows, nil
}

var errReset = errors.New("the connection was reset")

func (m *memoryTable) transact(transaction spoketable.Transaction) (any, error) {
	if m.isRequestLostFunc != nil && m.isRequestLostFunc() {
		return nil, errReset
	}
	outcome := spoketable.Outcome{}
	for _, condition := range transaction.Conditions {
		if row := m.newest()[condition.Key]; row.Version != condition.Version {
			row.Key = condition.Key
			outcome.Conflicts = append(outcome.Conflicts, row)
		}
	}
	if len(outcome.Conflicts) == 0 {
		outcome.Committed, outcome.Version = true, spoketable.Version(len(m.history))
		rows := maps.Clone(m.newest())
		for _, write := range transaction.Writes {
			rows[write.Key] = spoketable.Row{Key: write.Key, Value: write.Value, Version: outcome.Version}
		}
		m.history = append(m.history, rows)
		if m.committedFunc != nil {
			m.committedFunc(rows)
		}
	}
	if m.isResponseLostFunc != nil && m.isResponseLostFunc() {
		return nil, errReset
	}
	return outcome, nil
}
