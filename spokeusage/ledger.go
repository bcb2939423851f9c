package spokeusage

import (
	"maps"
	"strconv"
	"strings"
	"sync"

	"mulberryspoke.example/mulberryspoke/spokeclock"
)

// Window is the number of a window of the wall clock. Window k begins k window
// lengths after the Unix epoch.
type Window int64

const (
	countKeyPrefix = "begun/"
	// windowsKept is how many past windows are kept: those that can still be
	// reported, and some more for a report that is sent again.
	windowsKept = 8
	// maxWindowsAhead bounds the windows of counts and reports of other instances, whose
	// wall clocks may be ahead.
	maxWindowsAhead = 1 << 14
)

// Ledger counts started requests by window and workspace, for this instance and
// its peers. Set its fields before the first call. It is safe for concurrent
// use.
type Ledger struct {
	// WindowLength is the length of a window. With zero nothing is counted.
	WindowLength spokeclock.Millis
	// WallFunc returns the time since the Unix epoch. Nil means the system
	// clock.
	WallFunc func() spokeclock.Millis

	mutex sync.Mutex
	local map[Window]map[string]int64
	// localByKey are the local counts under the keys that peers get.
	localByKey map[string]int64
	peers      map[peerRun]map[Window]map[string]int64
	// peersPrunedIn is the window in which peers was last pruned.
	peersPrunedIn Window
	// dataCentres has the sums of data centres whose instances are not peers.
	dataCentres map[string]map[Window]map[string]int64
}

// peerRun is one run of a peer. A restarted peer has a new generation and
// counts from zero.
type peerRun struct {
	peer       string
	generation int64
}

// CurrentWindow returns the current window. WindowLength must not be zero.
func (l *Ledger) CurrentWindow() Window {
	return Window(l.wall() / l.WindowLength)
}

// isPlausible reports whether a window can have begun by the wall clock of some instance.
func (l *Ledger) isPlausible(w Window) bool {
	return w >= 0 && l.WindowLength > 0 && w <= l.CurrentWindow()+maxWindowsAhead
}

// SinceEnd returns the time since a window's end. It is negative until then.
func (l *Ledger) SinceEnd(w Window) spokeclock.Millis {
	return l.wall() - spokeclock.Millis(w+1)*l.WindowLength
}

func (l *Ledger) wall() spokeclock.Millis {
	if l.WallFunc != nil {
		return l.WallFunc()
	}
	return spokeclock.Wall()
}

// CountRequest counts a request that starts to run now.
func (l *Ledger) CountRequest(workspace string) {
	if l.WindowLength <= 0 {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.local == nil {
		l.local = make(map[Window]map[string]int64)
	}
	current := l.CurrentWindow()
	if len(l.local[current]) == 0 {
		prune(l.local, current)
		l.rebuildKeys()
	}
	setCount(l.local, current, workspace, l.local[current][workspace]+1)
	l.localByKey[countKey(current, workspace)] = l.local[current][workspace]
}

// rebuildKeys builds localByKey anew after old windows were pruned.
func (l *Ledger) rebuildKeys() {
	l.localByKey = make(map[string]int64)
	for w, workspaces := range l.local {
		for workspace, count := range workspaces {
			l.localByKey[countKey(w, workspace)] = count
		}
	}
}

// countKey returns the key of a count in messages to peers.
func countKey(w Window, workspace string) string {
	return countKeyPrefix + strconv.FormatInt(int64(w), 10) + "/" + workspace
}

func setCount(windows map[Window]map[string]int64, w Window, workspace string, count int64) {
	if windows[w] == nil {
		windows[w] = make(map[string]int64)
	}
	windows[w][workspace] = count
}

func prune(windows map[Window]map[string]int64, current Window) {
	for w := range windows {
		if w < current-windowsKept {
			delete(windows, w)
		}
	}
}

// Counts returns this instance's counts, to be sent to peers.
func (l *Ledger) Counts() map[string]int64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return maps.Clone(l.localByKey)
}

// SetPeerCounts stores the changed counts of one run of a peer. Keys of other
// counters are ignored.
func (l *Ledger) SetPeerCounts(peer string, generation int64, counts map[string]int64) {
	if l.WindowLength <= 0 {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.peers == nil {
		l.peers = make(map[peerRun]map[Window]map[string]int64)
	}
	run := peerRun{peer: peer, generation: generation}
	if l.peers[run] == nil {
		l.peers[run] = make(map[Window]map[string]int64)
	}
	l.mergeCounts(l.peers[run], counts)
	l.prunePeers()
}

// prunePeers drops old windows, once in each window, and the runs of peers that have
// none left.
func (l *Ledger) prunePeers() {
	current := l.CurrentWindow()
	if current == l.peersPrunedIn {
		return
	}
	l.peersPrunedIn = current
	for run, windows := range l.peers {
		prune(windows, current)
		if len(windows) == 0 {
			delete(l.peers, run)
		}
	}
}

// SetDataCentreCounts stores changed sums over the instances of a data centre, none
// of which are peers. Of two sums of one window, each of which may lack an
// instance, the greater is right.
func (l *Ledger) SetDataCentreCounts(dataCentre string, counts map[string]int64) {
	if l.WindowLength <= 0 {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.dataCentres == nil {
		l.dataCentres = make(map[string]map[Window]map[string]int64)
	}
	if l.dataCentres[dataCentre] == nil {
		l.dataCentres[dataCentre] = make(map[Window]map[string]int64)
	}
	windows := l.dataCentres[dataCentre]
	l.mergeCounts(windows, counts)
	prune(windows, l.CurrentWindow())
}

// mergeCounts takes the greater of each known and each new count, as counts of one
// origin never decrease. Keys of other counters and of windows that can't have begun are
// ignored.
func (l *Ledger) mergeCounts(windows map[Window]map[string]int64, counts map[string]int64) {
	for key, count := range counts {
		if w, workspace, ok := parseCountKey(key); ok && l.isPlausible(w) {
			setCount(windows, w, workspace, max(count, windows[w][workspace]))
		}
	}
}

// IsCountKey reports whether a counter is one of a ledger.
func IsCountKey(key string) bool { return strings.HasPrefix(key, countKeyPrefix) }

// IsOutdatedKey reports whether a counter is of a window that is no longer kept.
func (l *Ledger) IsOutdatedKey(key string) bool {
	w, _, ok := parseCountKey(key)
	return ok && w < l.CurrentWindow()-windowsKept
}

// parseCountKey is the inverse of countKey. It returns false for other keys.
func parseCountKey(key string) (Window, string, bool) {
	rest, hasPrefix := strings.CutPrefix(key, countKeyPrefix)
	number, workspace, hasWorkspace := strings.Cut(rest, "/")
	w, err := strconv.ParseInt(number, 10, 64)
	return Window(w), workspace, hasPrefix && hasWorkspace && err == nil
}

// Totals returns a window's counts over all instances, by workspace.
func (l *Ledger) Totals(w Window) map[string]int64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	totals := make(map[string]int64)
	for workspace, count := range l.local[w] {
		totals[workspace] += count
	}
	for _, windows := range l.peers {
		for workspace, count := range windows[w] {
			totals[workspace] += count
		}
	}
	for _, windows := range l.dataCentres {
		for workspace, count := range windows[w] {
			totals[workspace] += count
		}
	}
	return totals
}
