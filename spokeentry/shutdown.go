package spokeentry

import (
	"context"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeerror"
)

// shutDown drains the instance. It becomes unready, continues to accept requests
// for the unready delay, waits up to the grace period for those in flight, and
// waits for pending claims to be recorded.
func (e *Entry) shutDown() error {
	e.log.Info().Int64("active", e.server.ActiveRequests()).Msg("Shutdown started.")
	e.unready.Store(true)
	e.peerNode.AnnounceDrain()
	e.sleep(e.Settings.UnreadyDelay)
	e.server.Drain()
	remaining := e.awaitRequests()
	claimsCtx, cancel := context.WithTimeout(context.Background(), pendingClaimsTimeout.Duration())
	defer cancel()
	if err := e.claims.WaitPending(claimsCtx); err != nil {
		e.log.Warn().Err(err).Msg("Some claims could not be recorded before the shutdown.")
	}
	if remaining > 0 {
		e.log.Warn().Int64("left", remaining).Msg("Requests in flight were cut off by the shutdown.")
		return spokeerror.Newf("shut down", KindRequestsAborted, "%d requests in flight were cut off", remaining)
	}
	e.log.Info().Msg("Shutdown finished without cutting off requests.")
	return nil
}

// sleep waits for a duration or until the instance is killed.
func (e *Entry) sleep(duration spokeclock.Millis) {
	ctx, cancel := context.WithTimeout(context.Background(), duration.Duration())
	defer cancel()
	select {
	case <-ctx.Done():
	case <-e.killed:
	}
}

// awaitRequests waits up to the grace period for the requests in flight. It
// returns the number that remain.
func (e *Entry) awaitRequests() int64 {
	var clock spokeclock.Clock
	deadline := clock.Now() + e.Settings.GracePeriod
	for e.server.ActiveRequests() > 0 && clock.Now() < deadline {
		select {
		case <-e.killed:
			return e.server.ActiveRequests()
		default:
			e.sleep(drainPollInterval)
		}
	}
	return e.server.ActiveRequests()
}

// closeServers closes the HTTP servers. Responses that are still being written
// have up to the grace period to finish, unless the instance is killed.
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
	_ = e.callerServer.Shutdown(ctx)
	_ = e.callerServer.Close()
	_ = e.operatorServer.Close()
}
