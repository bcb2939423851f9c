package spokecore

import (
	"context"

	"mulberryspoke.example/mulberryspoke/spokecloud"
	"mulberryspoke.example/mulberryspoke/spokeerror"
	"mulberryspoke.example/mulberryspoke/spokeorigin"
)

// findOrigin finds the version of the servers' software at which a stream began that the
// caller resumes. Without it, the request is refused: a server of another version would go
// on with other text.
func (r *requestRun) findOrigin(ctx context.Context) *Refusal {
	if r.core.Origins == nil || !r.request.isResumable() || r.request.LastEventID == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, r.timeLeft().Duration())
	defer cancel()
	version, err := r.core.Origins.Find(ctx, r.stream(r.request.ResumedID))
	if err != nil {
		return &Refusal{kind: KindOriginUnknown, notRun: true, retryAfter: retryLater, cause: err}
	}
	r.softwareVersion.Store(&version)
	return nil
}

func (r *requestRun) stream(id string) spokeorigin.Stream {
	deadline := max(r.request.Deadline, r.request.CallerDeadline)
	return spokeorigin.Stream{ID: id, Service: r.request.Service.Name, Workspace: r.request.workspaceName(), TimeLeft: deadline - r.core.Clock.Now()}
}

// beginStream fixes the version at which the stream goes on, and records it before the
// caller gets the first event. Its errors are of KindNotRecorded if another server may begin
// the stream, and without a kind otherwise.
func (r *requestRun) beginStream(ctx context.Context, server spokecloud.Instance, w *watchdog) error {
	if r.softwareVersion.Load() != nil || !r.request.isResumable() {
		return nil
	}
	if r.core.Origins != nil {
		w.pause()
		err := r.core.Origins.Begin(ctx, r.stream(r.request.ID), server.SoftwareVersion)
		w.resume()
		if spokeerror.KindOf[spokeorigin.Kind](err) == spokeorigin.KindUnavailable {
			return spokeerror.New("begin stream", KindNotRecorded, err)
		}
		if err != nil {
			return err
		}
	}
	r.softwareVersion.Store(&server.SoftwareVersion)
	return nil
}
