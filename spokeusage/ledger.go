package spokeusage

import (
	"maps"
	"strconv"
	"strings"
	"sync"

	"mulberryspoke.example/mulberryspoke/spokeclock"
)

// Window numbers a span of the wall clock. Window k begins k spans after the
// Unix epoch.
type Window int64

const (
	begunPrefix = "begun/"
	// windowsKept is how many windows are remembered: the one that runs, those
	// that can still be reported, and some for a report that is repeated.
	windowsKept = 8
)

// Ledger counts begun requests by window and workspace, its own and its peers'.
// Set its fields before the first call. It is safe for concurrent use.
type Ledger struct {
	// WindowLength is the length of a window. Zero counts nothing.
	WindowLength spokeclock.Millis
	// WallFunc tells the time since the Unix epoch. Nil means the real one.
	WallFunc func() spokeclock.Millis

	mutex sync.Mutex
	own   map[Window]map[string]int64
	// told are the own counts under the names that peers are told.
	told  map[string]int64
	peers map[run]map[Window]map[string]int64
}

// run is one run of a peer.
type run struct {
	peer       string
	generation int64
}

// CurrentWindow returns the window that runs.
func (l *Ledger) CurrentWindow() Window {
	return Window(l.wall() / l.WindowLength)
}

// SinceEnd returns how long ago a window ended.
func (l *Ledger) SinceEnd(w Window) spokeclock.Millis {
	return l.wall() - spokeclock.Millis(w+1)*l.WindowLength
}

func (l *Ledger) wall() spokeclock.Millis {
	if l.WallFunc != nil {
		return l.WallFunc()
	}
	return spokeclock.Wall()
}

// CountRequest counts a request that began to run now.
func (l *Ledger) CountRequest(workspace string) {
	if l.WindowLength <= 0 {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.own == nil {
		l.own = make(map[Window]map[string]int64)
	}
	now := l.CurrentWindow()
	if len(l.own[now]) == 0 {
		prune(l.own, now)
		l.retell()
	}
	count(l.own, now, workspace, l.own[now][workspace]+1)
	l.told[name(now, workspace)] = l.own[now][workspace]
}

// retell names the counts anew when a window begins.
func (l *Ledger) retell() {
	l.told = make(map[string]int64)
	for w, workspaces := range l.own {
		for workspace, count := range workspaces {
			l.told[name(w, workspace)] = count
		}
	}
}

// name is what peers are told a count under.
func name(w Window, workspace string) string {
	return begunPrefix + strconv.FormatInt(int64(w), 10) + "/" + workspace
}

func count(windows map[Window]map[string]int64, w Window, workspace string, value int64) {
	if windows[w] == nil {
		windows[w] = make(map[string]int64)
	}
	windows[w][workspace] = value
}

func prune(windows map[Window]map[string]int64, now Window) {
	for w := range windows {
		if w < now-windowsKept {
			delete(windows, w)
		}
	}
}

// Counts returns this instance's counts, for its peers.
func (l *Ledger) Counts() map[string]int64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return maps.Clone(l.told)
}

// SetPeerCounts takes in the counts of one run of a peer that have changed. Keys
// of other counters are passed over.
func (l *Ledger) SetPeerCounts(peer string, generation int64, counts map[string]int64) {
	if l.WindowLength <= 0 {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.peers == nil {
		l.peers = make(map[run]map[Window]map[string]int64)
	}
	key := run{peer: peer, generation: generation}
	if l.peers[key] == nil {
		l.peers[key] = make(map[Window]map[string]int64)
	}
	for counted, value := range counts {
		if w, workspace, ok := parse(counted); ok {
			count(l.peers[key], w, workspace, value)
		}
	}
	prune(l.peers[key], l.CurrentWindow())
}

func parse(counted string) (Window, string, bool) {
	rest, begun := strings.CutPrefix(counted, begunPrefix)
	number, workspace, cut := strings.Cut(rest, "/")
	w, err := strconv.ParseInt(number, 10, 64)
	return Window(w), workspace, begun && cut && err == nil
}

// Totals returns the counts of a window over all instances.
func (l *Ledger) Totals(w Window) map[string]int64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	totals := make(map[string]int64)
	for workspace, count := range l.own[w] {
		totals[workspace] += count
	}
	for _, windows := range l.peers {
		for workspace, count := range windows[w] {
			totals[workspace] += count
		}
	}
	return totals
}
