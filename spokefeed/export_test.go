package spokefeed

import "context"

// Poll polls once and reports whether the table is available.
func (f *Follower) Poll(ctx context.Context) bool {
	f.initialise()
	return f.poll(ctx)
}
