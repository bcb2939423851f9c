package spokebackend

import (
	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokecloud"
)

// Work is one attempt under way at a server. It is used by one goroutine.
type Work struct {
	registry *Registry
	server   *server
	instance spokecloud.Instance
	long     bool
	lastAt   spokeclock.Millis
	unread   int
	ended    bool
}

// Begin counts an attempt at a server. Leaving is called, from another
// goroutine, when the server turns out to be leaving. It reports false when
// the server is not known or is leaving already.
func (r *Registry) Begin(name string, long bool, leaving func(Departure)) (*Work, bool) {
	w, begun := r.begin(name, long, leaving)
	if begun && long {
		r.tellLong()
	}
	return w, begun
}

func (r *Registry) tellLong() {
	if r.LongFunc != nil {
		r.LongFunc()
	}
}

func (r *Registry) begin(name string, long bool, leaving func(Departure)) (*Work, bool) {
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
	w := &Work{registry: r, server: s, instance: s.instance, long: long, lastAt: r.Clock.Now()}
	if r.cancels[name] == nil {
		r.cancels[name] = make(map[*Work]func(Departure))
	}
	r.cancels[name][w] = leaving
	return w, true
}

// Instance returns the server's line of the list.
func (w *Work) Instance() spokecloud.Instance { return w.instance }

// Reads notes that the server has to read so many tokens of a prompt before
// the first one of its answer comes.
func (w *Work) Reads(tokens int) {
	w.registry.mutex.Lock()
	defer w.registry.mutex.Unlock()
	w.unread += tokens
	w.server.unread += tokens
}

// hasRead notes that the whole prompt has been read. The registry is locked.
func (w *Work) hasRead() {
	w.server.unread -= w.unread
	w.unread = 0
}

// Token notes that a token came.
func (w *Work) Token(first bool) {
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

// Stalled notes that no token came for a while.
func (w *Work) Stalled() {
	r := w.registry
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.Clock.Now()
	w.server.observeGap(now-w.lastAt, now)
}

// Slowness returns the server's time for a token against the median of its
// service; 1 is normal.
func (w *Work) Slowness() float64 {
	r := w.registry
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return w.server.slowness(r.medianGap(w.instance.Service), r.Clock.Now())
}

// Succeed ends the attempt with a whole answer.
func (w *Work) Succeed() {
	w.end(func(s *server) { s.succeed() })
}

// Fail ends the attempt with a failure of the server.
func (w *Work) Fail() {
	w.end(func(s *server) { s.fail(w.registry.Clock.Now()) })
}

// Refused ends the attempt with a server that had no room.
func (w *Work) Refused() {
	w.end(func(s *server) { s.fill(w.registry.Clock.Now()) })
}

// Leave ends the attempt without a verdict on the server.
func (w *Work) Leave() {
	w.end(func(*server) {})
}

func (w *Work) end(verdict func(*server)) {
	if w.ended {
		return
	}
	w.ended = true
	w.settle(verdict)
	if w.long {
		w.registry.tellLong()
	}
}

func (w *Work) settle(verdict func(*server)) {
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
