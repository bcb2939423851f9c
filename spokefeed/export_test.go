package spokefeed

import "context"

// Step asks once and reports whether the table answered.
func (f *Follower) Step(ctx context.Context) bool {
	f.fill()
	return f.step(ctx)
}
