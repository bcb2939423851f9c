package spokeroute

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

const prefixLimit = 4096

// PrefixLocations remembers which server computed a conversation's beginning last.
// The zero value is ready for use. It is safe for concurrent use.
type PrefixLocations struct {
	mutex  sync.Mutex
	server map[uint64]string
	order  []uint64
}

// PrefixKey returns the key of a conversation's beginning.
func PrefixKey(parts ...string) uint64 {
	digest := xxhash.New()
	for _, part := range parts {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	return digest.Sum64()
}

// SetServer notes that a server has computed a beginning.
func (p *PrefixLocations) SetServer(prefix uint64, server string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.server == nil {
		p.server = make(map[uint64]string)
	}
	if _, known := p.server[prefix]; !known {
		p.order = append(p.order, prefix)
	}
	p.server[prefix] = server
	if len(p.order) > prefixLimit {
		delete(p.server, p.order[0])
		p.order = p.order[1:]
	}
}

// Server returns the server that probably holds a beginning, or "".
func (p *PrefixLocations) Server(prefix uint64) string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.server[prefix]
}
