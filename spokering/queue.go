package spokering

import "context"

// Queue is a bounded first-in, first-out queue between goroutines. It is safe
// for concurrent use by any number of them.
type Queue[T any] struct {
	items chan T
}

// New returns a queue that holds up to size items. It panics if size is not
// positive.
func New[T any](size int) *Queue[T] {
	if size <= 0 {
		panic("spokering: queue size must be positive")
	}
	return &Queue[T]{items: make(chan T, size)}
}

// TryPush adds an item and reports whether there was room for it.
func (q *Queue[T]) TryPush(item T) bool {
	select {
	case q.items <- item:
		return true
	default:
		return false
	}
}

// Pop removes the oldest item, waiting for one if the queue is empty. It
// returns false if ctx ends first.
func (q *Queue[T]) Pop(ctx context.Context) (T, bool) {
	select {
	case item := <-q.items:
		return item, true
	case <-ctx.Done():
		var zero T
		return zero, false
	}
}

// TryPop removes the oldest item. It returns false if the queue is empty.
func (q *Queue[T]) TryPop() (T, bool) {
	select {
	case item := <-q.items:
		return item, true
	default:
		var zero T
		return zero, false
	}
}
