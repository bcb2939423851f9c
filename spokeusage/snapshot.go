package spokeusage

import (
	"strconv"
	"strings"
)

// snapshotSeparator separates the peer from the generation in a snapshot's keys.
const snapshotSeparator = "@"

// Snapshot holds the counts of a ledger by their origin: a run of an instance, or a
// data centre. Counts of one origin never decrease, so that the greater of two is the
// later.
type Snapshot map[string]map[Window]map[string]int64

// add adds the counts of an origin, from a window on.
func (s Snapshot) add(origin string, windows map[Window]map[string]int64, first Window) {
	for w, workspaces := range windows {
		if w < first {
			continue
		}
		if s[origin] == nil {
			s[origin] = make(map[Window]map[string]int64)
		}
		for workspace, count := range workspaces {
			setCount(s[origin], w, workspace, s[origin][w][workspace]+count)
		}
	}
}

// Identity names a run of an instance in a snapshot.
type Identity struct {
	// Instance is the name of the instance, and Generation its run.
	Instance   string
	Generation int64
	// DataCentre is the instance's data centre if its ledger has the counts of other
	// ones as sums, and empty otherwise.
	DataCentre string
}

// Snapshot returns the counts of the windows that may not have been stored yet.
func (l *Ledger) Snapshot(self Identity) Snapshot {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	snapshot := make(Snapshot)
	first := l.CurrentWindow() - snapshotWindows
	origin := func(run peerRun) string {
		if self.DataCentre != "" {
			return self.DataCentre
		}
		return runKey(run)
	}
	snapshot.add(origin(peerRun{peer: self.Instance, generation: self.Generation}), l.local, first)
	for run, windows := range l.peers {
		snapshot.add(origin(run), windows, first)
	}
	for dataCentre, windows := range l.dataCentres {
		snapshot.add(dataCentre, windows, first)
	}
	return snapshot
}

// snapshotWindows is the number of past windows in a snapshot: those that may not
// have been stored yet.
const snapshotWindows = 2

func runKey(run peerRun) string {
	return run.peer + snapshotSeparator + strconv.FormatInt(run.generation, 10)
}

// Restore adds the counts of a snapshot, of which each may be known already. It leaves
// out those of this run itself and of origins that the ledger has in another way: runs
// of instances where it has sums, and this data centre's sum.
func (l *Ledger) Restore(snapshot Snapshot, self Identity) {
	for origin, windows := range snapshot {
		name, number, isRun := strings.Cut(origin, snapshotSeparator)
		run, err := strconv.ParseInt(number, 10, 64)
		isOwn := origin == self.DataCentre || (name == self.Instance && run == self.Generation)
		if isOwn || isRun != (self.DataCentre == "") || (isRun && err != nil) {
			continue
		}
		counts := make(map[string]int64)
		for w, workspaces := range windows {
			for workspace, count := range workspaces {
				counts[countKey(w, workspace)] = count
			}
		}
		if isRun {
			l.SetPeerCounts(name, run, counts)
		} else {
			l.SetDataCentreCounts(origin, counts)
		}
	}
}
