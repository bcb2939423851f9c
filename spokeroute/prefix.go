package spokeroute

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

// maxPrefixes is the number of prefixes from which the oldest is removed.
const maxPrefixes = 4096

// PrefixLocations maps the prefix of a conversation to the backend server that
// processed it last. The zero value is ready for use. It is safe for concurrent
// use.
type PrefixLocations struct {
	mutex   sync.Mutex
	servers map[uint64]string
	// order holds the prefixes in the order in which they were added.
	order []uint64
}

// PrefixKey returns the key of a prefix made of the given parts. A zero byte
// after each part keeps different divisions of a text apart.
func PrefixKey(parts ...string) uint64 {
	digest := xxhash.New()
	for _, part := range parts {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	return digest.Sum64()
}

// SetServer records the server that processed a prefix.
func (l *PrefixLocations) SetServer(prefix uint64, server string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.servers == nil {
		l.servers = make(map[uint64]string)
	}
	if _, known := l.servers[prefix]; !known {
		l.order = append(l.order, prefix)
	}
	l.servers[prefix] = server
	if len(l.order) > maxPrefixes {
		delete(l.servers, l.order[0])
		l.order = l.order[1:]
	}
}

// Server returns the server that probably has a prefix in its cache, or "".
func (l *PrefixLocations) Server(prefix uint64) string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.servers[prefix]
}
