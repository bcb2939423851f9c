package spokeorigin

import (
	"context"
	"maps"
	"slices"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spoketable"
)

const (
	// readInterval is the time between two tries to read a base, and refreshInterval
	// between two reads of one that isn't about to change.
	readInterval    = 2 * spokeclock.Second
	refreshInterval = 6 * spokeclock.Second
	// baseValidity is the time after a read for which a base may be taken to be in force.
	// It spans short outages of the table.
	baseValidity = 20 * spokeclock.Second
	// maxUnrecordedTime bounds the time for which the caller of a stream without a record
	// may come back. Streams of callers with more time are recorded.
	maxUnrecordedTime = 20 * spokeclock.Second
	// absentDelay is the time without any server of its version after which a base is
	// retired.
	absentDelay = 2 * spokeclock.Second
	// unlistedDelay is the time after which no list of another instance has a server that
	// takes new requests and that this one's list has no longer.
	unlistedDelay = 10 * spokeclock.Second
	// listDelay is the time after an instance has noticed a restore of the table by which its
	// list has the servers at which streams began before the restore.
	listDelay = 3 * spokeclock.Second
	// replaceDelay is the time after which no stream can come back that began without a
	// record at a base that has been retired: an instance may take the base to be in force
	// for baseValidity, and the caller of the last stream has maxUnrecordedTime.
	replaceDelay = baseValidity + maxUnrecordedTime
)

// base is what this process knows of a service's base: the version whose streams may
// begin without a record. A stream without a record is one of the base. A base that no
// server has is retired first, so that all streams are recorded, and replaced once the
// last stream that began without a record can't be resumed any more.
type base struct {
	record baseRecord
	// row is the version of the row, or zero if there is none.
	row     spoketable.Version
	isKnown bool
	// era is the table's era of the last read.
	era spoketable.Era
	// readAt is when the last successful read began, triedAt when the last one did.
	readAt  spokeclock.Millis
	triedAt spokeclock.Millis
	// seenSince is since when the row has been seen unchanged.
	seenSince spokeclock.Millis
	// absentSince is since when no server has had the version, or zero.
	absentSince spokeclock.Millis
	// otherSeenAt is when a server of another version was last known, or zero.
	otherSeenAt spokeclock.Millis
	// streamsAt is when this process last learnt of a stream of each version.
	streamsAt map[string]spokeclock.Millis
}

// hasOtherStream reports whether a stream of another version, of which this process knows, may
// be resumed.
func (b *base) hasOtherStream(now spokeclock.Millis) bool {
	for version, at := range b.streamsAt {
		if version != b.record.Version && now-at < replaceDelay {
			return true
		}
	}
	return false
}

// isOnly reports whether, by this process's list, all servers have had the version for as long
// as a stream can be resumed.
func (b base) isOnly(versions map[string]int, now spokeclock.Millis) bool {
	return len(versions) == 1 && versions[b.record.Version] > 0 && (b.otherSeenAt == 0 || now-b.otherSeenAt >= replaceDelay)
}

// next returns the base that should follow, or false if there is nothing to change.
func (b base) next(versions map[string]int, now spokeclock.Millis) (baseRecord, bool) {
	next, seenFor := b.record, now-b.seenSince
	next.Changes++
	switch {
	case b.row == 0:
		next.Version, next.Era, next.IsMixed = mostCommon(versions), b.era, len(versions) > 1
	case b.record.Era < b.era && seenFor >= replaceDelay:
		next.Era, next.IsMixed = b.era, b.record.IsMixed && !b.isOnly(versions, now)
	case !b.record.IsRetired && b.absentSince > 0 && now-b.absentSince >= absentDelay:
		next.IsRetired, next.IsMixed = true, true
	case !b.record.IsMixed && b.otherSeenAt > 0 && now-b.otherSeenAt < readInterval:
		next.IsMixed = true
	case b.record.IsMixed && seenFor >= replaceDelay && b.isOnly(versions, now):
		next.IsMixed = false
	case b.record.IsRetired && versions[b.record.Version] > 0:
		next.IsRetired = false
	case b.record.IsRetired && seenFor >= replaceDelay:
		next.Version, next.IsRetired = mostCommon(versions), false
	default:
		return baseRecord{}, false
	}
	return next, true
}

// recordNeed tells when a stream has to be recorded.
type recordNeed int

const (
	// recordFirst is for streams that must not begin without a record.
	recordFirst recordNeed = iota
	// recordAfterwards is for streams that begin while the table doesn't answer. Without a
	// record no other process resumes them at another version.
	recordAfterwards
	recordNone
)

