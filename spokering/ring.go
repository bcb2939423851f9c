package spokering

import "context"

// Ring is a bounded first-in, first-out queue between goroutines. It is safe
// for concurrent use by any number of them.
type Ring[T any] struct {
	slots chan T
}

// New returns a ring with room for size items. It panics if size is not
// positive.
func New[T any](size int) *Ring[T] {
	if size <= 0 {
		panic("spokering: size must be positive")
	}
	return &Ring[T]{slots: make(chan T, size)}
}

// Put adds an item and reports whether there was room.
func (r *Ring[T]) Put(item T) bool {
	select {
	case r.slots <- item:
		return true
	default:
		return false
	}
}

// Take removes the oldest item, waiting for one. It reports false when ctx
// ends first.
func (r *Ring[T]) Take(ctx context.Context) (T, bool) {
	select {
	case item := <-r.slots:
		return item, true
	case <-ctx.Done():
		var zero T
		return zero, false
	}
}

// TryTake removes the oldest item if there is one.
func (r *Ring[T]) TryTake() (T, bool) {
	select {
	case item := <-r.slots:
		return item, true
	default:
		var zero T
		return zero, false
	}
}
