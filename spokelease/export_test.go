package spokelease

import "context"

// Step opens one round of acquiring or renewing to tests.
func (l *Lease) Step(ctx context.Context) { l.step(ctx) }

// Release opens the release to tests.
func (l *Lease) Release() { l.release() }
