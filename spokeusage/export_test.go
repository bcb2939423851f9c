package spokeusage

import "context"

// Step decides and sends what is due.
func (r *Reporter) Step(ctx context.Context) { r.step(ctx) }
