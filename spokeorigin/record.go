package spokeorigin

import (
	"context"
	"strings"

	"github.com/cespare/xxhash/v2"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spoketable"
)

// Kind is the kind of an error of this package.
type Kind string

const (
	// KindUnknown means that no version can be told for a stream.
	KindUnknown Kind = "unknown"
	// KindUnavailable means that the table did not answer, and that nothing was
	// written.
	KindUnavailable Kind = "unavailable"
	// KindOutcomeUnknown means that a record may have been written, or may be written
	// yet.
	KindOutcomeUnknown Kind = "outcome_unknown"
)

// Stream identifies a stream by the request that began it.
type Stream struct {
	// ID is the caller's ID of the request.
	ID string
	// Service and Workspace are those of the request.
	Service   string
	Workspace string
	// TimeLeft is the time for which the caller may still resume the stream.
	TimeLeft spokeclock.Millis
}

// maxIDBytes bounds the IDs of recorded streams.
const maxIDBytes = 128

func (s Stream) hasValidID() bool {
	return s.ID != "" && len(s.ID) <= maxIDBytes && !strings.ContainsFunc(s.ID, func(char rune) bool { return char <= ' ' || char == ',' || char > '~' })
}

// record is the row of a stream.
type record struct {
	Service   string `json:"service"`
	Workspace string `json:"workspace,omitempty"`
	Version   string `json:"software_version"`
	// WrittenAt is the wall time of the writer, for the removal of old rows.
	WrittenAt spokeclock.Millis `json:"written_at_millis"`
}

func (r record) matches(s Stream) bool { return r.Service == s.Service && r.Workspace == s.Workspace }

// baseRecord is the row of a service's base.
type baseRecord struct {
	Version string `json:"software_version"`
	// IsRetired is whether all new streams have to be recorded. Those without a record
	// are still of this version.
	IsRetired bool `json:"is_retired,omitempty"`
	// IsMixed is whether servers of other versions are known, or were while their streams
	// may still be resumed.
	IsMixed bool `json:"is_mixed,omitempty"`
	// Changes counts the changes of the base, so that the later of two rows is known
	// after a restore of the table.
	Changes int64 `json:"changes,omitempty"`
	// Era is the era of the table in which no record of a stream is missing. It is below
	// the present one after a restore, until streams whose records were lost can't be
	// resumed any more.
	Era spoketable.Era `json:"era,omitempty"`
}

const baseKeyPrefix = "stream_base/"

// Table is a table, or a shard of one. Its errors are those of spoketable.Table.
type Table struct {
	// ReadFunc returns rows by their keys.
	ReadFunc func(ctx context.Context, keys ...string) ([]spoketable.Row, error)
	// TransactFunc tries a transaction once.
	TransactFunc func(ctx context.Context, transaction spoketable.Transaction) (spoketable.Outcome, error)
	// ScanFunc returns all rows. It is not needed for the table of bases.
	ScanFunc func(ctx context.Context) ([]spoketable.Row, error)
}

// shardOf returns the shard of a stream's record.
func shardOf(id string, shards int) int { return int(xxhash.Sum64String(id) % uint64(shards)) } //nolint:gosec // The number of shards is small.
