package spokecore

import (
	"sync"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeroute"
)

// maxPlacements covers the last seconds, for an operator who looks into a
// complaint.
const maxPlacements = 256

// Placement is one choice of a backend server.
type Placement struct {
	chosenAt  spokeclock.Millis
	workspace string
	service   string
	decision  spokeroute.Decision
}

// ChosenAt returns the time of the choice.
func (p Placement) ChosenAt() spokeclock.Millis { return p.chosenAt }

// Workspace returns the workspace of the request, or "" if it has none.
func (p Placement) Workspace() string { return p.workspace }

// Service returns the service of the request.
func (p Placement) Service() string { return p.service }

// Decision returns the chosen server and the reason.
func (p Placement) Decision() spokeroute.Decision { return p.decision }

// placementLog is a ring buffer of the last placements.
type placementLog struct {
	mutex   sync.Mutex
	entries [maxPlacements]Placement
	next    int
	full    bool
}

func (p *placementLog) add(placement Placement) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.entries[p.next] = placement
	p.next = (p.next + 1) % maxPlacements
	p.full = p.full || p.next == 0
}

// RecentPlacements returns the last placements, the newest first.
func (c *Core) RecentPlacements() []Placement {
	c.placements.mutex.Lock()
	defer c.placements.mutex.Unlock()
	count := c.placements.next
	if c.placements.full {
		count = maxPlacements
	}
	list := make([]Placement, 0, count)
	for i := range count {
		list = append(list, c.placements.entries[(c.placements.next-1-i+maxPlacements)%maxPlacements])
	}
	return list
}
