package spokeserve

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"

	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"mulberryspoke.example/mulberryspoke/gen/types"
	"mulberryspoke.example/mulberryspoke/spokeclaim"
	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeconfig"
	"mulberryspoke.example/mulberryspoke/spokecore"
	"mulberryspoke.example/mulberryspoke/spokememory"
)

const (
	bearerPrefix     = "Bearer "
	defaultBodyBytes = 1 << 20
	// longWaitFactor lets long answers, which run for many seconds, wait longer.
	longWaitFactor = 10
	// defaultMaxWait is the longest wait for capacity at a service without a first
	// token target.
	defaultMaxWait = spokeclock.Second
)

// Server serves the callers of one entry instance. Set its fields before the
// first request. It is safe for concurrent use.
type Server struct {
	// Core serves authorised requests.
	Core *spokecore.Core
	// Store holds the configuration.
	Store *spokeconfig.Store
	// Claims makes requests that are not idempotent run at most once.
	Claims *spokeclaim.Claims
	// AttemptStateFunc asks the owner of a claim, an entry instance, for the state of
	// an attempt.
	AttemptStateFunc func(ctx context.Context, owner, attemptID string) (spokeclaim.State, error)
	// ConfigUpToDateFunc reports whether the configuration is known not to be
	// outdated.
	ConfigUpToDateFunc func() bool
	// Client sends requests to backend servers.
	Client *http.Client
	// NoKeepAliveClient sends requests that are not idempotent to backend servers, and
	// asks for the outcomes of their attempts. It must not reuse connections, because
	// net/http may send a request twice on a reused connection.
	NoKeepAliveClient *http.Client
	// Clock is the source of time. Nil means the real clock.
	Clock *spokeclock.Clock
	// MaxBodyBytes is the largest request body. Zero means 1 MiB.
	MaxBodyBytes int64
	// Budget bounds what the requests hold. Nil means that there is no bound.
	Budget *spokememory.Budget
	// Counters counts events.
	Counters *Counters
	// Log receives the log messages.
	Log zerolog.Logger
	// Switches disables mechanisms, to show their effect.
	Switches Switches

	draining       atomic.Bool
	activeRequests atomic.Int64
}

// Switches disables mechanisms for tests and measurements. The zero value leaves all
// enabled.
type Switches struct {
	// DisableResume ends an answer when its backend server fails.
	DisableResume bool
	// DisableClaims sends requests that are not idempotent without a claim.
	DisableClaims bool
	// DisableCacheMove resumes answers without importing the KV cache.
	DisableCacheMove bool
	// DisablePriority gives all requests the same priority within an engine.
	DisablePriority bool
}

// access is the authorised use of a service by a workspace.
type access struct {
	snapshot  *spokeconfig.Snapshot
	workspace *spokeconfig.Workspace
	service   *spokeconfig.Service
}

// request returns a request for the core.
func (a access) request(id string, route *spokeconfig.CallerRoute, deadline spokeclock.Millis) *spokecore.Request {
	return &spokecore.Request{
		ID: id, Route: route, Service: a.service, Workspace: a.workspace, Revision: a.snapshot.Revision(), Deadline: deadline,
	}
}

// Drain makes the server refuse new requests.
func (s *Server) Drain() { s.draining.Store(true) }

// ActiveRequests returns the number of requests in progress.
func (s *Server) ActiveRequests() int64 { return s.activeRequests.Load() }

// Ready reports whether the server accepts requests.
func (s *Server) Ready() bool {
	return !s.draining.Load() && s.Store.Current() != nil && s.ConfigUpToDateFunc()
}

// authorise checks the workspace key and the service of a request. It refuses the
// request while the server drains or has no up-to-date configuration.
func (s *Server) authorise(authorization *string, service string, kind spokeconfig.ServiceKind) (access, *types.Refusal) {
	if s.draining.Load() {
		return access{}, refuse(KindShuttingDown, shortRetryAfter, "this entry instance is shutting down")
	}
	snapshot := s.Store.Current()
	if snapshot == nil || !s.ConfigUpToDateFunc() {
		return access{}, refuse(KindNoConfiguration, shortRetryAfter, "this entry instance has not learned the configuration yet")
	}
	if authorization == nil || !strings.HasPrefix(*authorization, bearerPrefix) {
		return access{}, refuse(KindUnauthorized, longRetryAfter, "the Authorization header must be a bearer token")
	}
	workspace, ok := snapshot.WorkspaceByKey(strings.TrimPrefix(*authorization, bearerPrefix))
	if !ok {
		return access{}, refuse(KindUnauthorized, longRetryAfter, "no workspace has this key")
	}
	declared, ok := snapshot.Service(service)
	if !ok || declared.Kind != kind {
		return access{}, refuse(KindUnknownService, longRetryAfter, "there is no "+string(kind)+" service named "+quoteName(service))
	}
	return access{snapshot: snapshot, workspace: workspace, service: declared}, nil
}

// countRefusal counts a refusal. Services that are not declared are counted under
// unknownServiceLabel, because callers could otherwise create any number of metrics.
func (s *Server) countRefusal(service string, refusal *types.Refusal) {
	name := unknownServiceLabel
	if current := s.Store.Current(); current != nil {
		if declared, known := current.Service(service); known {
			name = declared.Name
		}
	}
	s.Core.Counters.CountResult(name, refusal.Detail.Type)
}

const unknownServiceLabel = "unknown"

const maxQuotedBytes = 64

// quoteName quotes a name after truncating it to maxQuotedBytes.
func quoteName(name string) string {
	if len(name) > maxQuotedBytes {
		name = name[:maxQuotedBytes]
	}
	return `"` + name + `"`
}

// MaxWait returns the longest time that a request may wait for capacity: half of the
// first token target, and longer if a long answer is expected.
func MaxWait(request *spokecore.Request) spokeclock.Millis {
	wait := request.Service.FirstTokenTarget / 2
	if wait == 0 {
		wait = defaultMaxWait
	}
	if request.ExpectsLongAnswer() {
		wait *= longWaitFactor
	}
	return wait
}

func newID() string {
	return uuid.NewString()
}

// countActiveRequest counts a request as active until the returned function is
// called.
func (s *Server) countActiveRequest() func() {
	s.activeRequests.Add(1)
	return func() { s.activeRequests.Add(-1) }
}

func (s *Server) maxBodyBytes() int64 {
	if s.MaxBodyBytes == 0 {
		return defaultBodyBytes
	}
	return s.MaxBodyBytes
}
