package sidecar_test

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// silentProxy forwards TCP connections to a target and can stop forwarding without closing them, like a path that drops
// all packets. It listens before the target is known.
type silentProxy struct {
	listener net.Listener
	target   atomic.Pointer[string]
	accepted atomic.Int64 // connections accepted so far

	mu         sync.Mutex
	silenced   chan struct{} // closed when the connections accepted so far go silent
	refusesNew bool          // connections accepted from now on are silent from the start
}

func newSilentProxy(t *testing.T) *silentProxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	p := &silentProxy{listener: listener, silenced: make(chan struct{})}
	t.Cleanup(func() { _ = listener.Close() })
	go p.serve()
	return p
}

func (p *silentProxy) addr() string { return p.listener.Addr().String() }

// silenceOpen makes all open connections silent for good. New connections work.
func (p *silentProxy) silenceOpen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.silenced)
	p.silenced = make(chan struct{})
}

// silenceAll makes all open connections and all later ones silent.
func (p *silentProxy) silenceAll() {
	p.silenceOpen()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refusesNew = true
}

func (p *silentProxy) serve() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.accepted.Add(1)
		p.mu.Lock()
		silenced, refuse := p.silenced, p.refusesNew
		p.mu.Unlock()
		if refuse {
			continue // the connection stays open without an answer
		}
		go p.forward(conn, silenced)
	}
}

func (p *silentProxy) forward(from net.Conn, silenced <-chan struct{}) {
	to, err := net.Dial("tcp", *p.target.Load())
	if err != nil {
		_ = from.Close()
		return
	}
	go copyUntil(to, from, silenced)
	copyUntil(from, to, silenced)
}

// copyUntil copies until an end closes, which closes the other one too, or until silenced is closed, which closes none.
func copyUntil(to io.WriteCloser, from io.Reader, silenced <-chan struct{}) {
	buffer := make([]byte, 4<<10)
	for {
		n, err := from.Read(buffer)
		select {
		case <-silenced:
			return
		default:
		}
		if _, writeErr := to.Write(buffer[:n]); err != nil || writeErr != nil {
			_ = to.Close()
			return
		}
	}
}
