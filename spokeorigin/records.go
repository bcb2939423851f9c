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
	// checkInterval is the time between two checks of the bases, readInterval between two
	// reads of a base whose servers have left.
	checkInterval = 250 * spokeclock.Millis(1)
	readInterval  = 2 * spokeclock.Second
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
	// each version.
	VersionsFunc func(service string) map[string]int
	// ResumeTimesFunc returns the services whose streams can be resumed, with the
	// longest time after its begin at which one may be.
	ResumeTimesFunc func() map[string]spokeclock.Millis
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
	era   spoketable.Era
	// uncertainUntil is until when records may have been lost with a restore.
	uncertainUntil spokeclock.Millis
	// hasFailed is whether the last write has failed and no read has succeeded since.
	hasFailed bool
	probedAt  spokeclock.Millis
	cleanedAt spokeclock.Millis
	// unrecorded are the records to write once the table answers again, by shard.
	unrecorded map[int][]spoketable.Write
}

// base is the version of a service whose streams need no record.
type base struct {
	version string
	isKnown bool
	// absentSince is since when no server has the version, or zero.
	absentSince spokeclock.Millis
	readAt      spokeclock.Millis
}

type knownStream struct {
	record  record
	expires spokeclock.Millis
}

// Begin records that a stream begins at a server of a version. Only after it has
// returned nil may the caller get anything of the stream. Its errors are of
// KindUnavailable or KindOutcomeUnknown.
func (r *Records) Begin(ctx context.Context, stream Stream, version string) error {
	rec := record{Service: stream.Service, Workspace: stream.Workspace, Version: version, WrittenAt: spokeclock.Wall()}
	if !r.needsRecord(stream.Service, version) {
		r.remember(stream, rec)
		return nil
	}
	if !stream.hasValidID() {
		return spokeerror.Newf("record stream", KindUnavailable, "the request's ID can't be recorded")
	}
	shard, write := shardOf(stream.ID, len(r.Shards)), spoketable.EncodeWrite(stream.ID, rec)
	if r.canBeginUnrecorded(stream.Service) {
		r.remember(stream, rec)
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
	r.remember(stream, rec)
	return nil
}

// needsRecord reports whether a stream that begins at a version has to be recorded. While
// the base is not known, only streams of a version that has no other beside it need not.
func (r *Records) needsRecord(service, version string) bool {
	r.mutex.Lock()
	b, exists := r.bases[service]
	isKnown := exists && b.isKnown
	isBase := isKnown && b.version == version
	hasFailed := r.hasFailed
	r.mutex.Unlock()
	if isKnown || !hasFailed {
		return !isBase
	}
	versions := r.VersionsFunc(service)
	return len(versions) != 1 || versions[version] == 0
}

// canBeginUnrecorded reports whether the table doesn't answer and no server has the base:
// a stream without a record is then not resumed by another process.
func (r *Records) canBeginUnrecorded(service string) bool {
	b := r.baseOf(service)
	r.mutex.Lock()
	hasFailed := r.hasFailed
	r.mutex.Unlock()
	return hasFailed && b.isKnown && r.VersionsFunc(service)[b.version] == 0
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
		r.recordWrite(err)
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
	if !stream.hasValidID() {
		return "", spokeerror.Newf("find origin", KindUnknown, "the caller names no attempt")
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
		return r.unrecordedVersion(ctx, stream)
	}
	rec, err := spoketable.DecodeRow[record](rows[0])
	if err != nil {
		return "", spokeerror.New("find origin", KindUnknown, err)
	}
	version, err := rec.versionFor(stream)
	if err == nil {
		r.remember(stream, rec)
	}
	return version, err
}

func (r record) versionFor(stream Stream) (string, error) {
	if !r.matches(stream) {
		return "", spokeerror.Newf("find origin", KindUnknown, "the attempt is another service's or workspace's")
	}
	return r.Version, nil
}

// unrecordedVersion returns the version of a stream that has no record: the base.
func (r *Records) unrecordedVersion(ctx context.Context, stream Stream) (string, error) {
	r.mutex.Lock()
	isUncertain := r.Clock.Now() < r.uncertainUntil
	b, exists := r.bases[stream.Service]
	isKnown := exists && b.isKnown
	version := ""
	if isKnown {
		version = b.version
	}
	r.mutex.Unlock()
	switch {
	case isUncertain:
		return "", spokeerror.Newf("find origin", KindUnknown, "the table was restored, and may have lost the record")
	case isKnown && r.VersionsFunc(stream.Service)[version] > 0:
		return version, nil
	}
	version, exists, err := r.readBase(ctx, stream.Service)
	if err != nil {
		return "", spokeerror.New("find origin", KindUnavailable, err)
	}
	if !exists {
		return "", spokeerror.Newf("find origin", KindUnknown, "the service has no base yet")
	}
	return version, nil
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
	return b.version, true
}

func (r *Records) writer(shard int) *batchWriter {
	r.writersOnce.Do(func() {
		for _, table := range r.Shards {
			r.writers = append(r.writers, &batchWriter{table: table, finishedFunc: r.recordWrite})
		}
	})
	return r.writers[shard]
}

// recordWrite records whether the table has answered.
func (r *Records) recordWrite(err error) {
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
	r.recordWrite(err)
}

// remember keeps a stream in memory for as long as it may be resumed.
func (r *Records) remember(stream Stream, rec record) {
	resumeTime := r.ResumeTimesFunc()[stream.Service]
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.Clock.Now()
	if r.known == nil {
		r.known = make(map[string]knownStream)
	}
	if len(r.known) < maxKnown {
		r.known[stream.ID] = knownStream{record: rec, expires: now + resumeTime}
	}
}

// Run maintains the bases and removes old records until ctx ends.
func (r *Records) Run(ctx context.Context) {
	spokeclock.Every(ctx, checkInterval, func() { r.Check(ctx) })
}

// Check maintains the bases once. Run calls it periodically.
func (r *Records) Check(ctx context.Context) {
	resumeTimes := r.ResumeTimesFunc()
	r.noteEra(ctx, resumeTimes)
	for _, service := range slices.Sorted(maps.Keys(resumeTimes)) {
		r.checkBase(ctx, service, resumeTimes[service])
	}
	r.probe(ctx)
	r.recordUnrecorded(ctx)
	r.forgetExpired()
	r.clean(ctx)
}

// noteEra notices that the table was restored from a copy. Records may be lost, and bases
// may be older ones.
func (r *Records) noteEra(ctx context.Context, resumeTimes map[string]spokeclock.Millis) {
	era := r.EraFunc()
	r.mutex.Lock()
	isRestored := r.era > 0 && era > r.era
	r.era = era
	if isRestored {
		for _, resumeTime := range resumeTimes {
			r.uncertainUntil = max(r.uncertainUntil, r.Clock.Now()+resumeTime)
		}
	}
	r.mutex.Unlock()
	if !isRestored {
		return
	}
	for service := range resumeTimes {
		if b := r.baseOf(service); b.isKnown {
			r.changeBase(ctx, service, b.version)
		}
	}
}

// baseOf returns a copy of what is known of a service's base.
func (r *Records) baseOf(service string) base {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if b, exists := r.bases[service]; exists {
		return *b
	}
	return base{}
}

// updateBase changes what is known of a service's base.
func (r *Records) updateBase(service string, updateFunc func(b *base)) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.bases == nil {
		r.bases = make(map[string]*base)
	}
	if r.bases[service] == nil {
		r.bases[service] = &base{}
	}
	updateFunc(r.bases[service])
}

