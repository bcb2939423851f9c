package spokecore

import (
	"sync"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeroute"
)

// placementsKept is enough to see what led to a complaint of the last seconds.
const placementsKept = 256

// Placement is one choice of a backend server.
type Placement struct {
	at        spokeclock.Millis
	workspace string
	service   string
	decision  spokeroute.Decision
}

// ChosenAt returns when the choice was made.
func (p Placement) ChosenAt() spokeclock.Millis { return p.at }

// Workspace returns for whom.
func (p Placement) Workspace() string { return p.workspace }

// Service returns for which service.
func (p Placement) Service() string { return p.service }

// Decision returns what was chosen and why.
func (p Placement) Decision() spokeroute.Decision { return p.decision }

// placements keeps the last choices.
type placements struct {
	mutex   sync.Mutex
	entries [placementsKept]Placement
	next    int
	full    bool
}

func (p *placements) put(choice Placement) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.entries[p.next] = choice
	p.next = (p.next + 1) % placementsKept
	p.full = p.full || p.next == 0
}

// RecentPlacements returns the last choices, the newest first.
func (c *Core) RecentPlacements() []Placement {
	c.placements.mutex.Lock()
	defer c.placements.mutex.Unlock()
	count := c.placements.next
	if c.placements.full {
		count = placementsKept
	}
	list := make([]Placement, 0, count)
	for i := range count {
		list = append(list, c.placements.entries[(c.placements.next-1-i+placementsKept)%placementsKept])
	}
	return list
}
