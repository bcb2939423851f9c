package spokeconfig

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"strings"

	"mulberryspoke.example/mulberryspoke/spokeclock"
)

// digestBytes is the length of a digest before it is encoded.
const digestBytes = 6

// Snapshot is the configuration at one revision, indexed for look-ups. It is
// immutable and safe for concurrent use.
type Snapshot struct {
	revision           Revision
	digest             string
	items              []Item
	declaration        Declaration
	services           map[string]*Service
	workspaceByKeyHash map[string]*Workspace
	marks              map[string]MarkKind
	routes             routeIndex
}

// newSnapshot returns the snapshot of items, which are ordered by key, and of the declaration
// and the marks in them.
func newSnapshot(revision Revision, items []Item, declaration Declaration, marks []Mark) *Snapshot {
	s := &Snapshot{
		revision:           revision,
		digest:             digestOf(items),
		items:              items,
		declaration:        declaration,
		services:           make(map[string]*Service),
		workspaceByKeyHash: make(map[string]*Workspace),
		marks:              make(map[string]MarkKind),
		routes:             indexRoutes(declaration.CallerRoutes),
	}
	for i := range declaration.Services {
		service := &declaration.Services[i]
		setServiceDefaults(service)
		s.services[service.Name] = service
	}
	for i := range declaration.Workspaces {
		workspace := &declaration.Workspaces[i]
		setWorkspaceDefaults(workspace)
		for _, hash := range append(workspace.AdditionalKeysSHA256, workspace.KeySHA256) {
			s.workspaceByKeyHash[strings.ToLower(hash)] = workspace
		}
	}
	for _, mark := range marks {
		s.marks[mark.Instance] = mark.Kind
	}
	return s
}

// digestOf returns a digest of the keys and values of ordered items.
func digestOf(items []Item) string {
	hash := sha256.New()
	for _, item := range items {
		// A zero byte occurs neither in a key nor in JSON.
		_, _ = io.WriteString(hash, item.Key)
		_, _ = hash.Write([]byte{0})
		_, _ = hash.Write(item.Value)
		_, _ = hash.Write([]byte{0})
	}
	return hex.EncodeToString(hash.Sum(nil)[:digestBytes])
}

func setServiceDefaults(s *Service) {
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

func setWorkspaceDefaults(w *Workspace) {
	if w.Priority == 0 {
		w.Priority = defaultPriority
	}
	if w.Share == 0 {
		w.Share = 1
	}
}

// Revision returns the revision of the configuration, or zero if s is nil.
func (s *Snapshot) Revision() Revision {
	if s == nil {
		return 0
	}
	return s.revision
}

// Items returns the items, ordered by key, or none if s is nil. The caller must not change them.
func (s *Snapshot) Items() []Item {
	if s == nil {
		return nil
	}
	return s.items
}

// Digest identifies the content, whatever its revision. Instances at the same revision that
// log different digests don't hold the same configuration.
func (s *Snapshot) Digest() string { return s.digest }

// Declaration returns the declaration, with default values filled in.
func (s *Snapshot) Declaration() Declaration { return s.declaration }

// Service returns the service with a name.
func (s *Snapshot) Service(name string) (*Service, bool) {
	service, ok := s.services[name]
	return service, ok
}

// WorkspaceByKey returns the workspace that has a key.
func (s *Snapshot) WorkspaceByKey(key string) (*Workspace, bool) {
	workspace, ok := s.workspaceByKeyHash[HashKey(key)]
	return workspace, ok
}

// HasWorkspaces reports whether any workspace is declared. Callers then need
// keys.
func (s *Snapshot) HasWorkspaces() bool { return len(s.declaration.Workspaces) > 0 }

// InstanceMark returns the operator's mark on an instance, or MarkNone.
func (s *Snapshot) InstanceMark(instance string) MarkKind {
	if kind, ok := s.marks[instance]; ok {
		return kind
	}
	return MarkNone
}

// Marks returns all marks, in no particular order.
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
// once. The matching route with the longest path decides. If no route matches,
// only GET is idempotent.
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

// Deadline returns the deadline of a request that starts now.
func (s *Service) Deadline(now spokeclock.Millis) spokeclock.Millis {
	return now + s.Timeout
}
