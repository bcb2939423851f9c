package spokefeed

import (
	"context"

	"mulberryspoke.example/mulberryspoke/spoketable"
)

// Poll polls once and reports whether the table is available.
func (f *Follower) Poll(ctx context.Context) bool {
	f.initialise()
	return f.poll(ctx)
}

// Set replaces the rows.
func (r *Relay) Set(rows map[string]spoketable.Row) { r.set(rows, r.position) }

// Confirm records that the table has answered.
func (r *Relay) Confirm(position Position) { r.confirm(position) }
