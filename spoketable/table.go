package spoketable

import (
	"context"
	"encoding/json"
	"net/http"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeerror"
	"mulberryspoke.example/mulberryspoke/spokehttp"
	"mulberryspoke.example/mulberryspoke/spoketrace"
)

// Kind classifies the errors of this package.
type Kind string

const (
	// KindUnavailable means that the call failed and had no effect.
	KindUnavailable Kind = "unavailable"
	// KindOutcomeUnknown means that a transaction may have been committed.
	KindOutcomeUnknown Kind = "unknown"
	// KindMalformed means that a row or a response doesn't have the expected
	// content.
	KindMalformed Kind = "malformed"
)

const (
	defaultTimeout = spokeclock.Second
	scanPageRows   = 1000
)

// Table is a client of the table service. Set its fields before the first
// call. It is safe for concurrent use.
type Table struct {
	// URL is the base URL of the service, such as "http://127.0.0.1:9000".
	URL string
	// Client sends reads, whose responses name their rows. It is required.
	Client *http.Client
	// NoKeepAliveClient sends transactions and scans. It must not reuse connections,
	// on which a late copy of an earlier response could pass for theirs. It is
	// required.
	NoKeepAliveClient *http.Client
	// Timeout bounds each call. Zero means one second.
	Timeout spokeclock.Millis

	eras EraTracker
}

// Read returns the rows of the keys, in the order of the keys. It returns an
// error of kind KindUnavailable if the call fails or times out, or of kind
// KindMalformed if the response has other rows.
func (t *Table) Read(ctx context.Context, keys ...string) ([]Row, error) {
	rows, err := call[Rows](ctx, t, t.Client, "/v1/read", ReadRequest{Keys: keys})
	if err != nil {
		return nil, spokeerror.New("read table", KindUnavailable, err)
	}
	if len(rows.Rows) != len(keys) {
		return nil, spokeerror.Newf("read table", KindMalformed, "response has %d rows for %d keys", len(rows.Rows), len(keys))
	}
	for i, row := range rows.Rows {
		if row.Key != keys[i] {
			return nil, spokeerror.Newf("read table", KindMalformed, "response has row %q in place of %q", row.Key, keys[i])
		}
		if !t.eras.Observe(row.Era) {
			return nil, spokeerror.Newf("read table", KindUnavailable, "the response is of era %d, before a restore of the table", row.Era)
		}
	}
	return rows.Rows, nil
}

// Scan returns a page of the rows whose keys start with prefix and are greater
// than after. It returns an error of kind KindUnavailable if the call fails or
// times out.
func (t *Table) Scan(ctx context.Context, prefix, after string) (Rows, error) {
	rows, err := call[Rows](ctx, t, t.NoKeepAliveClient, "/v1/scan", ScanRequest{Prefix: prefix, After: after, Limit: scanPageRows})
	if err != nil {
		return Rows{}, spokeerror.New("scan table", KindUnavailable, err)
	}
	return rows, nil
}

// ScanAll returns all rows whose keys start with prefix. It reads several pages,
// which may be from different points in time. Its errors are those of Scan.
func (t *Table) ScanAll(ctx context.Context, prefix string) ([]Row, error) {
	var all []Row
	after := ""
	for {
		page, err := t.Scan(ctx, prefix, after)
		if err != nil {
			return nil, err
		}
		all = append(all, page.Rows...)
		if !page.HasMore || len(page.Rows) == 0 {
			return all, nil
		}
		after = page.Rows[len(page.Rows)-1].Key
	}
}

// Transact attempts a transaction once. A conflict is an outcome, not an error.
// It returns an error of kind KindUnavailable if nothing was committed, or of
// kind KindOutcomeUnknown if the transaction may have been committed.
func (t *Table) Transact(ctx context.Context, transaction Transaction) (Outcome, error) {
	outcome, err := call[Outcome](ctx, t, t.NoKeepAliveClient, "/v1/transact", transaction)
	if err == nil && !t.eras.Observe(outcome.Era) {
		return Outcome{}, spokeerror.Newf("write table", KindOutcomeUnknown, "the response is of era %d, before a restore of the table", outcome.Era)
	}
	if err == nil {
		return outcome, nil
	}
	return Outcome{}, spokeerror.New("write table", transactErrorKind(err), err)
}

// transactErrorKind returns KindOutcomeUnknown for the statuses of a failure during the
// transaction or of a gateway that got no response to it.
func transactErrorKind(err error) Kind {
	status := spokehttp.StatusOf(err)
	isRefusal := status > 0 && (status < http.StatusInternalServerError || status == http.StatusServiceUnavailable)
	if isRefusal || spokeerror.KindOf[spokehttp.Kind](err) == spokehttp.KindNotSent {
		return KindUnavailable
	}
	return KindOutcomeUnknown
}

func call[Response any](ctx context.Context, t *Table, client *http.Client, path string, request any) (Response, error) {
	timeout := t.Timeout
	if timeout == 0 {
		timeout = defaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	ctx, span := spoketrace.StartSpan(ctx, "platform table"+path)
	response, err := spokehttp.PostJSON[Response](ctx, client, t.URL+path, request)
	span.End(err)
	return response, err
}

// DecodeRow decodes the JSON of a row. It returns an error of kind KindMalformed
// that contains the row's key.
func DecodeRow[Value any](row Row) (Value, error) {
	var value Value
	if err := json.Unmarshal(row.Value, &value); err != nil {
		return value, spokeerror.Newf("decode row", KindMalformed, "%s: %w", row.Key, err)
	}
	return value, nil
}

// EncodeWrite returns a Write that sets a row to a value. It panics if the value
// can't be encoded as JSON.
func EncodeWrite(key string, value any) Write {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic("spoketable: value of row " + key + " can't be encoded as JSON: " + err.Error())
	}
	return Write{Key: key, Value: encoded}
}