// recordNeed returns when a stream that begins at a version has to be recorded.
func (r *Records) recordNeed(stream Stream, version string) recordNeed {
	versions, b, now := r.VersionsFunc(stream.Service), r.baseOf(stream.Service), r.Clock.Now()
	r.mutex.Lock()
	hasFailed := r.hasFailed
	r.mutex.Unlock()
	isBase := b.isKnown && b.record.Version == version
	isInForce := isBase && !b.record.IsRetired && now-b.readAt <= baseValidity && (b.record.Era == r.EraFunc() || b.isOnly(versions, now))
	isOnly := len(versions) == 1 && versions[version] > 0
	isBaseUnlisted := b.isKnown && b.absentSince > 0 && now-b.absentSince >= unlistedDelay
	switch {
	case isInForce && stream.TimeLeft <= maxUnrecordedTime:
		return recordNone
	case !hasFailed:
		return recordFirst
	case isBase, isBaseUnlisted, !b.isKnown && isOnly:
		return recordAfterwards
	default:
		return recordFirst
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
	updateFunc(r.lockedBase(service))
}

// lockedBase returns what is known of a service's base. The mutex must be held.
func (r *Records) lockedBase(service string) *base {
	if r.bases == nil {
		r.bases = make(map[string]*base)
	}
	if r.bases[service] == nil {
		r.bases[service] = &base{}
	}
	return r.bases[service]
}

// maxStreamVersions bounds the versions whose streams are noted for a service.
const maxStreamVersions = 64

// noteStream notes that a stream of a version may be resumed. The mutex must be held.
func (r *Records) noteStream(rec record, now spokeclock.Millis) {
	b := r.lockedBase(rec.Service)
	if b.streamsAt == nil || len(b.streamsAt) >= maxStreamVersions {
		b.streamsAt = make(map[string]spokeclock.Millis)
	}
	b.streamsAt[rec.Version] = now
}

// checkBase reads the base of a service when that is due. A process that changes bases
// decides on the row that it has just read.
func (r *Records) checkBase(ctx context.Context, service string) {
	versions := r.VersionsFunc(service)
	if versions[mostCommon(versions)] == 0 {
		return
	}
	r.noteVersions(service, versions)
	b, now := r.baseOf(service), r.Clock.Now()
	_, isChangeDue := b.next(versions, now)
	isChangeDue = isChangeDue && r.IsCleanerFunc()
	isDue := !b.isKnown || isChangeDue || now-b.readAt >= refreshInterval || b.era != r.EraFunc()
	if !isDue || (b.triedAt > 0 && now-b.triedAt < readInterval) {
		return
	}
	if !r.refreshBase(ctx, service) || !r.IsCleanerFunc() {
		return
	}
	b = r.baseOf(service)
	if next, isDue := b.next(versions, r.Clock.Now()); isDue {
		r.changeBase(ctx, service, b.row, next)
	}
}

// noteVersions records since when no server that takes new requests has had the base's
// version, and when servers of other versions were last known.
func (r *Records) noteVersions(service string, versions map[string]int) {
	now := max(1, r.Clock.Now())
	r.updateBase(service, func(b *base) {
		if !b.isKnown {
			return
		}
		_, isListed := versions[b.record.Version]
		// The list may have missed the servers of a version that came and went.
		hasMissed := !b.record.IsMixed && b.hasOtherStream(now)
		if len(versions) > 1 || !isListed || hasMissed {
			b.otherSeenAt = now
		}
		switch {
		case versions[b.record.Version] > 0:
			b.absentSince = 0
		case b.absentSince == 0:
			b.absentSince = now
		}
	})
}

// refreshBase reads the base of a service. It returns false if it could not be read.
func (r *Records) refreshBase(ctx context.Context, service string) bool {
	started := max(1, r.Clock.Now())
	r.updateBase(service, func(b *base) { b.triedAt = started })
	row, rec, err := r.readBase(ctx, service)
	if row.Version == 0 {
		r.recordAnswer(err)
	}
	if err != nil {
		r.Log.Warn().Err(err).Str("service", service).Msg("Version whose streams need no record could not be read.")
		return false
	}
	if b := r.baseOf(service); b.isKnown && row.Era > b.era && b.record.Changes > rec.Changes {
		// A restore of the table has brought an older row back.
		r.changeBase(ctx, service, row.Version, b.record)
		return true
	}
	r.adoptBase(service, row, rec, started)
	return true
}

// readBase returns the row of a service's base, which has version zero if there is none or it
// could not be read.
func (r *Records) readBase(ctx context.Context, service string) (spoketable.Row, baseRecord, error) {
	rows, err := r.Bases.ReadFunc(ctx, baseKeyPrefix+service)
	if err != nil {
		return spoketable.Row{}, baseRecord{}, err
	}
	if rows[0].Version == 0 {
		return rows[0], baseRecord{}, nil
	}
	rec, err := spoketable.DecodeRow[baseRecord](rows[0])
	return rows[0], rec, err
}

// changeBase writes a base that follows from a version of its row, unless another process
// has changed the row since.
func (r *Records) changeBase(ctx context.Context, service string, decidedOn spoketable.Version, next baseRecord) {
	started, key := r.Clock.Now(), baseKeyPrefix+service
	outcome, err := r.Bases.TransactFunc(ctx, spoketable.Transaction{
		Conditions: []spoketable.Condition{{Key: key, Version: decidedOn}}, Writes: []spoketable.Write{spoketable.EncodeWrite(key, next)},
	})
	if err == nil && outcome.Committed {
		r.adoptBase(service, spoketable.Row{Version: outcome.Version, Era: outcome.Era}, next, started)
	}
}

// adoptBase records a base as it was in force at a time.
func (r *Records) adoptBase(service string, row spoketable.Row, rec baseRecord, readAt spokeclock.Millis) {
	isChanged, exists := false, row.Version > 0
	r.updateBase(service, func(b *base) {
		isChanged = exists && (!b.isKnown || rec.Version != b.record.Version || rec.IsRetired != b.record.IsRetired)
		if !b.isKnown || row.Version != b.row || row.Era != b.era {
			b.seenSince = r.Clock.Now()
		}
		if rec.Version != b.record.Version {
			b.absentSince, b.otherSeenAt = 0, 0
		}
		b.record, b.row, b.isKnown, b.era, b.readAt = rec, row.Version, exists, row.Era, readAt
	})
	if !isChanged {
		return
	}
	if r.BaseChangedFunc != nil {
		r.BaseChangedFunc(service, rec.Version)
	}
	message := "Streams of this version need no record."
	if rec.IsRetired {
		message = "No server has this version any more; all streams are recorded."
	}
	r.Log.Info().Str("service", service).Str("software_version", rec.Version).Msg(message)
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
