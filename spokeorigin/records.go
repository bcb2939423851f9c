package spokeorigin

import (
	"context"
	"maps"
	"slices"
	"sync"

	"github.com/rs/zerolog"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeerror"
	"mulberryspoke.example/mulberryspoke/spoketable"
)

const (
	// checkInterval is the time between two checks of the bases.
	checkInterval = 250 * spokeclock.Millis(1)
	// recordTimeout bounds how long a stream waits for its record before it begins.
	recordTimeout = spokeclock.Second
	// probeInterval is the time between two reads that find out whether the table answers
	// again after a failed write.
	probeInterval = spokeclock.Second
	// cleanInterval is the time between two removals of old records, recordLifetime far
	// above the time in which a stream may be resumed, also if wall clocks differ.
	cleanInterval  = 60 * spokeclock.Second
	recordLifetime = 120 * spokeclock.Second
	// maxKnown bounds the streams that are kept in memory.
	maxKnown = 1 << 16
	// maxUnrecorded bounds the records of a shard that are kept while the table is away.
	maxUnrecorded = 1 << 12
)

// Records keeps the origins of streams. Set its fields before the first call. It is
// safe for concurrent use.
type Records struct {
	// Bases is the table of the bases, Shards those of the streams.
	Bases  Table
	Shards []Table
	// VersionsFunc returns how many servers of a service that take new requests have
	// each version of those that any server has.
	VersionsFunc func(service string) map[string]int
	// ServicesFunc returns the services whose streams can be resumed.
	ServicesFunc func() []string
	// EraFunc returns the era of the tables.
	EraFunc func() spoketable.Era
	// IsCleanerFunc reports whether this process changes bases and removes old records.
	IsCleanerFunc func() bool
	// BaseChangedFunc, if set, is called with each base that this process learns.
	BaseChangedFunc func(service, version string)
	// Clock is the time source. Nil means the system clock.
	Clock *spokeclock.Clock
	// Log is the logger.
	Log zerolog.Logger

	writersOnce sync.Once
	writers     []*batchWriter

	mutex sync.Mutex
	bases map[string]*base
	// known are streams that this process has begun or found.
	known map[string]knownStream
	// era is the table's era at the last check, and eraSeenAt when it was first seen.
	era       spoketable.Era
	eraSeenAt spokeclock.Millis
	// hasEarlier is whether some known streams may be of an earlier era.
	hasEarlier bool
	// hasFailed is whether the last write has failed and no read has succeeded since.
	hasFailed bool
	probedAt  spokeclock.Millis
	cleanedAt spokeclock.Millis
	// unrecorded are the records to write once the table answers again, by shard.
	unrecorded map[int][]spoketable.Write
}

type knownStream struct {
	record  record
	expires spokeclock.Millis
	// era is the table's era in which the stream's record was certainly there, or was not
	// needed.
	era spoketable.Era
}

// Begin records that a stream begins at a server of a version. Only after it has
// returned nil may the caller get anything of the stream. Its errors are of
// KindUnavailable or KindOutcomeUnknown.
func (r *Records) Begin(ctx context.Context, stream Stream, version string) error {
	rec := record{Service: stream.Service, Workspace: stream.Workspace, Version: version, WrittenAt: spokeclock.Wall()}
	// A restore during the write may remove the record, so that the era before it counts.
	era := r.EraFunc()
	need := r.recordNeed(stream, version)
	if need == recordNone {
		r.remember(stream, rec, era)
		return nil
	}
	if !stream.hasValidID() {
		return spokeerror.Newf("record stream", KindUnavailable, "the request's ID can't be recorded")
	}
	shard, write := shardOf(stream.ID, len(r.Shards)), spoketable.EncodeWrite(stream.ID, rec)
	if need == recordAfterwards {
		r.remember(stream, rec, era)
		r.recordLater(shard, write)
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, recordTimeout.Duration())
	defer cancel()
	err := r.writer(shard).write(ctx, write)
	if err != nil {
		r.Log.Warn().Err(err).Str("id", stream.ID).Str("service", stream.Service).Str("software_version", version).Msg("Origin of a stream could not be recorded.")
		return err
	}
	r.remember(stream, rec, era)
	return nil
}

// recordLater keeps a record until the table answers again.
func (r *Records) recordLater(shard int, write spoketable.Write) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.unrecorded == nil {
		r.unrecorded = make(map[int][]spoketable.Write)
	}
	if len(r.unrecorded[shard]) < maxUnrecorded {
		r.unrecorded[shard] = append(r.unrecorded[shard], write)
	}
}

