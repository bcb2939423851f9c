package spokeserve

import (
	"sync"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeroute"
)

const journalSize = 256

// Placement is one choice of a backend server.
type Placement struct {
	at        spokeclock.Millis
	workspace string
	service   string
	decision  spokeroute.Decision
}

// At returns when the choice was made.
func (p Placement) At() spokeclock.Millis { return p.at }

// Workspace returns for whom.
func (p Placement) Workspace() string { return p.workspace }

// Service returns for which service.
func (p Placement) Service() string { return p.service }

// Decision returns what was chosen and why.
func (p Placement) Decision() spokeroute.Decision { return p.decision }

// journal keeps the last choices.
type journal struct {
	mutex   sync.Mutex
	entries [journalSize]Placement
	next    int
	full    bool
}

func (j *journal) put(p Placement) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.entries[j.next] = p
	j.next = (j.next + 1) % journalSize
	j.full = j.full || j.next == 0
}

// Placements returns the last choices, the newest first.
func (s *Server) Placements() []Placement {
	s.journal.mutex.Lock()
	defer s.journal.mutex.Unlock()
	count := s.journal.next
	if s.journal.full {
		count = journalSize
	}
	list := make([]Placement, 0, count)
	for i := range count {
		list = append(list, s.journal.entries[(s.journal.next-1-i+journalSize)%journalSize])
	}
	return list
}
