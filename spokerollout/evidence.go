package spokerollout

import (
	"net/url"
	"strconv"
	"strings"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spoketable"
)

// metric is what is counted of answers.
type metric string

const (
	metricAnswers metric = "a"
	// metricFailed counts the answers that report a failure of the server, metricBroken
	// those that did not arrive or broke off.
	metricFailed metric = "f"
	metricBroken metric = "b"
	// metricTimed counts the answers whose time to the first event could be compared with
	// the old version's, metricSlowFirst the slow ones of them.
	metricTimed     metric = "t"
	metricSlowFirst metric = "w"
	// metricPaced and metricSlowPause are the same for the pauses between events.
	metricPaced     metric = "p"
	metricSlowPause metric = "s"
)

// countPrefix precedes the keys of the counters that instances share.
const countPrefix = "rollout/"

// Names of the counters of a rollout that are not evidence.
const (
	// countAge is the age of the order in ageUnit, countReporters one for each instance.
	countAge       = "age"
	countReporters = "n"
	// countBad is one for each instance that has found the version bad or read so.
	countBad = "bad"
	// countDone is one for each instance that has read that the rollout has succeeded.
	countDone = "done"
	// countNew is one for each instance that runs the rollout and has seen that the version
	// was not ordered before.
	countNew = "new"
)

// ageUnit is the unit of the age of orders in counters.
const ageUnit = 100 * spokeclock.Millis(1)

// countRead is a counter of each instance that has read the orders and the status rows. It
// is of no order.
const countRead = countPrefix + "read"

// IsCountKey reports whether a counter is one of this package.
func IsCountKey(key string) bool { return strings.HasPrefix(key, countPrefix) }

// orderKey identifies an order. Epoch is the version of the row at which an instance has
// first read it, which differs between instances if the operator repeats the order.
type orderKey struct {
	service, to string
	epoch       spoketable.Version
}

// cellKey identifies a counter of evidence.
type cellKey struct {
	stage  int
	isNew  bool
	metric metric
	route  string
}

// orderKeyParts and cellKeyParts are the numbers of parts of keys.
const (
	orderKeyParts = 4
	cellKeyParts  = 4
)

func (k orderKey) prefix() string {
	return countPrefix + url.PathEscape(k.service) + "/" + url.PathEscape(k.to) + "/" + strconv.FormatInt(int64(k.epoch), 10) + "/"
}

func (k cellKey) String() string {
	arm := "old"
	if k.isNew {
		arm = "new"
	}
	return strconv.Itoa(k.stage) + "/" + arm + "/" + string(k.metric) + "/" + url.PathEscape(k.route)
}

// parseKey splits the key of a counter into its order and the rest.
func parseKey(key string) (orderKey, string, bool) {
	rest, isCount := strings.CutPrefix(key, countPrefix)
	parts := strings.SplitN(rest, "/", orderKeyParts)
	if !isCount || len(parts) < orderKeyParts {
		return orderKey{}, "", false
	}
	service, serviceErr := url.PathUnescape(parts[0])
	to, toErr := url.PathUnescape(parts[1])
	epoch, epochErr := strconv.ParseInt(parts[2], 10, 64)
	if serviceErr != nil || toErr != nil || epochErr != nil {
		return orderKey{}, "", false
	}
	return orderKey{service: service, to: to, epoch: spoketable.Version(epoch)}, parts[3], true
}

func parseCellKey(text string) (cellKey, bool) {
	parts := strings.SplitN(text, "/", cellKeyParts)
	if len(parts) < cellKeyParts {
		return cellKey{}, false
	}
	stage, err := strconv.Atoi(parts[0])
	route, routeErr := url.PathUnescape(parts[3])
	if err != nil || routeErr != nil || stage < 0 || stage >= len(shares) {
		return cellKey{}, false
	}
	return cellKey{stage: stage, isNew: parts[1] == "new", metric: metric(parts[2]), route: route}, true
}

// peerEvidence is what one source, an instance or a data centre, has told.
type peerEvidence struct {
	generation int64
	orders     map[orderKey]*orderEvidence
}

// orderEvidence is what one source has told of one order.
type orderEvidence struct {
	cells     map[cellKey]int64
	age       int64
	ageSeenAt spokeclock.Millis
	reporters int64
	bad       int64
	done      int64
	seenNew   int64
}

// evidenceStore has what all sources have told, and the sums of it, so that a look at the
// evidence does not depend on the number of sources.
type evidenceStore struct {
	sources map[string]*peerEvidence
	totals  map[orderKey]map[cellKey]int64
}

// maxSourceOrders bounds the orders of one source that are kept in memory.
const maxSourceOrders = 64

// source returns what a source has told. What an earlier run of it has told is dropped, as
// a data centre's sums tell it again.
func (s *evidenceStore) source(name string, generation int64) *peerEvidence {
	known := s.sources[name]
	if known != nil && known.generation == generation {
		return known
	}
	if s.sources == nil {
		s.sources = make(map[string]*peerEvidence)
		s.totals = make(map[orderKey]map[cellKey]int64)
	}
	if known != nil {
		s.drop(known)
	}
	created := &peerEvidence{generation: generation, orders: make(map[orderKey]*orderEvidence)}
	s.sources[name] = created
	return created
}

// drop forgets what a source has told.
func (s *evidenceStore) drop(source *peerEvidence) {
	for id, told := range source.orders {
		for cell, count := range told.cells {
			s.totals[id][cell] -= count
		}
	}
	clear(source.orders)
}

// set stores a counter of a source. It returns the service and whether the counter tells of
// a new answer of the ordered version.
func (s *evidenceStore) set(source *peerEvidence, key string, count int64, now spokeclock.Millis) (id orderKey, isNewAnswer bool) {
	id, name, ok := parseKey(key)
	if !ok {
		return orderKey{}, false
	}
	e := source.orders[id]
	if e == nil {
		if len(source.orders) >= maxSourceOrders {
			s.drop(source)
		}
		e = &orderEvidence{cells: make(map[cellKey]int64)}
		source.orders[id] = e
		if s.totals[id] == nil {
			s.totals[id] = make(map[cellKey]int64)
		}
	}
	switch name {
	case countAge:
		if count > e.age {
			e.age, e.ageSeenAt = count, now
		}
	case countReporters:
		e.reporters = count
	case countBad:
		e.bad = count
	case countDone:
		e.done = count
	case countNew:
		e.seenNew = count
	default:
		cell, isCell := parseCellKey(name)
		if !isCell {
			return id, false
		}
		isNewAnswer = cell.isNew && cell.metric == metricAnswers && count > e.cells[cell]
		s.totals[id][cell] += count - e.cells[cell]
		e.cells[cell] = count
	}
	return id, isNewAnswer
}

// liveAge is the time without a change of its age after which an order counts as ended at
// a peer. Peers' reports are up to two seconds old.
const liveAge = 4 * spokeclock.Second

func (e *orderEvidence) isLive(now spokeclock.Millis) bool {
	return e.age > 0 && now-e.ageSeenAt <= liveAge
}

// orderAge returns the age of the order at the source. Data centres tell the sum of their
// instances' ages.
func (e *orderEvidence) orderAge() spokeclock.Millis {
	return spokeclock.Millis(e.age) * ageUnit / spokeclock.Millis(max(1, e.reporters))
}
