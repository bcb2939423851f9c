package spoketable

import "encoding/json"

// Version numbers every change of a row. It never repeats within a table;
// zero means that the row is absent.
type Version int64

// Row is a row as the table service returns it.
type Row struct {
	// Key names the row.
	Key string `json:"key"`
	// Value is the row's JSON, empty when the row is absent.
	Value json.RawMessage `json:"value,omitempty"`
	// Version is the version of the last change, zero when absent.
	Version Version `json:"version"`
}

// Condition demands that a row still has a version.
type Condition struct {
	// Key names the row.
	Key string `json:"key"`
	// Version is what the row must have; zero demands its absence.
	Version Version `json:"version"`
}

// Write replaces or deletes a row.
type Write struct {
	// Key names the row.
	Key string `json:"key"`
	// Value is the new JSON. Empty deletes the row.
	Value json.RawMessage `json:"value,omitempty"`
}

// Transaction is a set of writes that take effect together or not at all.
type Transaction struct {
	// Conditions must all hold.
	Conditions []Condition `json:"conditions"`
	// Writes take effect together.
	Writes []Write `json:"writes"`
}

// Outcome tells what became of a transaction.
type Outcome struct {
	// Committed reports whether the writes took effect.
	Committed bool `json:"committed"`
	// Version is the version of every row written.
	Version Version `json:"version"`
	// Conflicts are the rows whose condition did not hold, as they are.
	Conflicts []Row `json:"conflicts,omitempty"`
}

// ReadRequest asks for rows by key.
type ReadRequest struct {
	// Keys name the rows.
	Keys []string `json:"keys"`
}

// ScanRequest asks for rows in the order of their keys.
type ScanRequest struct {
	// Prefix is what every key begins with.
	Prefix string `json:"prefix"`
	// After is the key to go on behind.
	After string `json:"after"`
	// Limit is the largest number of rows.
	Limit int `json:"limit"`
}

// Rows is a consistent set of rows.
type Rows struct {
	// Rows are the rows asked for. A read returns absent rows with version 0.
	Rows []Row `json:"rows"`
	// HasMore reports whether a scan was cut short.
	HasMore bool `json:"more"`
}
