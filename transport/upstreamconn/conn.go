// Package upstreamconn sends requests to the upstream beside a node over HTTP/1.1 connections of its own. Unlike
// net/http it matches each answer to its request by the ID that upstreams echo, skips answers that belong to others, and
// knows whether a request that failed can have reached the upstream.
package upstreamconn

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/magnoliawharf/magnoliawharf/sockopt"
)

const (
	dialTimeout = time.Second
	// idleTime is how long an idle connection is used again when the upstream does not say for how long it keeps it.
	idleTime = 4 * time.Second
	// idleMargin is the time before the end of the upstream's idle time-out at which a connection is no longer used, so
	// that no request crosses its close.
	idleMargin = time.Second
	// maxIdle bounds the idle connections to one upstream.
	maxIdle = 64
	// userTimeout is how long sent bytes may stay unacknowledged.
	userTimeout = 1500 * time.Millisecond
)

// conn is one connection. It carries one request at a time.
type conn struct {
	net.Conn
	reader  *bufio.Reader
	reused  bool
	usedAt  time.Time
	expires time.Time // the upstream may close it from then on
}

// pool holds the idle connections, newest last.
type pool struct {
	mu     sync.Mutex
	idle   map[string][]*conn
	closed bool
}

// take returns an idle connection that was used within youngest, nil when there is none.
func (p *pool) take(addr string, now time.Time, youngest time.Duration) *conn {
	for {
		c := p.pop(addr)
		if c == nil {
			return nil
		}
		if now.Before(c.expires) && now.Sub(c.usedAt) <= youngest && quiet(c) {
			c.reused = true
			return c
		}
		_ = c.Close()
	}
}

func (p *pool) pop(addr string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	held := p.idle[addr]
	if len(held) == 0 {
		return nil
	}
	c := held[len(held)-1]
	held[len(held)-1] = nil
	p.idle[addr] = held[:len(held)-1]
	return c
}

func (p *pool) put(addr string, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle[addr]) >= maxIdle {
		_ = c.Close()
		return
	}
	p.idle[addr] = append(p.idle[addr], c)
}

// keepOnly closes the idle connections to all other addresses.
func (p *pool) keepOnly(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for other, held := range p.idle {
		if other == addr {
			continue
		}
		for _, c := range held {
			_ = c.Close()
		}
		delete(p.idle, other)
	}
}

func (p *pool) close() {
	p.keepOnly("")
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
}

// quiet reports whether an idle connection is open and has nothing to read: bytes that nobody asked for belong to no
// request, and an end means that the upstream has closed it.
func quiet(c *conn) bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	err = control.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, peekErr := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		silent = peekErr == syscall.EAGAIN
		return true
	})
	return err == nil && silent
}

func dial(ctx context.Context, addr string) (*conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, Control: sockopt.UserTimeout(userTimeout)}
	raw, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: raw, reader: bufio.NewReader(raw)}, nil
}

// answered notes until when the connection may be used again, and reports whether it may at all.
func (c *conn) answered(now time.Time, response *http.Response) bool {
	c.usedAt = now
	c.expires = now.Add(idleTime)
	if limit, ok := keepAliveTime(response.Header.Get("Keep-Alive")); ok {
		c.expires = now.Add(limit - idleMargin)
	}
	return !response.Close && c.reader.Buffered() == 0 && now.Before(c.expires)
}

// keepAliveTime reads the timeout parameter of a Keep-Alive field, in whole seconds.
func keepAliveTime(field string) (time.Duration, bool) {
	for parameter := range strings.SplitSeq(field, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(parameter), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.ParseUint(strings.TrimSpace(value), 10, 31)
		return time.Duration(seconds) * time.Second, err == nil
	}
	return 0, false
}
