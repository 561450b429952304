package soak

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/magnoliawharf/magnoliawharf/sockopt"
)

// proxyBuffer is the most bytes that a proxy forwards at a time.
const proxyBuffer = 16 << 10

// behaviour is how a proxy treats connections. The zero value forwards all bytes.
type behaviour struct {
	delay          time.Duration // before each write
	refuse         bool          // new connections are reset
	holdToServer   bool          // bytes to the server are held back
	holdFromServer bool          // bytes from the server are held back
	stallOpen      bool          // open connections forward nothing from now on, new ones work
}

// proxy forwards TCP connections to one address and injects network faults.
type proxy struct {
	listener net.Listener
	target   string

	mu        sync.Mutex
	behaviour behaviour
	changed   chan struct{} // closed and replaced at each change of the behaviour
	conns     map[*proxiedConn]struct{}
}

// proxiedConn is one connection through a proxy: the client's and the one to the target.
type proxiedConn struct {
	client, server side
	stalled        bool // guarded by proxy.mu
}

// side is one end of a proxied connection.
type side struct {
	*net.TCPConn
	data net.Conn // tells a reset from an end to the reader, so that it is not passed on as an end
}

func newSide(conn *net.TCPConn) side { return side{conn, sockopt.NewConn(conn)} }

func startProxy(listen, target string) (*proxy, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, changed: make(chan struct{}), conns: make(map[*proxiedConn]struct{})}
	go p.accept()
	return p, nil
}

// set replaces the behaviour and returns how many connections it stalled.
func (p *proxy) set(b behaviour) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.behaviour = b
	stalled := 0
	if b.stallOpen {
		for c := range p.conns {
			c.stalled = true
			stalled++
		}
	}
	close(p.changed)
	p.changed = make(chan struct{})
	return stalled
}

// reset resets all open connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.reset()
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.reset()
}

// reset resets both sides.
func (c *proxiedConn) reset() {
	for _, s := range []side{c.client, c.server} {
		_ = s.SetLinger(0)
		_ = s.Close()
	}
}

func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serveConn(client.(*net.TCPConn))
	}
}

func (p *proxy) serveConn(client *net.TCPConn) {
	p.mu.Lock()
	refuse := p.behaviour.refuse
	p.mu.Unlock()
	if refuse {
		_ = client.SetLinger(0)
		_ = client.Close()
		return
	}
	server, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		_ = client.SetLinger(0)
		_ = client.Close()
		return
	}
	c := &proxiedConn{client: newSide(client), server: newSide(server.(*net.TCPConn))}
	p.mu.Lock()
	p.conns[c] = struct{}{}
	p.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	var pumps sync.WaitGroup
	pumps.Go(func() { p.forward(ctx, c, c.client, c.server, func(b behaviour) bool { return b.holdToServer }) })
	pumps.Go(func() { p.forward(ctx, c, c.server, c.client, func(b behaviour) bool { return b.holdFromServer }) })
	pumps.Wait()
	cancel()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
	_ = c.client.Close()
	_ = c.server.Close()
}

// forward copies bytes in one direction until the sender ends it, and then closes or resets the receiver's side likewise.
func (p *proxy) forward(ctx context.Context, c *proxiedConn, from, to side, held func(behaviour) bool) {
	buffer := make([]byte, proxyBuffer)
	for {
		n, err := from.data.Read(buffer)
		if !p.awaitForward(ctx, c, held) {
			return
		}
		if n > 0 {
			if _, writeErr := to.data.Write(buffer[:n]); writeErr != nil {
				c.reset()
				return
			}
		}
		if err != nil {
			if isReset(err) {
				c.reset()
				return
			}
			_ = to.CloseWrite()
			return
		}
	}
}

// awaitForward waits until the behaviour allows bytes to be forwarded. It returns false when ctx ends first.
func (p *proxy) awaitForward(ctx context.Context, c *proxiedConn, held func(behaviour) bool) bool {
	for {
		p.mu.Lock()
		b, changed, stalled := p.behaviour, p.changed, c.stalled
		p.mu.Unlock()
		if !stalled && !held(b) {
			if b.delay > 0 {
				time.Sleep(b.delay)
			}
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}
