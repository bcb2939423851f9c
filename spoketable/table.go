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

// Kind is the kind of an error of this package.
type Kind string

const (
	// KindUnavailable says that the call certainly had no effect.
	KindUnavailable Kind = "unavailable"
	// KindOutcomeUnknown says that a transaction may have taken effect.
	KindOutcomeUnknown Kind = "unknown"
	// KindMalformed says that a row does not hold what was expected.
	KindMalformed Kind = "malformed"
)

const (
	defaultTimeout = spokeclock.Second
	scanLimit      = 1000
)

// Table is a client of the table service. Set its fields before the first
// call. It is safe for concurrent use.
type Table struct {
	// URL is the address of the service, such as "http://127.0.0.1:9000".
	URL string
	// Client makes the calls. Nil means a client of the table's own making is
	// needed and the first call panics.
	Client *http.Client
	// Timeout bounds each call. Zero means one second.
	Timeout spokeclock.Millis
}

// Read returns the rows of the keys, in their order. It returns an error of
// kind KindUnavailable when the service does not answer in time.
func (t *Table) Read(ctx context.Context, keys ...string) ([]Row, error) {
	rows, err := call[Rows](ctx, t, "/v1/read", ReadRequest{Keys: keys})
	if err != nil {
		return nil, spokeerror.New("read table", KindUnavailable, err)
	}
	if len(rows.Rows) != len(keys) {
		return nil, spokeerror.Newf("read table", KindMalformed, "%d rows for %d keys", len(rows.Rows), len(keys))
	}
	return rows.Rows, nil
}

// Scan returns up to a page of rows whose keys begin with a prefix and stand
// behind after. Its errors are those of Read.
func (t *Table) Scan(ctx context.Context, prefix, after string) (Rows, error) {
	rows, err := call[Rows](ctx, t, "/v1/scan", ScanRequest{Prefix: prefix, After: after, Limit: scanLimit})
	if err != nil {
		return Rows{}, spokeerror.New("scan table", KindUnavailable, err)
	}
	return rows, nil
}

// ScanAll returns every row whose key begins with a prefix. Pages may come
// from different moments. Its errors are those of Read.
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

// Transact tries a transaction once. A conflict is an outcome, not an error.
// It returns an error of kind KindUnavailable when nothing took effect and of
// kind KindUnknown when that is not certain.
func (t *Table) Transact(ctx context.Context, transaction Transaction) (Outcome, error) {
	outcome, err := call[Outcome](ctx, t, "/v1/transact", transaction)
	if err == nil {
		return outcome, nil
	}
	return Outcome{}, spokeerror.New("write table", kindOfWrite(err), err)
}

func kindOfWrite(err error) Kind {
	switch spokeerror.KindOf[spokehttp.Kind](err) {
	case spokehttp.KindNotSent, spokehttp.KindRefused:
		return KindUnavailable
	default:
		return KindOutcomeUnknown
	}
}

func call[Answer any](ctx context.Context, t *Table, path string, request any) (Answer, error) {
	timeout := t.Timeout
	if timeout == 0 {
		timeout = defaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	ctx, span := spoketrace.Begin(ctx, "platform table"+path)
	answer, err := spokehttp.Call[Answer](ctx, t.Client, t.URL+path, request)
	span.End(err)
	return answer, err
}

// DecodeRow reads the JSON of a row. It returns an error of kind KindMalformed
// that names the row.
func DecodeRow[Value any](row Row) (Value, error) {
	var value Value
	if err := json.Unmarshal(row.Value, &value); err != nil {
		return value, spokeerror.Newf("decode row", KindMalformed, "%s: %w", row.Key, err)
	}
	return value, nil
}

// EncodeWrite returns a write of a row. It panics if the value has no JSON form.
func EncodeWrite(key string, value any) Write {
	text, err := json.Marshal(value)
	if err != nil {
		panic("spoketable: " + key + " has no JSON form: " + err.Error())
	}
	return Write{Key: key, Value: text}
}
