package spoketable

import "encoding/json"

// Version identifies a change of a row. It never repeats within one era of a
// table. Zero means that the row doesn't exist.
type Version int64

// Era counts how often a table was restored from an older copy. With each restore,
// what was written after the copy is lost, and its versions are assigned again.
// Zero means that the table doesn't tell.
type Era int64

// Row is a row as the table service returns it.
type Row struct {
	// Key is the key of the row.
	Key string `json:"key"`
	// Value is the JSON of the row. It is empty if the row doesn't exist.
	Value json.RawMessage `json:"value,omitempty"`
	// Version is the version of the last change. It is zero if the row doesn't
	// exist.
	Version Version `json:"version"`
	// Era is the table's era at the time of the read.
	Era Era `json:"era,omitempty"`
}

// Condition requires a row to have a certain version.
type Condition struct {
	// Key is the key of the row.
	Key string `json:"key"`
	// Version is the required version. Zero requires that the row doesn't exist.
	Version Version `json:"version"`
}

// Write replaces or deletes a row.
type Write struct {
	// Key is the key of the row.
	Key string `json:"key"`
	// Value is the new JSON of the row. An empty value deletes the row.
	Value json.RawMessage `json:"value,omitempty"`
}

// Transaction is a set of writes that are committed atomically.
type Transaction struct {
	// Conditions must all be met for the transaction to commit.
	Conditions []Condition `json:"conditions"`
	// Writes are the changes to commit.
	Writes []Write `json:"writes"`
}

// Outcome is the result of a transaction.
type Outcome struct {
	// Committed reports whether the writes were committed.
	Committed bool `json:"committed"`
	// Version is the new version of all written rows.
	Version Version `json:"version"`
	// Era is the table's era at the time of the transaction.
	Era Era `json:"era,omitempty"`
	// Conflicts are the rows whose condition was not met, in their current
	// version.
	Conflicts []Row `json:"conflicts,omitempty"`
}

// ReadRequest is a request for rows by key.
type ReadRequest struct {
	// Keys are the keys of the rows.
	Keys []string `json:"keys"`
}

// ScanRequest is a request for rows in key order.
type ScanRequest struct {
	// Prefix selects the rows whose keys start with it.
	Prefix string `json:"prefix"`
	// After is the key after which the scan starts.
	After string `json:"after"`
	// Limit is the maximum number of rows to return.
	Limit int `json:"limit"`
}

// Rows is the response to a read or scan. Its rows are from one point in time.
type Rows struct {
	// Rows are the requested rows. A read returns a row that doesn't exist with
	// version 0.
	Rows []Row `json:"rows"`
	// HasMore reports whether a scan stopped at its limit.
	HasMore bool `json:"more"`
}