// recordUnrecorded writes the records that are kept.
func (r *Records) recordUnrecorded(ctx context.Context) {
	for shard := range r.Shards {
		r.mutex.Lock()
		writes := r.unrecorded[shard]
		batch, hasFailed := writes[:min(len(writes), maxBatch)], r.hasFailed
		r.mutex.Unlock()
		if len(batch) == 0 || hasFailed {
			continue
		}
		outcome, err := r.Shards[shard].TransactFunc(ctx, spoketable.Transaction{Writes: batch})
		r.recordAnswer(err)
		if err != nil || !outcome.Committed {
			return
		}
		r.mutex.Lock()
		r.unrecorded[shard] = r.unrecorded[shard][len(batch):]
		r.mutex.Unlock()
	}
}

// Find returns the version at which a stream began. Its errors are of KindUnknown or
// KindUnavailable.
func (r *Records) Find(ctx context.Context, stream Stream) (string, error) {
	if stream.ID == "" {
		return r.unnamedVersion(ctx, stream.Service)
	}
	if !stream.hasValidID() {
		return "", spokeerror.Newf("find origin", KindUnknown, "the caller names no valid attempt")
	}
	r.mutex.Lock()
	known, isKnown := r.known[stream.ID]
	r.mutex.Unlock()
	if isKnown {
		return known.record.versionFor(stream)
	}
	rows, err := r.Shards[shardOf(stream.ID, len(r.Shards))].ReadFunc(ctx, stream.ID)
	if err != nil {
		return "", spokeerror.New("find origin", KindUnavailable, err)
	}
	if rows[0].Version == 0 {
		return r.unrecordedVersion(ctx, stream, rows[0].Era)
	}
	rec, err := spoketable.DecodeRow[record](rows[0])
	if err != nil {
		return "", spokeerror.New("find origin", KindUnknown, err)
	}
	version, err := rec.versionFor(stream)
	if err == nil {
		r.remember(stream, rec, rows[0].Era)
	}
	return version, err
}

func (r record) versionFor(stream Stream) (string, error) {
	if !r.matches(stream) {
		return "", spokeerror.Newf("find origin", KindUnknown, "the attempt is another service's or workspace's")
	}
	return r.Version, nil
}

// unrecordedVersion returns the version of a stream that has no record: the base. It is read
// after the record was looked for, as the one that this process knows may be an earlier one,
// and streams may have begun without a record since it was replaced.
func (r *Records) unrecordedVersion(ctx context.Context, stream Stream, readIn spoketable.Era) (string, error) {
	row, rec, err := r.findBase(ctx, stream.Service)
	switch {
	case err != nil:
		return "", err
	case row.Era != readIn:
		return "", spokeerror.Newf("find origin", KindUnavailable, "the table was restored between two reads")
	case rec.Era < row.Era && !r.isOnlyVersion(stream.Service, row, rec):
		return "", spokeerror.Newf("find origin", KindUnknown, "the table was restored, and may have lost the record")
	default:
		return rec.Version, nil
	}
}

// unnamedVersion returns the version of a stream of which the caller doesn't tell the attempt
// that began it, while all streams that may be resumed are of one version.
func (r *Records) unnamedVersion(ctx context.Context, service string) (string, error) {
	row, rec, err := r.findBase(ctx, service)
	switch {
	case err != nil:
		return "", err
	case rec.IsRetired || !r.isOnlyVersion(service, row, rec):
		return "", spokeerror.Newf("find origin", KindUnknown, "the caller names no attempt, and servers have several versions")
	default:
		return rec.Version, nil
	}
}

// findBase reads the base of a service. Its errors are those of Find.
func (r *Records) findBase(ctx context.Context, service string) (spoketable.Row, baseRecord, error) {
	row, rec, err := r.readBase(ctx, service)
	switch {
	case err != nil:
		return row, rec, spokeerror.New("find origin", KindUnavailable, err)
	case row.Version == 0:
		return row, rec, spokeerror.Newf("find origin", KindUnknown, "the service has no base yet")
	default:
		return row, rec, nil
	}
}

// isOnlyVersion reports whether all streams that may be resumed are of a base: neither its row
// nor the list of this process tells of servers of other versions.
func (r *Records) isOnlyVersion(service string, row spoketable.Row, rec baseRecord) bool {
	b := r.baseOf(service)
	b.record = rec
	isCurrent := rec.Era == row.Era || r.isListCurrent(row.Era)
	return isCurrent && !rec.IsMixed && b.isOnly(r.VersionsFunc(service), r.Clock.Now())
}

// PreferredVersion returns the version at which new streams of a service should begin as
// others can't be recorded at present, or false.
func (r *Records) PreferredVersion(service string) (string, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	b, exists := r.bases[service]
	if !exists || !b.isKnown || !r.hasFailed {
		return "", false
	}
	return b.record.Version, true
}