// checkBase learns the base of a service, and changes it once no stream of it can be
// resumed any more.
func (r *Records) checkBase(ctx context.Context, service string, resumeTime spokeclock.Millis) {
	versions := r.VersionsFunc(service)
	if len(versions) == 0 {
		return
	}
	b, now := r.baseOf(service), r.Clock.Now()
	switch {
	case !b.isKnown && (b.readAt == 0 || now-b.readAt >= readInterval):
		r.learnBase(ctx, service, mostCommon(versions))
	case !b.isKnown:
	case versions[b.version] > 0:
		r.updateBase(service, func(b *base) { b.absentSince = 0 })
	case b.absentSince == 0:
		r.updateBase(service, func(b *base) { b.absentSince = max(1, now) })
	case now-b.absentSince >= resumeTime && now-b.readAt >= readInterval:
		r.replaceBase(ctx, service, b.version, mostCommon(versions))
	}
}

// learnBase reads the base of a service. If there is none yet, one process sets it and the
// others read it later.
func (r *Records) learnBase(ctx context.Context, service, initial string) {
	version, exists, err := r.readBase(ctx, service)
	if err == nil && !exists && r.IsCleanerFunc() {
		version, exists = initial, r.changeBase(ctx, service, initial)
	}
	if err == nil && exists {
		r.adoptBase(service, version)
		return
	}
	if err == nil && !r.IsCleanerFunc() {
		r.updateBase(service, func(b *base) { b.readAt = max(1, r.Clock.Now()) })
	}
}

// replaceBase replaces a base that no server has any more, unless another process has.
func (r *Records) replaceBase(ctx context.Context, service, before, next string) {
	r.updateBase(service, func(b *base) { b.readAt = r.Clock.Now() })
	version, exists, err := r.readBase(ctx, service)
	if err != nil {
		return
	}
	if exists && version != before {
		r.adoptBase(service, version)
		return
	}
	if r.IsCleanerFunc() && r.changeBase(ctx, service, next) {
		r.adoptBase(service, next)
	}
}

func (r *Records) adoptBase(service, version string) {
	r.updateBase(service, func(b *base) { *b = base{version: version, isKnown: true, readAt: r.Clock.Now()} })
	if r.BaseChangedFunc != nil {
		r.BaseChangedFunc(service, version)
	}
	r.Log.Info().Str("service", service).Str("software_version", version).Msg("Streams of this version need no record.")
}

func (r *Records) readBase(ctx context.Context, service string) (version string, exists bool, err error) {
	rows, err := r.Bases.ReadFunc(ctx, baseKeyPrefix+service)
	if err != nil || rows[0].Version == 0 {
		return "", false, err
	}
	rec, err := spoketable.DecodeRow[baseRecord](rows[0])
	return rec.Version, err == nil, err
}

// changeBase writes the base of a service, unless it is that already or changes meanwhile.
func (r *Records) changeBase(ctx context.Context, service, version string) bool {
	key := baseKeyPrefix + service
	rows, err := r.Bases.ReadFunc(ctx, key)
	if err != nil {
		return false
	}
	if rec, err := spoketable.DecodeRow[baseRecord](rows[0]); err == nil && rec.Version == version && rows[0].Version != 0 {
		return true
	}
	outcome, err := r.Bases.TransactFunc(ctx, spoketable.Transaction{
		Conditions: []spoketable.Condition{{Key: key, Version: rows[0].Version}}, Writes: []spoketable.Write{spoketable.EncodeWrite(key, baseRecord{Version: version})},
	})
	return err == nil && outcome.Committed
}

// mostCommon returns the version of most servers, the first of several by name.
func mostCommon(versions map[string]int) string {
	most := ""
	for _, version := range slices.Sorted(maps.Keys(versions)) {
		if versions[version] > versions[most] {
			most = version
		}
	}
	return most
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
