package spokeconfig

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"mulberryspoke.example/mulberryspoke/spokeclock"
)

// Snapshot is a configuration at one revision, made for look-ups. It never
// changes and is safe for concurrent use.
type Snapshot struct {
	revision    Revision
	declaration Declaration
	services    map[string]*Service
	byKey       map[string]*Workspace
	marks       map[string]MarkKind
	routes      routeIndex
}

func newSnapshot(revision Revision, declaration Declaration, marks []Mark) *Snapshot {
	s := &Snapshot{
		revision:    revision,
		declaration: declaration,
		services:    make(map[string]*Service),
		byKey:       make(map[string]*Workspace),
		marks:       make(map[string]MarkKind),
		routes:      indexRoutes(declaration.CallerRoutes),
	}
	for i := range declaration.Services {
		service := &declaration.Services[i]
		fillService(service)
		s.services[service.Name] = service
	}
	for i := range declaration.Workspaces {
		workspace := &declaration.Workspaces[i]
		fillWorkspace(workspace)
		for _, hash := range append(workspace.AdditionalKeysSHA256, workspace.KeySHA256) {
			s.byKey[strings.ToLower(hash)] = workspace
		}
	}
	for _, mark := range marks {
		s.marks[mark.Instance] = mark.Kind
	}
	return s
}

func fillService(s *Service) {
	if s.Timeout == 0 {
		s.Timeout = defaultTimeout
	}
	if s.LongAnswerTokens == 0 {
		s.LongAnswerTokens = defaultLongAnswerTokens
	}
	if s.Routing == "" {
		s.Routing = RoutingScore
	}
}

func fillWorkspace(w *Workspace) {
	if w.Priority == 0 {
		w.Priority = defaultPriority
	}
	if w.Share == 0 {
		w.Share = 1
	}
}

// Revision returns the revision of the configuration.
func (s *Snapshot) Revision() Revision { return s.revision }

// Declaration returns the declaration in force, with defaults filled in.
func (s *Snapshot) Declaration() Declaration { return s.declaration }

// Service returns a service by name.
func (s *Snapshot) Service(name string) (*Service, bool) {
	service, ok := s.services[name]
	return service, ok
}

// WorkspaceByKey returns the workspace that a key belongs to.
func (s *Snapshot) WorkspaceByKey(key string) (*Workspace, bool) {
	workspace, ok := s.byKey[HashKey(key)]
	return workspace, ok
}

// HasWorkspaces reports whether callers belong to workspaces, and so need keys.
func (s *Snapshot) HasWorkspaces() bool { return len(s.declaration.Workspaces) > 0 }

// InstanceMark returns the operator's wish for an instance, or MarkNone.
func (s *Snapshot) InstanceMark(instance string) MarkKind {
	if kind, ok := s.marks[instance]; ok {
		return kind
	}
	return MarkNone
}

// Marks returns every wish in force.
func (s *Snapshot) Marks() []Mark {
	marks := make([]Mark, 0, len(s.marks))
	for instance, kind := range s.marks {
		marks = append(marks, Mark{Instance: instance, Kind: kind})
	}
	return marks
}

// HashKey returns the hexadecimal SHA-256 of a key.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Idempotent reports whether a request to a plain service may run more than
// once. The longest route that matches decides; without one, only GET may.
func (s *Service) Idempotent(method, path string) bool {
	idempotent := method == "GET"
	longest := -1
	for _, route := range s.Routes {
		if route.Method != method || !strings.HasPrefix(path, route.Path) || len(route.Path) <= longest {
			continue
		}
		longest = len(route.Path)
		idempotent = route.Idempotent
	}
	return idempotent
}

// Deadline returns when a request that starts now must have ended.
func (s *Service) Deadline(now spokeclock.Millis) spokeclock.Millis {
	return now + s.Timeout
}
