// Package upstreamconn sends requests to the upstream beside a node over its own HTTP/1.1 connections. Unlike net/http
// it matches each answer to its request by the request ID that upstreams echo, skips answers to other requests, and tracks
// whether a failed request may have reached the upstream.
package upstreamconn

import (
	"bufio"
	"context"
	"errors"
	"maps"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/magnoliawharf/magnoliawharf/sockopt"
	"github.com/magnoliawharf/magnoliawharf/transport"
)

const (
	dialTimeout = time.Second
	// defaultIdleTimeout is how long an idle connection may be reused when the upstream does not announce an idle timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutMargin is how long before the end of the upstream's idle timeout a connection is no longer reused, so that
	// no request is sent while the upstream closes the connection.
	idleTimeoutMargin = time.Second
	// droppedIdlePeriod is how long after the loss of an idle connection only recently used ones are reused.
	droppedIdlePeriod = 30 * time.Second
	// lostConnPeriod is how long after the loss of a kept connection a retry is sent on a new one.
	lostConnPeriod = time.Second
	// maxIdleConns is the maximum number of idle connections to one upstream.
	maxIdleConns = 64
	// userTimeout is how long a request may stay unacknowledged before the kernel closes the connection.
	userTimeout = 500 * time.Millisecond
)

// pooledConn is one connection to an upstream. It carries one request at a time.
type pooledConn struct {
	net.Conn
	reader        *bufio.Reader
	head          *headLimiter // between the connection and the reader
	reused        bool         // an earlier request has used the connection
	lastUsed      time.Time
	reusableUntil time.Time // from then on the upstream may close the connection
	userTimeout   time.Duration
}

func (c *pooledConn) setUserTimeout(limit time.Duration) {
	if limit != c.userTimeout {
		c.userTimeout = limit
		sockopt.SetUserTimeout(c.Conn, limit)
	}
}

// pool holds the idle connections by address, most recently used last.
type pool struct {
	mu              sync.Mutex
	idle            map[string][]*pooledConn
	recentOnlyUntil map[string]time.Time // by address, the time until which only recently used connections are reused
	lostAt          map[string]time.Time // by address, when a request was last lost on a kept connection
	closed          bool
}

func newPool() pool {
	return pool{idle: make(map[string][]*pooledConn), recentOnlyUntil: make(map[string]time.Time), lostAt: make(map[string]time.Time)}
}

// get removes an idle connection that was last used within maxIdleTime from the pool and returns it, nil when there is
// none. It closes the connections that cannot be reused.
func (p *pool) get(addr string, now time.Time, maxIdleTime time.Duration) *pooledConn {
	if p.dropsIdle(addr, now) {
		maxIdleTime = min(maxIdleTime, maxIdleNonRepeatable)
	}
	for {
		conn := p.pop(addr)
		if conn == nil {
			return nil
		}
		if now.Before(conn.reusableUntil) && now.Sub(conn.lastUsed) <= maxIdleTime && openAndIdle(conn) {
			conn.reused = true
			return conn
		}
		_ = conn.Close()
	}
}

func (p *pool) pop(addr string) *pooledConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[addr]
	if len(conns) == 0 {
		return nil
	}
	conn := conns[len(conns)-1]
	conns[len(conns)-1] = nil
	p.idle[addr] = conns[:len(conns)-1]
	return conn
}

// dropsIdle reports whether the upstream at addr has lately dropped an idle connection.
func (p *pool) dropsIdle(addr string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Before(p.recentOnlyUntil[addr])
}

// observeLost records that a request was lost on a kept connection to the upstream at addr. When the connection had been idle
// for long, the upstream has probably dropped the others as well, so that they are not reused.
func (p *pool) observeLost(addr string, now time.Time, use connUse) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lostAt[addr] = now
	if use == longIdle {
		p.recentOnlyUntil[addr] = now.Add(droppedIdlePeriod)
	}
}

// lostRecently reports whether a request was lost on a kept connection to the upstream at addr within lostConnPeriod.
func (p *pool) lostRecently(addr string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	at, lost := p.lostAt[addr]
	return lost && now.Sub(at) < lostConnPeriod
}

func (p *pool) put(addr string, conn *pooledConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle[addr]) >= maxIdleConns {
		_ = conn.Close()
		return
	}
	p.idle[addr] = append(p.idle[addr], conn)
}

// keepOnly closes the idle connections to all addresses other than addr.
func (p *pool) keepOnly(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for other, conns := range p.idle {
		if other == addr {
			continue
		}
		for _, conn := range conns {
			_ = conn.Close()
		}
		delete(p.idle, other)
	}
	isOther := func(other string, _ time.Time) bool { return other != addr }
	maps.DeleteFunc(p.recentOnlyUntil, isOther)
	maps.DeleteFunc(p.lostAt, isOther)
}

// observeFailure closes the idle connections to addr when err, the failure of a request, shows that one to addr no longer
// carries packets.
func (p *pool) observeFailure(addr string, err error) {
	if !errors.Is(err, syscall.ETIMEDOUT) {
		return
	}
	transport.ConnsTimedOut.Inc()
	for conn := p.pop(addr); conn != nil; conn = p.pop(addr) {
		_ = conn.Close()
	}
}

func (p *pool) close() {
	p.keepOnly("")
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
}

// openAndIdle reports whether an idle connection is open and has no unread data. Unsolicited data belongs to no request,
// and an end of file means that the upstream has closed the connection.
func openAndIdle(conn *pooledConn) bool {
	if conn.reader.Buffered() > 0 {
		return false
	}
	raw, ok := conn.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	err = control.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, peekErr := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		noData = peekErr == syscall.EAGAIN
		return true
	})
	return err == nil && noData
}

func dial(ctx context.Context, addr string) (*pooledConn, error) {
	raw, err := sockopt.NewDialer(dialTimeout, userTimeout).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	head := &headLimiter{conn: raw}
	return &pooledConn{Conn: raw, reader: bufio.NewReader(head), head: head, userTimeout: userTimeout}, nil
}

// updateExpiry records, after a complete answer, until when the connection may be reused, and reports whether it may be
// reused at all.
func (c *pooledConn) updateExpiry(now time.Time, response *http.Response) bool {
	c.lastUsed = now
	c.reusableUntil = now.Add(defaultIdleTimeout)
	if limit, ok := keepAliveTime(response.Header.Get("Keep-Alive")); ok {
		c.reusableUntil = now.Add(limit - idleTimeoutMargin)
	}
	return !response.Close && c.reader.Buffered() == 0 && now.Before(c.reusableUntil)
}

// keepAliveTime returns the timeout parameter, in whole seconds, of a Keep-Alive field.
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
