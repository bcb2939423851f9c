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
)

const (
	bearerPrefix     = "Bearer "
	defaultBodyBytes = 1 << 20
	// longWaitFactor lets long answers, which run for many seconds, wait longer.
	longWaitFactor = 10
	// defaultWait is the wait at a service without a target.
	defaultWait = spokeclock.Second
)

// Server answers the callers of one entry instance. Set its fields before the
// first request. It is safe for concurrent use.
type Server struct {
	// Core serves what was checked.
	Core *spokecore.Core
	// Store holds the configuration.
	Store *spokeconfig.Store
	// Claims make requests run at most once.
	Claims *spokeclaim.Claims
	// AttemptStateFunc asks an entry instance what it knows of an attempt.
	AttemptStateFunc func(ctx context.Context, owner, attempt string) (spokeclaim.State, error)
	// ConfigUpToDateFunc reports whether the configuration held is known not to be
	// an old one.
	ConfigUpToDateFunc func() bool
	// Client calls backend servers.
	Client *http.Client
	// NoKeepAliveClient calls backend servers and reuses no connection, so that
	// nothing is sent twice.
	NoKeepAliveClient *http.Client
	// Clock tells the time. Nil means the real one.
	Clock *spokeclock.Clock
	// MaxBodyBytes bounds request bodies, in bytes. Zero means one MiB.
	MaxBodyBytes int64
	// Counters count what happens.
	Counters *Counters
	// Log takes the log lines.
	Log zerolog.Logger
	// Switches turn mechanisms off, to show what they are for.
	Switches Switches

	draining atomic.Bool
	active   atomic.Int64
}

// Switches turn mechanisms off. The zero value leaves all on. They exist for
// tests and measurements only.
type Switches struct {
	// DisableResume gives an answer up when its backend server fails.
	DisableResume bool
	// DisableClaims sends requests that are not idempotent without a claim.
	DisableClaims bool
	// DisableCacheMove resumes without the KV cache.
	DisableCacheMove bool
	// DisablePriority gives quick requests no priority over long ones.
	DisablePriority bool
}

// access is who asks for which service, once checked.
type access struct {
	snapshot  *spokeconfig.Snapshot
	workspace *spokeconfig.Workspace
	service   *spokeconfig.Service
}

// request returns the core's request for a route to the service.
func (a access) request(id string, route *spokeconfig.CallerRoute, deadline spokeclock.Millis) *spokecore.Request {
	return &spokecore.Request{
		ID: id, Route: route, Service: a.service, Workspace: a.workspace, Revision: a.snapshot.Revision(), Deadline: deadline,
	}
}

// Drain refuses new requests from now on.
func (s *Server) Drain() { s.draining.Store(true) }

// ActiveRequests returns the number of requests under way.
func (s *Server) ActiveRequests() int64 { return s.active.Load() }

// Ready reports whether requests would be served.
func (s *Server) Ready() bool {
	return !s.draining.Load() && s.Store.Current() != nil && s.ConfigUpToDateFunc()
}

// check finds out who asks for which service.
func (s *Server) check(authorization *string, service string, kind spokeconfig.ServiceKind) (access, *types.Refusal) {
	if s.draining.Load() {
		return access{}, refuse(KindShuttingDown, retrySoon, "this entry instance is shutting down")
	}
	snapshot := s.Store.Current()
	if snapshot == nil || !s.ConfigUpToDateFunc() {
		return access{}, refuse(KindNoConfiguration, retrySoon, "this entry instance has not learned the configuration yet")
	}
	if authorization == nil || !strings.HasPrefix(*authorization, bearerPrefix) {
		return access{}, refuse(KindUnauthorized, retrySlow, "the Authorization header must be a bearer token")
	}
	workspace, ok := snapshot.WorkspaceByKey(strings.TrimPrefix(*authorization, bearerPrefix))
	if !ok {
		return access{}, refuse(KindUnauthorized, retrySlow, "no workspace has this key")
	}
	declared, ok := snapshot.Service(service)
	if !ok || declared.Kind != kind {
		return access{}, refuse(KindUnknownService, retrySlow, "there is no "+string(kind)+" service named "+quote(service))
	}
	return access{snapshot: snapshot, workspace: workspace, service: declared}, nil
}

// countRefused counts a refusal. A service that is not declared counts as
// unknown, since a caller could make up any number of names.
func (s *Server) countRefused(service string, refused *types.Refusal) {
	name := unknownService
	if current := s.Store.Current(); current != nil {
		if declared, known := current.Service(service); known {
			name = declared.Name
		}
	}
	s.Core.Counters.CountResult(name, refused.Detail.Type)
}

const unknownService = "unknown"

const quoteLimit = 64

func quote(name string) string {
	if len(name) > quoteLimit {
		name = name[:quoteLimit]
	}
	return `"` + name + `"`
}

// MaxWait returns how long a request may wait for room: half of the first
// token's target, and longer when a long answer is expected.
func MaxWait(request *spokecore.Request) spokeclock.Millis {
	wait := request.Service.FirstTokenTarget / 2
	if wait == 0 {
		wait = defaultWait
	}
	if request.ExpectsLongAnswer() {
		wait *= longWaitFactor
	}
	return wait
}

func newAttempt() string {
	return uuid.NewString()
}

// begin counts a request under way.
func (s *Server) begin() func() {
	s.active.Add(1)
	return func() { s.active.Add(-1) }
}

func (s *Server) maxBody() int64 {
	if s.MaxBodyBytes == 0 {
		return defaultBodyBytes
	}
	return s.MaxBodyBytes
}
