package spokestandin

import (
	"bytes"
	"net"
	"sync"
)

// responseCopier keeps the last response on a connection of a proxy, to send it once
// more when the next request arrives. Each request must fit in a chunk.
type responseCopier struct {
	proxy  *Proxy
	client net.Conn

	mutex     sync.Mutex
	recording bool
	response  []byte
}

// filterRequestChunk sends the late copy, if one is due, and filters the chunk.
func (r *responseCopier) filterRequestChunk(chunk []byte) ([]byte, bool) {
	if late := r.beginRequest(chunk); len(late) > 0 && r.proxy.takeLateCopy() {
		if _, err := r.client.Write(late); err != nil {
			return nil, false
		}
	}
	return r.proxy.filterRequestChunk(chunk)
}

// beginRequest returns the response to the last request like this one.
func (r *responseCopier) beginRequest(chunk []byte) []byte {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.recording = bytes.Contains(chunk, []byte(r.proxy.currentFaults().CopyContaining))
	if !r.recording {
		return nil
	}
	late := r.response
	r.response = nil
	return late
}

func (r *responseCopier) record(chunk []byte) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.recording {
		r.response = append(r.response, chunk...)
	}
}

func (p *Proxy) takeLateCopy() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.faults.LateCopies == 0 {
		return false
	}
	p.faults.LateCopies--
	return true
}
