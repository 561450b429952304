package soak

import (
	"context"
	"net"
	"sync"
	"time"
)

// proxyBuffer is the number of bytes that a proxy moves at a time.
const proxyBuffer = 16 << 10

// behaviour is what a proxy does to the bytes that it carries. The zero value passes them on.
type behaviour struct {
	delay      time.Duration // before each piece of bytes
	refuse     bool          // new connections are reset
	holdUp     bool          // bytes to the server are held back
	holdDown   bool          // bytes from the server are held back
	stallsOpen bool          // connections that are open now carry nothing any more, new ones work
}

// proxy carries TCP connections to one address and can harm them. Each connection has a lock of its own.
type proxy struct {
	listener net.Listener
	target   string

	mu        sync.Mutex
	behaviour behaviour
	changed   chan struct{} // closed at each change of the behaviour
	carried   map[*carried]struct{}
}

// carried is one connection through a proxy.
type carried struct {
	near, far *net.TCPConn
	stalled   bool // under the lock of the proxy
}

func startProxy(listen, target string) (*proxy, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, changed: make(chan struct{}), carried: make(map[*carried]struct{})}
	go p.accept()
	return p, nil
}

// set replaces the behaviour and returns how many connections were stalled by it.
func (p *proxy) set(b behaviour) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.behaviour = b
	stalled := 0
	if b.stallsOpen {
		for c := range p.carried {
			c.stalled = true
			stalled++
		}
	}
	close(p.changed)
	p.changed = make(chan struct{})
	return stalled
}

// reset breaks all open connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.carried {
		c.end()
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.reset()
}

// end resets both sides.
func (c *carried) end() {
	for _, side := range []*net.TCPConn{c.near, c.far} {
		_ = side.SetLinger(0)
		_ = side.Close()
	}
}

func (p *proxy) accept() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.carry(near.(*net.TCPConn))
	}
}

func (p *proxy) carry(near *net.TCPConn) {
	p.mu.Lock()
	refuse := p.behaviour.refuse
	p.mu.Unlock()
	if refuse {
		_ = near.SetLinger(0)
		_ = near.Close()
		return
	}
	far, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		_ = near.SetLinger(0)
		_ = near.Close()
		return
	}
	c := &carried{near: near, far: far.(*net.TCPConn)}
	p.mu.Lock()
	p.carried[c] = struct{}{}
	p.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	var pumps sync.WaitGroup
	pumps.Go(func() { p.pump(ctx, c, c.near, c.far, func(b behaviour) bool { return b.holdUp }) })
	pumps.Go(func() { p.pump(ctx, c, c.far, c.near, func(b behaviour) bool { return b.holdDown }) })
	pumps.Wait()
	cancel()
	p.mu.Lock()
	delete(p.carried, c)
	p.mu.Unlock()
	_ = c.near.Close()
	_ = c.far.Close()
}

// pump moves bytes one way until the connection ends, and then ends the other way as the sender did.
func (p *proxy) pump(ctx context.Context, c *carried, from, to *net.TCPConn, held func(behaviour) bool) {
	buffer := make([]byte, proxyBuffer)
	for {
		n, err := from.Read(buffer)
		if !p.pass(ctx, c, held) {
			return
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				c.end()
				return
			}
		}
		if err != nil {
			if isReset(err) {
				c.end()
				return
			}
			_ = to.CloseWrite()
			return
		}
	}
}

// pass waits until bytes may go on. It returns false when ctx ends first.
func (p *proxy) pass(ctx context.Context, c *carried, held func(behaviour) bool) bool {
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
