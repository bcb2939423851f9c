package spokestandin

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"mulberryspoke.example/mulberryspoke/spokeclock"
)

const proxyChunkBytes = 16 << 10

// ProxyFaults are the faults that a proxy injects into connections.
type ProxyFaults struct {
	// Disconnected closes all connections, and new ones at once.
	Disconnected bool `json:"cut,omitempty"`
	// Frozen keeps connections open but forwards no bytes.
	Frozen bool `json:"frozen,omitempty"`
	// DropToTarget discards the bytes from the client to the target.
	DropToTarget bool `json:"drop_to_target,omitempty"`
	// DropToClient discards the bytes from the target to the client.
	DropToClient bool `json:"drop_to_client,omitempty"`
	// ChunkDelay is the time that each chunk waits before it is forwarded.
	ChunkDelay spokeclock.Millis `json:"delay_millis,omitempty"`
	// BytesPerSecond limits the rate of each connection and direction if
	// positive.
	BytesPerSecond int `json:"bytes_per_second,omitempty"`
	// AbortResponses is the number of connections to close in place of
	// forwarding the next chunk from the target.
	AbortResponses int `json:"lose_answers,omitempty"`
	// CloseAfterBytes closes a connection before it would forward more than
	// that many bytes to the client, if positive.
	CloseAfterBytes int `json:"cut_after_bytes,omitempty"`
	// SwapResponses is the number of pairs of chunks from the target to exchange
	// between connections.
	SwapResponses int `json:"swap_answers,omitempty"`
	// LateCopies is the number of responses that are sent once more, on their own
	// connection, in front of the response to the next request.
	LateCopies int `json:"late_copies,omitempty"`
	// CopyContaining limits the late copies to responses of requests that contain
	// this text and are followed by another one that contains it.
	CopyContaining string `json:"copy_containing,omitempty"`
}

// Proxy forwards TCP connections to a target and injects faults. Set its fields
// before Serve.
type Proxy struct {
	// Target is the IP and port to forward connections to.
	Target string

	mutex       sync.Mutex
	faults      ProxyFaults
	open        map[net.Conn]struct{}
	pendingSwap *pendingChunk
}

// pendingChunk is a chunk that waits to be exchanged with one of another
// connection.
type pendingChunk struct {
	content     []byte
	replacement chan []byte
}

// ControlHandler returns the HTTP handler of the control call that sets the
// faults.
func (p *Proxy) ControlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /control", controlHandler(p.SetFaults))
	return mux
}

// SetFaults replaces all faults.
func (p *Proxy) SetFaults(faults ProxyFaults) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.faults = faults
	if !faults.Disconnected {
		return
	}
	for conn := range p.open {
		_ = conn.Close()
	}
}

// Serve accepts and forwards connections until ctx ends.
func (p *Proxy) Serve(ctx context.Context, listener net.Listener) {
	p.mutex.Lock()
	p.open = make(map[net.Conn]struct{})
	p.mutex.Unlock()
	stop := context.AfterFunc(ctx, func() {
		_ = listener.Close()
		p.SetFaults(ProxyFaults{Disconnected: true})
	})
	defer stop()
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		go p.forwardConnection(client)
	}
}

func (p *Proxy) forwardConnection(client net.Conn) {
	defer func() { _ = client.Close() }()
	if p.currentFaults().Disconnected {
		return
	}
	target, err := net.DialTimeout("tcp", p.Target, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = target.Close() }()
	p.track(client, target)
	defer p.untrack(client, target)
	done := make(chan struct{}, 2)
	copier := &responseCopier{proxy: p, client: client}
	go func() { p.copyChunks(client, target, copier.filterRequestChunk); done <- struct{}{} }()
	go func() { p.copyChunks(target, client, p.newResponseFilter(copier)); done <- struct{}{} }()
	<-done
}

func (p *Proxy) currentFaults() ProxyFaults {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.faults
}

func (p *Proxy) track(conns ...net.Conn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, conn := range conns {
		p.open[conn] = struct{}{}
	}
}

func (p *Proxy) untrack(conns ...net.Conn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, conn := range conns {
		delete(p.open, conn)
	}
}

// copyChunks copies chunks through the filter until a side closes or the filter
// returns false.
func (p *Proxy) copyChunks(from, to net.Conn, filter func([]byte) ([]byte, bool)) {
	buffer := make([]byte, proxyChunkBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			chunk, ok := filter(buffer[:n])
			if !ok {
				return
			}
			if _, err := to.Write(chunk); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (p *Proxy) filterRequestChunk(chunk []byte) ([]byte, bool) {
	p.delayChunk(len(chunk))
	if p.currentFaults().DropToTarget {
		return nil, true
	}
	return chunk, !p.currentFaults().Disconnected
}

// newResponseFilter returns the filter of the chunks from the target to the
// client of one connection.
func (p *Proxy) newResponseFilter(copier *responseCopier) func([]byte) ([]byte, bool) {
	forwarded := 0
	return func(chunk []byte) ([]byte, bool) {
		p.delayChunk(len(chunk))
		if p.currentFaults().DropToClient {
			return nil, true
		}
		if p.takeAbortedResponse() {
			return nil, false
		}
		limit := p.currentFaults().CloseAfterBytes
		forwarded += len(chunk)
		if limit > 0 && forwarded > limit {
			return nil, false
		}
		copier.record(chunk)
		return p.swapChunk(chunk), !p.currentFaults().Disconnected
	}
}

func (p *Proxy) takeAbortedResponse() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.faults.AbortResponses == 0 {
		return false
	}
	p.faults.AbortResponses--
	return true
}

// delayChunk waits for the delay, for the time that the bytes take at the rate
// limit, and until the proxy is no longer frozen.
func (p *Proxy) delayChunk(bytes int) {
	faults := p.currentFaults()
	wait := faults.ChunkDelay
	if faults.BytesPerSecond > 0 {
		wait += spokeclock.Millis(bytes) * spokeclock.Second / spokeclock.Millis(faults.BytesPerSecond)
	}
	if wait > 0 {
		_ = spokeclock.Sleep(context.Background(), wait)
	}
	for p.currentFaults().Frozen && !p.currentFaults().Disconnected {
		_ = spokeclock.Sleep(context.Background(), frozenPollInterval)
	}
}

const swapWaitTimeout = 2 * time.Second

// swapChunk exchanges a chunk with one of another connection, or returns it
// unchanged.
func (p *Proxy) swapChunk(chunk []byte) []byte {
	p.mutex.Lock()
	if p.faults.SwapResponses == 0 {
		p.mutex.Unlock()
		return chunk
	}
	if p.pendingSwap != nil {
		partner := p.pendingSwap
		p.pendingSwap = nil
		p.faults.SwapResponses--
		p.mutex.Unlock()
		partner.replacement <- append([]byte(nil), chunk...)
		return partner.content
	}
	pending := &pendingChunk{content: append([]byte(nil), chunk...), replacement: make(chan []byte, 1)}
	p.pendingSwap = pending
	p.mutex.Unlock()
	return p.awaitSwap(pending)
}

func (p *Proxy) awaitSwap(pending *pendingChunk) []byte {
	select {
	case replacement := <-pending.replacement:
		return replacement
	case <-time.After(swapWaitTimeout):
	}
	p.mutex.Lock()
	if p.pendingSwap == pending {
		p.pendingSwap = nil
		p.mutex.Unlock()
		return pending.content
	}
	p.mutex.Unlock()
	return <-pending.replacement
}
