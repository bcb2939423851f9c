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

// ProxyFaults are what a fault proxy does to connections.
type ProxyFaults struct {
	// Disconnected closes all connections and refuses new ones.
	Disconnected bool `json:"cut,omitempty"`
	// Frozen keeps connections open and moves no bytes.
	Frozen bool `json:"frozen,omitempty"`
	// DropToTarget swallows bytes towards the target.
	DropToTarget bool `json:"drop_to_target,omitempty"`
	// DropToClient swallows bytes towards the client.
	DropToClient bool `json:"drop_to_client,omitempty"`
	// ChunkDelay holds each chunk back.
	ChunkDelay spokeclock.Millis `json:"delay_millis,omitempty"`
	// BytesPerSecond limits each connection's rate when positive.
	BytesPerSecond int `json:"bytes_per_second,omitempty"`
	// AbortResponses closes that many connections in place of an answer's first
	// bytes.
	AbortResponses int `json:"lose_answers,omitempty"`
	// CloseAfterBytes closes a connection once it has moved that many bytes to
	// the client, when positive.
	CloseAfterBytes int `json:"cut_after_bytes,omitempty"`
	// SwapResponses exchanges that many pairs of answers between connections.
	SwapResponses int `json:"swap_answers,omitempty"`
}

// Proxy passes TCP connections on to a target and injects faults. Set its
// fields before Serve.
type Proxy struct {
	// Target is the address to pass connections on to.
	Target string

	mutex  sync.Mutex
	faults ProxyFaults
	open   map[net.Conn]struct{}
	parked *parkedChunk
}

// parkedChunk is an answer that waits to be exchanged with another.
type parkedChunk struct {
	content []byte
	other   chan []byte
}

// ControlHandler returns the interface that takes faults.
func (p *Proxy) ControlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /control", control(p.SetFaults))
	return mux
}

// SetFaults replaces the faults.
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

// Serve passes connections on until ctx ends.
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
		go p.pass(client)
	}
}

func (p *Proxy) pass(client net.Conn) {
	defer func() { _ = client.Close() }()
	if p.current().Disconnected {
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
	go func() { p.pump(client, target, p.forward); done <- struct{}{} }()
	go func() { p.pump(target, client, p.backward()); done <- struct{}{} }()
	<-done
}

func (p *Proxy) current() ProxyFaults {
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

// pump moves chunks until a side closes or the filter says to stop.
func (p *Proxy) pump(from, to net.Conn, filter func([]byte) ([]byte, bool)) {
	buffer := make([]byte, proxyChunkBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			chunk, goOn := filter(buffer[:n])
			if !goOn {
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

func (p *Proxy) forward(chunk []byte) ([]byte, bool) {
	p.hold(len(chunk))
	if p.current().DropToTarget {
		return nil, true
	}
	return chunk, !p.current().Disconnected
}

// backward returns the filter of one connection's answers.
func (p *Proxy) backward() func([]byte) ([]byte, bool) {
	moved := 0
	return func(chunk []byte) ([]byte, bool) {
		p.hold(len(chunk))
		if p.current().DropToClient {
			return nil, true
		}
		if p.loses() {
			return nil, false
		}
		limit := p.current().CloseAfterBytes
		moved += len(chunk)
		if limit > 0 && moved > limit {
			return nil, false
		}
		return p.swap(chunk), !p.current().Disconnected
	}
}

func (p *Proxy) loses() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.faults.AbortResponses == 0 {
		return false
	}
	p.faults.AbortResponses--
	return true
}

// hold waits for delay, rate and thaw.
func (p *Proxy) hold(bytes int) {
	faults := p.current()
	wait := faults.ChunkDelay
	if faults.BytesPerSecond > 0 {
		wait += spokeclock.Millis(bytes) * spokeclock.Second / spokeclock.Millis(faults.BytesPerSecond)
	}
	if wait > 0 {
		_ = spokeclock.Sleep(context.Background(), wait)
	}
	for p.current().Frozen && !p.current().Disconnected {
		_ = spokeclock.Sleep(context.Background(), thawPoll)
	}
}

const swapPatience = 2 * time.Second

// swap exchanges a chunk with that of another connection, or passes it on.
func (p *Proxy) swap(chunk []byte) []byte {
	p.mutex.Lock()
	if p.faults.SwapResponses == 0 {
		p.mutex.Unlock()
		return chunk
	}
	if p.parked != nil {
		parked := p.parked
		p.parked = nil
		p.faults.SwapResponses--
		p.mutex.Unlock()
		parked.other <- append([]byte(nil), chunk...)
		return parked.content
	}
	mine := &parkedChunk{content: append([]byte(nil), chunk...), other: make(chan []byte, 1)}
	p.parked = mine
	p.mutex.Unlock()
	return p.await(mine)
}

func (p *Proxy) await(mine *parkedChunk) []byte {
	select {
	case other := <-mine.other:
		return other
	case <-time.After(swapPatience):
	}
	p.mutex.Lock()
	if p.parked == mine {
		p.parked = nil
		p.mutex.Unlock()
		return mine.content
	}
	p.mutex.Unlock()
	return <-mine.other
}
