package spokebackend

import (
	"slices"
	"strings"
	"sync"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokecloud"
	"mulberryspoke.example/mulberryspoke/spokeengine"
)

// forgetAfter is how long a server that left the list is remembered, so that
// an older list does not bring it back.
const forgetAfter = 10 * 60 * spokeclock.Second

// doubtFor is how long a server is kept against the list.
const doubtFor = 60 * spokeclock.Second

// defaultSlots stands in until a server has reported.
const defaultSlots = 8

// Registry holds the backend servers. Set its fields before the first call.
// It is safe for concurrent use.
type Registry struct {
	// DataCentre is where this process runs.
	DataCentre string
	// Clock tells the time. Nil means the real one.
	Clock *spokeclock.Clock
	// ListIsAuthoritative says that the list is to be believed at once: what it leaves
	// out takes no new work, and what it names again does.
	ListIsAuthoritative bool
	// LongAnswersChangedFunc, if set, is called when a long answer begins or ends here.
	LongAnswersChangedFunc func()

	mutex   sync.Mutex
	servers map[string]*server
	left    map[string]departed
	cancels map[string]map[*Attempt]func(Removal)
	byPeer  map[string]map[ID]InFlight
	byID    map[ID]InFlight
	slots   map[ID]int
	medians map[string]median
	// answered is when a server of each data centre last answered well.
	answered map[string]spokeclock.Millis
}

// departed is a server that has left: which run of it, and when.
type departed struct {
	generation int64
	at         spokeclock.Millis
}

// UpdateInstances takes in the platform's list. Servers that are no longer listed are
// dropped once nothing is under way on them.
func (r *Registry) UpdateInstances(instances []spokecloud.Instance) {
	r.mutex.Lock()
	leaving := r.learn(instances)
	r.mutex.Unlock()
	for _, instance := range leaving {
		r.MarkForRemoval(instance.Name, Removal{Source: SourceList, Remaining: instance.TimeLeft})
	}
}

func (r *Registry) learn(instances []spokecloud.Instance) []spokecloud.Instance {
	r.fill()
	var leaving []spokecloud.Instance
	listed := make(map[string]struct{}, len(instances))
	for _, instance := range instances {
		if instance.Role != spokecloud.RoleBackend {
			continue
		}
		listed[instance.Name] = struct{}{}
		s := r.admit(instance)
		if s != nil && instance.State == spokecloud.StateTerminating {
			leaving = append(leaving, instance)
		}
	}
	r.drop(listed)
	return leaving
}

func (r *Registry) fill() {
	if r.servers != nil {
		return
	}
	r.servers = make(map[string]*server)
	r.left = make(map[string]departed)
	r.cancels = make(map[string]map[*Attempt]func(Removal))
	r.byPeer = make(map[string]map[ID]InFlight)
	r.byID = make(map[ID]InFlight)
	r.slots = make(map[ID]int)
	r.answered = make(map[string]spokeclock.Millis)
}

// admit adds or updates a listed server, unless it is known to have left.
func (r *Registry) admit(instance spokecloud.Instance) *server {
	if gone, left := r.left[instance.Name]; left && instance.Generation <= gone.generation {
		return nil
	}
	s, known := r.servers[instance.Name]
	if !known || instance.Generation > s.instance.Generation {
		s = &server{trust: 1}
		r.servers[instance.Name] = s
	}
	s.instance = instance
	return s
}

// drop forgets servers that are no longer listed. A list that drops most of a
// service's servers at once is believed only of those that fail too.
func (r *Registry) drop(listed map[string]struct{}) {
	now := r.Clock.Now()
	doubtful := r.doubtful(listed)
	for name, s := range r.servers {
		if _, still := listed[name]; still {
			s.unlisted = 0
			continue
		}
		if s.unlisted == 0 {
			s.unlisted = now
		}
		if s.own > 0 || (!r.ListIsAuthoritative && doubtful[s.instance.Service] && s.mayBeLive(now)) {
			continue
		}
		if s.leaving != "" {
			r.left[name] = departed{generation: s.instance.Generation, at: now}
		}
		delete(r.servers, name)
	}
	for name, gone := range r.left {
		_, still := listed[name]
		if !still && now-gone.at > forgetAfter {
			delete(r.left, name)
		}
	}
}

// doubtful returns the services of which a list drops most live servers.
func (r *Registry) doubtful(listed map[string]struct{}) map[string]bool {
	kept := make(map[string]int)
	for name, s := range r.servers {
		if s.leaving != "" {
			continue
		}
		if _, still := listed[name]; still {
			kept[s.instance.Service]++
		} else {
			kept[s.instance.Service]--
		}
	}
	services := make(map[string]bool)
	for service, balance := range kept {
		services[service] = balance < 0
	}
	return services
}

// MarkForRemoval marks a server as leaving. The mark of any source but an operator
// stays until the server is gone, and takes the place of an operator's. Work
// under way is told.
func (r *Registry) MarkForRemoval(name string, departure Removal) {
	for _, cancel := range r.leave(name, departure) {
		cancel(departure)
	}
}

func (r *Registry) leave(name string, departure Removal) []func(Removal) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	s, known := r.servers[name]
	if !known || s.leaving == departure.Source {
		return nil
	}
	if s.leaving != "" && !s.leaving.byOperator() {
		return nil
	}
	s.leaving = departure.Source
	left := departure.Remaining
	if left == 0 {
		left = unknownLeft
	}
	s.goneBy = r.Clock.Now() + left
	told := make([]func(Removal), 0, len(r.cancels[name]))
	for _, cancel := range r.cancels[name] {
		told = append(told, cancel)
	}
	return told
}

// ClearOperatorMark takes an operator's mark back. Marks of other sources stay.
func (r *Registry) ClearOperatorMark(name string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if s, known := r.servers[name]; known && s.leaving.byOperator() {
		s.leaving = ""
	}
}

// Removals returns the departures to tell peers of, by server: those that did
// not come from an operator, whom every instance hears itself.
func (r *Registry) Removals() map[string]spokeclock.Millis {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.Clock.Now()
	departures := make(map[string]spokeclock.Millis)
	for name, s := range r.servers {
		if s.leaving != "" && !s.leaving.byOperator() {
			departures[name] = max(1, s.goneBy-now)
		}
	}
	return departures
}

// OperatorMarked returns the names of servers that an operator has marked.
func (r *Registry) OperatorMarked() []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var names []string
	for name, s := range r.servers {
		if s.leaving.byOperator() {
			names = append(names, name)
		}
	}
	return names
}

// RecordLoad takes in a server's report of itself.
func (r *Registry) RecordLoad(name string, load spokeengine.Load) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if s, known := r.servers[name]; known {
		s.load = load
		s.loadAt = r.Clock.Now() - load.Age
	}
}

// LocalServerNames returns the servers of this data centre, in order.
func (r *Registry) LocalServerNames() []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var names []string
	for name, s := range r.servers {
		if s.instance.DataCentre == r.DataCentre {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, strings.Compare)
	return names
}
