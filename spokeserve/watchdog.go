package spokeserve

import (
	"context"
	"sync"
	"time"

	"mulberryspoke.example/mulberryspoke/spokebackend"
	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeretry"
)

const (
	firstFactor  = 2
	gapFactor    = 10
	tickFactor   = 3
	queueFactor  = 4
	firstMinimum = 3 * spokeclock.Second
	gapMinimum   = spokeclock.Second
	tickMinimum  = 50 * spokeclock.Millis(1)
)

// watchdog notices when a server's tokens stop coming, before any report of
// the server could say so. A stalled attempt is moved within the retry budget.
type watchdog struct {
	clock      *spokeclock.Clock
	work       *spokebackend.Work
	budget     *spokeretry.Budget
	cancel     context.CancelCauseFunc
	better     func() bool
	firstLimit spokeclock.Millis
	gapLimit   spokeclock.Millis
	tick       spokeclock.Millis

	mutex  sync.Mutex
	timer  *time.Timer
	last   spokeclock.Millis
	first  bool
	paused bool
	ended  bool
}

func (g *generation) watch(work *spokebackend.Work, cancel context.CancelCauseFunc) *watchdog {
	service := g.visitor.service
	d := &watchdog{
		clock:      g.server.Clock,
		work:       work,
		budget:     &g.server.desk(service).budget,
		cancel:     cancel,
		better:     func() bool { return g.hasBetterPlace(work.Instance().Name) },
		firstLimit: max(firstMinimum, firstFactor*service.FirstTokenTarget),
		gapLimit:   max(gapMinimum, gapFactor*service.TokenGapTarget),
		tick:       max(tickMinimum, tickFactor*service.TokenGapTarget),
		last:       g.server.Clock.Now(),
		first:      true,
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.timer = time.AfterFunc(d.tick.Duration(), d.check)
	return d
}

// fed notes a token.
func (d *watchdog) fed() {
	d.mutex.Lock()
	first := d.first
	d.first = false
	d.last = d.clock.Now()
	d.mutex.Unlock()
	d.work.Token(first)
}

// pause stops the count while the caller is the slow one.
func (d *watchdog) pause() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.paused = true
}

// resume starts the count again.
func (d *watchdog) resume() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.paused = false
	d.last = d.clock.Now()
}

func (d *watchdog) stop() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.ended = true
	d.timer.Stop()
}

// mayMove reports whether to give a silent attempt up. Before its first token
// it may just be waiting its turn; where every other server is full too, a move
// would only lose that turn.
func (d *watchdog) mayMove(silence spokeclock.Millis) bool {
	return !d.first || silence >= queueFactor*d.firstLimit || d.better()
}

// check notes a silent server, and gives the attempt up when it is silent for
// too long.
func (d *watchdog) check() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.ended {
		return
	}
	silence := d.clock.Now() - d.last
	limit := d.gapLimit
	if d.first {
		limit = d.firstLimit
	}
	if d.paused {
		silence = 0
	}
	if !d.first && silence >= d.tick {
		d.work.Stalled()
	}
	if silence >= limit && d.mayMove(silence) && d.budget.Allow() {
		d.cancel(errStalled)
		return
	}
	d.timer.Reset(d.tick.Duration())
}
