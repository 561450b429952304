package soak

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// stallDetector records the periods in which this process was not scheduled. Checks of time bounds add them, so that an
// overloaded machine does not count as a violation.
type stallDetector struct {
	mu     sync.Mutex
	stalls []span
	polled time.Time // end of the latest poll
}

const (
	stallPollInterval = 10 * time.Millisecond
	minStall          = 30 * time.Millisecond
)

// startStallDetector starts a detector that runs until the end of the test.
func startStallDetector(t testing.TB) *stallDetector {
	t.Helper()
	conn := dialEcho(t)
	done := make(chan struct{})
	t.Cleanup(func() { close(done) })
	m := &stallDetector{polled: time.Now()}
	go m.poll(conn, done)
	return m
}

// dialEcho returns a loopback connection that returns what is written to it, until the end of the test.
func dialEcho(t testing.TB) net.Conn {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	conn, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	server, err := listener.Accept()
	assert.NilError(t, err)
	go func() {
		defer server.Close()
		_, _ = io.Copy(server, server) // ends when conn is closed
	}()
	return conn
}

// poll measures how long a timer and a round trip on the connection take. Goroutines that wait for the network, as callers,
// proxies and back ends do, may be delayed while those that wait for a timer are not.
func (m *stallDetector) poll(conn net.Conn, done <-chan struct{}) {
	ticker := time.NewTicker(stallPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
		}
		if roundTrip(conn) != nil {
			return // the test has ended
		}
		m.recordPoll(time.Now())
	}
}

// String lists the stalls by their end and length.
func (m *stallDetector) String() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []string
	for _, s := range m.stalls {
		list = append(list, fmt.Sprintf("%s %v", clock(s.to), s.to.Sub(s.from).Round(time.Millisecond)))
	}
	return strings.Join(list, ", ")
}

func (m *stallDetector) recordPoll(at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if at.Sub(m.polled) > minStall {
		m.stalls = append(m.stalls, span{m.polled, at})
	}
	m.polled = at
}

// roundTrip sends one byte over an echo connection and waits for its return.
func roundTrip(conn net.Conn) error {
	buffer := make([]byte, 1)
	if _, err := conn.Write(buffer); err != nil {
		return err
	}
	_, err := io.ReadFull(conn, buffer)
	return err
}

// within returns for how much of the interval this process was not scheduled, including a stall that has not ended.
func (m *stallDetector) within(from, to time.Time) time.Duration {
	return covered(m.during(from, to), from, to)
}

// during returns the stalls that overlap the interval.
func (m *stallDetector) during(from, to time.Time) []span {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []span
	for _, s := range m.stalls {
		if s.overlap(from, to) > 0 {
			out = append(out, s)
		}
	}
	if current := (span{m.polled, time.Now()}); !m.polled.IsZero() && current.to.Sub(current.from) > minStall {
		out = append(out, current)
	}
	return out
}

// awaitWithin waits until the channel is closed. It returns false when the limit, widened by the stalls meanwhile, ends
// first.
func (m *stallDetector) awaitWithin(closed <-chan struct{}, limit time.Duration) bool {
	from := time.Now()
	for {
		left := time.Until(from.Add(limit + m.within(from, time.Now())))
		select {
		case <-closed:
			return true
		case <-time.After(left):
			if m.within(from, time.Now())+limit <= time.Since(from) {
				return false
			}
		}
	}
}

// overlap returns the length of the part of the span that is in the interval.
func (s span) overlap(from, to time.Time) time.Duration {
	return max(0, earlier(s.to, to).Sub(later(s.from, from)))
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
