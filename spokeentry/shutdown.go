package spokeentry

import (
	"context"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeerror"
)

// shutDown ends the service in order, within the grace period.
func (e *Entry) shutDown() error {
	e.log.Info().Int64("active", e.server.ActiveRequests()).Msg("Shutdown begins.")
	e.unready.Store(true)
	e.node.AnnounceDrain()
	e.pause(e.Settings.UnreadyDelay)
	e.server.Drain()
	left := e.awaitIdle()
	settle, cancel := context.WithTimeout(context.Background(), settleTimeout.Duration())
	defer cancel()
	if err := e.claims.WaitPending(settle); err != nil {
		e.log.Warn().Err(err).Msg("Claims were left unsettled.")
	}
	if left > 0 {
		e.log.Warn().Int64("left", left).Msg("Requests were cut off.")
		return spokeerror.Newf("shut down", KindRequestsAborted, "%d requests", left)
	}
	e.log.Info().Msg("Shutdown cut off nothing.")
	return nil
}

// pause waits, unless the instance is killed meanwhile.
func (e *Entry) pause(span spokeclock.Millis) {
	ctx, cancel := context.WithTimeout(context.Background(), span.Duration())
	defer cancel()
	select {
	case <-ctx.Done():
	case <-e.killed:
	}
}

// awaitIdle waits for requests under way and returns how many are left.
func (e *Entry) awaitIdle() int64 {
	var clock spokeclock.Clock
	until := clock.Now() + e.Settings.GracePeriod
	for e.server.ActiveRequests() > 0 && clock.Now() < until {
		select {
		case <-e.killed:
			return e.server.ActiveRequests()
		default:
			e.pause(drainPoll)
		}
	}
	return e.server.ActiveRequests()
}

// closeServers ends the listeners. Answers that are still being written have
// the grace period, unless the instance is killed.
func (e *Entry) closeServers() {
	ctx, cancel := context.WithTimeout(context.Background(), e.Settings.GracePeriod.Duration())
	defer cancel()
	go func() {
		select {
		case <-e.killed:
			cancel()
		case <-ctx.Done():
		}
	}()
	_ = e.callers.Shutdown(ctx)
	_ = e.callers.Close()
	_ = e.ops.Close()
}
