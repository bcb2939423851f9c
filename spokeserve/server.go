package spokeserve

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"mulberryspoke.example/mulberryspoke/gen/types"
	"mulberryspoke.example/mulberryspoke/spokeadmit"
	"mulberryspoke.example/mulberryspoke/spokebackend"
	"mulberryspoke.example/mulberryspoke/spokeclaim"
	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeconfig"
	"mulberryspoke.example/mulberryspoke/spokelimit"
	"mulberryspoke.example/mulberryspoke/spokemember"
	"mulberryspoke.example/mulberryspoke/spokeretry"
	"mulberryspoke.example/mulberryspoke/spokeroute"
)

const (
	bearerPrefix     = "Bearer "
	defaultBodyBytes = 1 << 20
	longWaitFactor   = 10
	defaultWait      = spokeclock.Second
)

// Server answers the callers of one entry instance. Set its fields before the
// first request. It is safe for concurrent use.
type Server struct {
	// Store holds the configuration.
	Store *spokeconfig.Store
	// Registry knows the backend servers.
	Registry *spokebackend.Registry
	// View knows the other entry instances.
	View *spokemember.View
	// Claims make requests run at most once.
	Claims *spokeclaim.Claims
	// AttemptStateFunc asks an entry instance what it knows of an attempt.
	AttemptStateFunc func(ctx context.Context, owner, attempt string) (spokeclaim.State, error)
	// ConfirmedFunc reports whether the configuration held is known not to be
	// an old one.
	ConfirmedFunc func() bool
	// Client calls backend servers.
	Client *http.Client
	// SingleClient calls backend servers and reuses no connection, so that
	// nothing is sent twice.
	SingleClient *http.Client
	// Clock tells the time. Nil means the real one.
	Clock *spokeclock.Clock
	// MaxBody bounds request bodies, in bytes. Zero means one MiB.
	MaxBody int64
	// Counters count what happens.
	Counters *Counters
	// Log takes the log lines.
	Log zerolog.Logger
	// Switches turn mechanisms off, to show what they are for.
	Switches Switches

	limiter  spokelimit.Limiter
	prefixes spokeroute.Prefixes
	journal  journal
	mutex    sync.Mutex
	desks    map[string]*desk
	draining atomic.Bool
	active   atomic.Int64
}

// Switches turn mechanisms off. The zero value leaves all on. They exist for
// tests and measurements only.
type Switches struct {
	// NoResume gives an answer up when its backend server fails.
	NoResume bool
	// NoClaims sends requests that are not idempotent without a claim.
	NoClaims bool
	// NoMove does not act on a reclaim notice.
	NoMove bool
	// NoCacheMove resumes without the KV cache.
	NoCacheMove bool
	// NoPriority gives quick requests no priority over long ones.
	NoPriority bool
	// NoSlowMove leaves answers on servers that have slowed down.
	NoSlowMove bool
	// NoAdmission sends every request on at once.
	NoAdmission bool
}

// desk is what belongs to one service.
type desk struct {
	queue  *spokeadmit.Queue
	budget spokeretry.Budget
	mutex  sync.Mutex
	policy spokeroute.Policy
}

// visitor is who asks for what, once checked.
type visitor struct {
	snapshot  *spokeconfig.Snapshot
	workspace *spokeconfig.Workspace
	service   *spokeconfig.Service
}

// Drain refuses new requests from now on.
func (s *Server) Drain() { s.draining.Store(true) }

// Active returns the number of requests under way.
func (s *Server) Active() int64 { return s.active.Load() }

// Ready reports whether requests would be served.
func (s *Server) Ready() bool {
	return !s.draining.Load() && s.Store.Current() != nil && s.ConfirmedFunc()
}

