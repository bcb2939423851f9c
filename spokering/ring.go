package spokering

import "context"

// Queue is a bounded first-in, first-out queue between goroutines. It is safe
// for concurrent use by any number of them.
type Queue[T any] struct {
	slots chan T
}

// New returns a ring with room for size items. It panics if size is not
// positive.
func New[T any](size int) *Queue[T] {
	if size <= 0 {
		panic("spokering: size must be positive")
	}
	return &Queue[T]{slots: make(chan T, size)}
}

// TryPush adds an item and reports whether there was room.
func (r *Queue[T]) TryPush(item T) bool {
	select {
	case r.slots <- item:
		return true
	default:
		return false
	}
}

// Pop removes the oldest item, waiting for one. It reports false when ctx
// ends first.
func (r *Queue[T]) Pop(ctx context.Context) (T, bool) {
	select {
	case item := <-r.slots:
		return item, true
	case <-ctx.Done():
		var zero T
		return zero, false
	}
}

// TryPop removes the oldest item if there is one.
func (r *Queue[T]) TryPop() (T, bool) {
	select {
	case item := <-r.slots:
		return item, true
	default:
		var zero T
		return zero, false
	}
}
