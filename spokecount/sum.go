package spokecount

import (
	"maps"
	"sync"
)

// Sum adds up the counters of several instances. Its own counters never decrease.
// Set its fields before the first call. It is safe for concurrent use.
type Sum struct {
	// FromZeroFunc reports whether a counter of an instance counts from zero when it
	// is first reported. Other counters count from their first value, as they may
	// have grown for a long time before. Nil means that none does.
	FromZeroFunc func(key string) bool
	// SkipFunc reports whether a counter is left out, as a sum of it has no meaning.
	// Nil means that none is.
	SkipFunc func(key string) bool

	mutex    sync.Mutex
	totals   map[string]int64
	reported map[string]*instanceCounts
}

// instanceCounts are the last counters of one run of an instance.
type instanceCounts struct {
	generation int64
	counts     map[string]int64
}

// SetCounts stores the counters of an instance that have changed. Generation
// identifies the run of its process, whose counters start from zero.
func (s *Sum) SetCounts(instance string, generation int64, counts map[string]int64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.reported == nil {
		s.totals = make(map[string]int64)
		s.reported = make(map[string]*instanceCounts)
	}
	before, known := s.reported[instance]
	if known && generation < before.generation {
		return
	}
	if !known || generation > before.generation {
		before = &instanceCounts{generation: generation, counts: make(map[string]int64)}
		s.reported[instance] = before
	}
	for key, count := range counts {
		if s.SkipFunc != nil && s.SkipFunc(key) {
			continue
		}
		if known || s.fromZero(key) {
			s.totals[key] += max(0, count-before.counts[key])
		}
		before.counts[key] = count
	}
}

func (s *Sum) fromZero(key string) bool {
	return s.FromZeroFunc != nil && s.FromZeroFunc(key)
}

// Prune forgets the counters for which dropFunc returns true.
func (s *Sum) Prune(dropFunc func(key string) bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	drop := func(key string, _ int64) bool { return dropFunc(key) }
	maps.DeleteFunc(s.totals, drop)
	for _, instance := range s.reported {
		maps.DeleteFunc(instance.counts, drop)
	}
}

// Totals returns the sums.
func (s *Sum) Totals() map[string]int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return maps.Clone(s.totals)
}