// check finds out who asks for which service.
func (s *Server) check(authorization *string, service string, kind spokeconfig.ServiceKind) (visitor, *types.Refusal) {
	if s.draining.Load() {
		return visitor{}, refuse(KindShuttingDown, retrySoon, "this entry instance is shutting down")
	}
	snapshot := s.Store.Current()
	if snapshot == nil || !s.ConfirmedFunc() {
		return visitor{}, refuse(KindNoConfiguration, retrySoon, "this entry instance has not learned the configuration yet")
	}
	if authorization == nil || !strings.HasPrefix(*authorization, bearerPrefix) {
		return visitor{}, refuse(KindUnauthorized, retrySlow, "the Authorization header must be a bearer token")
	}
	workspace, ok := snapshot.Workspace(strings.TrimPrefix(*authorization, bearerPrefix))
	if !ok {
		return visitor{}, refuse(KindUnauthorized, retrySlow, "no workspace has this key")
	}
	declared, ok := snapshot.Service(service)
	if !ok || declared.Kind != kind {
		return visitor{}, refuse(KindUnknownService, retrySlow, "there is no "+string(kind)+" service named "+quote(service))
	}
	return visitor{snapshot: snapshot, workspace: workspace, service: declared}, nil
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
	s.Counters.refused(name, refused.Detail.Type)
}

const unknownService = "unknown"

const quoteLimit = 64

func quote(name string) string {
	if len(name) > quoteLimit {
		name = name[:quoteLimit]
	}
	return `"` + name + `"`
}

// desk returns what belongs to a service, made at the first request.
func (s *Server) desk(service *spokeconfig.Service) *desk {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.desks == nil {
		s.desks = make(map[string]*desk)
	}
	d, ok := s.desks[service.Name]
	if !ok {
		name := service.Name
		d = &desk{queue: &spokeadmit.Queue{RoomFunc: func() spokeadmit.Room { return s.room(name) }, Clock: s.Clock}}
		d.policy.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) //nolint:gosec // Choices need no secrecy.
		s.desks[name] = d
	}
	return d
}

// room is what a service's servers can take besides what peers send them.
func (s *Server) room(service string) spokeadmit.Room {
	capacity := s.Registry.Capacity(service)
	return spokeadmit.Room{
		All:  capacity.Slots() - capacity.Peers().All,
		Long: capacity.LongSlots() - capacity.Peers().Long,
	}
}

// choose picks a backend server and notes why.
func (s *Server) choose(v visitor, request spokeroute.Request, cached string) spokeroute.Decision {
	d := s.desk(v.service)
	candidates := s.Registry.Candidates(v.service.Name, cached)
	d.mutex.Lock()
	d.policy.Routing = v.service.Routing
	decision := d.policy.Choose(candidates, request)
	d.mutex.Unlock()
	s.journal.put(Placement{at: s.Clock.Now(), workspace: v.workspace.Name, service: v.service.Name, decision: decision})
	return decision
}

// limit counts a request against its workspace's limits.
func (s *Server) limit(v visitor, tokens int) *types.Refusal {
	verdict := s.limiter.Begin(v.workspace, v.snapshot.Revision(), s.View.Sharers(), tokens)
	if verdict.Allowed() {
		return nil
	}
	return refuse(KindLimited, verdict.After(), "the workspace is over its "+verdict.Limit())
}

// admit waits for a place at the service's backend servers. The place is nil
// when admission is turned off.
func (s *Server) admit(ctx context.Context, v visitor, long bool) (*spokeadmit.Admission, *types.Refusal) {
	ticket := spokeadmit.Ticket{
		Workspace: v.workspace.Name,
		Weight:    v.workspace.Share * v.workspace.Priority,
		Long:      long && !s.Switches.NoPriority,
		MaxWait:   maxWait(v.service, long),
	}
	if s.Switches.NoAdmission {
		return nil, nil
	}
	queue := s.desk(v.service).queue
	admission, err := queue.Admit(ctx, ticket)
	if err != nil {
		return nil, refuse(KindOverloaded, queue.ExpectedWait(ticket), "the service is full")
	}
	return admission, nil
}

// maxWait is half of the first token's target; long answers may wait longer.
func maxWait(service *spokeconfig.Service, long bool) spokeclock.Millis {
	wait := service.FirstTokenTarget / 2
	if wait == 0 {
		wait = defaultWait
	}
	if long {
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
	if s.MaxBody == 0 {
		return defaultBodyBytes
	}
	return s.MaxBody
}