func (r *Records) writer(shard int) *batchWriter {
	r.writersOnce.Do(func() {
		for _, table := range r.Shards {
			r.writers = append(r.writers, &batchWriter{table: table, finishedFunc: r.recordAnswer})
		}
	})
	return r.writers[shard]
}

// recordAnswer records whether the table has answered.
func (r *Records) recordAnswer(err error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.hasFailed = err != nil
	r.probedAt = r.Clock.Now()
}

// probe finds out whether the table answers again, so that no stream has to.
func (r *Records) probe(ctx context.Context) {
	r.mutex.Lock()
	isDue := r.hasFailed && r.Clock.Now()-r.probedAt >= probeInterval
	r.mutex.Unlock()
	if !isDue {
		return
	}
	_, err := r.Bases.ReadFunc(ctx, baseKeyPrefix)
	r.recordAnswer(err)
}

// remember keeps a stream in memory for as long as it may be resumed.
func (r *Records) remember(stream Stream, rec record, era spoketable.Era) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.Clock.Now()
	if r.known == nil {
		r.known = make(map[string]knownStream)
	}
	if len(r.known) < maxKnown {
		r.known[stream.ID] = knownStream{record: rec, expires: now + stream.TimeLeft, era: era}
		r.hasEarlier = r.hasEarlier || era < r.era
	}
	r.noteStream(rec, now)
}

// Run maintains the bases and removes old records until ctx ends.
func (r *Records) Run(ctx context.Context) {
	spokeclock.Every(ctx, checkInterval, func() { r.Check(ctx) })
}

// Check maintains the bases once. Run calls it periodically.
func (r *Records) Check(ctx context.Context) {
	r.noteEra()
	r.recordKnown()
	for _, service := range r.ServicesFunc() {
		r.checkBase(ctx, service)
	}
	r.probe(ctx)
	r.recordUnrecorded(ctx)
	r.forgetExpired()
	r.clean(ctx)
}

// noteEra notes that the table has been restored from a copy.
func (r *Records) noteEra() {
	era := r.EraFunc()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if era > r.era {
		r.era, r.eraSeenAt, r.hasEarlier = era, r.Clock.Now(), true
	}
}

// isListCurrent reports whether the list of servers has those of the time before an era.
func (r *Records) isListCurrent(era spoketable.Era) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.era == era && r.Clock.Now()-r.eraSeenAt >= listDelay
}

// recordKnown records the streams that this process knows from an earlier era, as a restore of
// the table may have removed their records. It leaves out those that their service's base tells.
func (r *Records) recordKnown() {
	for id, rec := range r.takeEarlier() {
		b := r.baseOf(rec.Service)
		// The list may have missed the servers of a version that came and went.
		isTold := rec.Version == b.record.Version && b.isOnly(r.VersionsFunc(rec.Service), r.Clock.Now())
		if !isTold {
			r.recordLater(shardOf(id, len(r.Shards)), spoketable.EncodeWrite(id, rec))
		}
	}
}

// takeEarlier returns the known streams of earlier eras, by ID, and makes them ones of the
// present era.
func (r *Records) takeEarlier() map[string]record {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if !r.hasEarlier {
		return nil
	}
	r.hasEarlier = false
	earlier := make(map[string]record)
	for id, stream := range r.known {
		if stream.era < r.era {
			earlier[id] = stream.record
			stream.era = r.era
			r.known[id] = stream
		}
	}
	return earlier
}

// forgetExpired forgets the streams that can't be resumed any more.
func (r *Records) forgetExpired() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.Clock.Now()
	maps.DeleteFunc(r.known, func(_ string, k knownStream) bool { return now >= k.expires })
}

// clean removes old records now and then.
func (r *Records) clean(ctx context.Context) {
	now := r.Clock.Now()
	if now-r.cleanedAt < cleanInterval || !r.IsCleanerFunc() {
		return
	}
	r.cleanedAt = now
	for _, shard := range r.Shards {
		rows, err := shard.ScanFunc(ctx)
		if err != nil {
			return
		}
		r.removeOld(ctx, shard, rows)
	}
}

func (r *Records) removeOld(ctx context.Context, shard Table, rows []spoketable.Row) {
	var writes []spoketable.Write
	for _, row := range rows {
		rec, err := spoketable.DecodeRow[record](row)
		if err != nil || spokeclock.Wall()-rec.WrittenAt > recordLifetime {
			writes = append(writes, spoketable.Write{Key: row.Key})
		}
	}
	for batch := range slices.Chunk(writes, maxBatch) {
		if _, err := shard.TransactFunc(ctx, spoketable.Transaction{Writes: batch}); err != nil {
			r.Log.Warn().Err(err).Msg("Old origins of streams could not be removed.")
			return
		}
	}
}
