package spokebackend

import (
	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokecloud"
)

// Attempt is one attempt under way at a server. It is used by one goroutine.
type Attempt struct {
	registry *Registry
	server   *server
	instance spokecloud.Instance
	long     bool
	lastAt   spokeclock.Millis
	unread   int
	ended    bool
}

// BeginAttempt counts an attempt at a server. Leaving is called, from another
// goroutine, when the server turns out to be leaving. It reports false when
// the server is not known or is leaving already.
func (r *Registry) BeginAttempt(name string, long bool, leaving func(Removal)) (*Attempt, bool) {
	w, begun := r.begin(name, long, leaving)
	if begun && long {
		r.tellLong()
	}
	return w, begun
}

func (r *Registry) tellLong() {
	if r.LongAnswersChangedFunc != nil {
		r.LongAnswersChangedFunc()
	}
}

func (r *Registry) begin(name string, long bool, leaving func(Removal)) (*Attempt, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	s, known := r.servers[name]
	if !known || r.takesNoWork(s) {
		return nil, false
	}
	s.own++
	if long {
		s.ownLong++
	}
	w := &Attempt{registry: r, server: s, instance: s.instance, long: long, lastAt: r.Clock.Now()}
	if r.cancels[name] == nil {
		r.cancels[name] = make(map[*Attempt]func(Removal))
	}
	r.cancels[name][w] = leaving
	return w, true
}

// Instance returns the server's line of the list.
func (w *Attempt) Instance() spokecloud.Instance { return w.instance }

// AddPrefill notes that the server has to read so many tokens of a prompt before
// the first one of its answer comes.
func (w *Attempt) AddPrefill(tokens int) {
	w.registry.mutex.Lock()
	defer w.registry.mutex.Unlock()
	w.unread += tokens
	w.server.unread += tokens
}

// hasRead notes that the whole prompt has been read. The registry is locked.
func (w *Attempt) hasRead() {
	w.server.unread -= w.unread
	w.unread = 0
}

// RecordToken notes that a token came.
func (w *Attempt) RecordToken(first bool) {
	r := w.registry
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.Clock.Now()
	r.answered[w.instance.DataCentre] = now
	if first {
		w.hasRead()
	} else {
		w.server.observeGap(now-w.lastAt, now)
	}
	w.lastAt = now
}

// RecordStall notes that no token came for a while.
func (w *Attempt) RecordStall() {
	r := w.registry
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.Clock.Now()
	w.server.observeGap(now-w.lastAt, now)
}

// Slowness returns the server's time for a token against the median of its
// service; 1 is normal.
func (w *Attempt) Slowness() float64 {
	r := w.registry
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return w.server.slowness(r.medianGap(w.instance.Service), r.Clock.Now())
}

// Succeed ends the attempt with a whole answer.
func (w *Attempt) Succeed() {
	w.end(func(s *server) { s.succeed() })
}

// Fail ends the attempt with a failure of the server.
func (w *Attempt) Fail() {
	w.end(func(s *server) { s.fail(w.registry.Clock.Now()) })
}

// EndRefused ends the attempt with a server that had no room.
func (w *Attempt) EndRefused() {
	w.end(func(s *server) { s.fill(w.registry.Clock.Now()) })
}

// Abandon ends the attempt without a verdict on the server.
func (w *Attempt) Abandon() {
	w.end(func(*server) {})
}

func (w *Attempt) end(verdict func(*server)) {
	if w.ended {
		return
	}
	w.ended = true
	w.settle(verdict)
	if w.long {
		w.registry.tellLong()
	}
}

func (w *Attempt) settle(verdict func(*server)) {
	r := w.registry
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.cancels[w.instance.Name], w)
	w.hasRead()
	w.server.own--
	if w.long {
		w.server.ownLong--
	}
	verdict(w.server)
}
