package main

import (
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	shopHost        = "hulo84.example"
	browseTimeoutMs = 2500
	// loweredTimeoutMs is the time-out of the same route in the second manifest.
	loweredTimeoutMs = 600
	historyTimeoutMs = 8000
	// maxLost is the number of requests that a node may close a kept connection on without an answer.
	maxLost = 3
	rounds  = 4
)

// shopManifest returns a manifest with a route to each of two services.
func shopManifest(version, browseTimeout int) map[string]any {
	route := func(prefix, service, kind string, timeout, target int) map[string]any {
		return map[string]any{
			"host": shopHost, "pathPrefix": prefix, "kind": kind, "timeoutMs": timeout, "targetLatencyMs": target, "priority": 2,
			"service": service, "maxAttempts": 2,
		}
	}
	service := map[string]any{"healthPath": healthPath, "maxConnections": 220}
	return map[string]any{
		"version": version,
		"routes": map[string]any{
			"r-browse":  route("/browse/", "catalogue", "idempotent", browseTimeout, min(browseTimeout, 1000)),
			"r-history": route("/history/", "ledger", "idempotent", historyTimeoutMs, 2500),
		},
		"services": map[string]any{"catalogue": service, "ledger": service},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// answerBehindASlowOne lowers the time-out of a route while requesters send requests of it behind slower ones on kept connections. Each
// request is answered by its back end well within its own time-out, and could be delivered within the requester's time limit.
func answerBehindASlowOne(f *fleet, trouble bool) (string, error) {
	f.publish(shopManifest(1, browseTimeoutMs))
	for i, service := range []string{"catalogue", "ledger", "catalogue", "ledger"} {
		if _, err := f.addMachine(service, fmt.Sprintf("zone-%d", i%2), 12); err != nil {
			return "", err
		}
	}
	if err := f.awaitReady(); err != nil {
		return "", err
	}
	if trouble {
		f.publish(shopManifest(2, loweredTimeoutMs))
		time.Sleep(4 * time.Second) // longer than convergeMs
	}
	var lost, answered atomic.Int64
	var requesters sync.WaitGroup
	for _, m := range f.machines {
		requesters.Go(func() {
			for round := range rounds {
				name := fmt.Sprintf("requester on %s, connection %d", m.name, round+1)
				if m.sendBehind(name, fmt.Sprintf("%s-%d", m.name, round), &answered) {
					lost.Add(1)
				}
			}
		})
	}
	requesters.Wait()
	f.record.add("%d connections were closed without an answer to a request that was passed on, %d requests were answered", lost.Load(), answered.Load())
	if lost.Load() > maxLost {
		return fmt.Sprintf("LOST: %d times, a request from a kept connection was passed on to a sound back end, and the connection closed without an answer",
			lost.Load()), nil
	}
	if answered.Load() == 0 {
		return "", fmt.Errorf("%w: nothing was answered", errCannotRun)
	}
	return "", nil
}

// sendBehind keeps a connection for a first request, and then sends two ahead: one that takes 1.9 s and one that takes 50 ms behind it. It
// reports whether the node closed the connection without an answer to the second one, which a back end has answered.
func (m *machine) sendBehind(name, id string, answered *atomic.Int64) (lost bool) {
	c, err := m.connect(name)
	if err != nil {
		return false
	}
	defer c.Close()
	get := func(suffix, uri string, limit int) request {
		return request{id: id + suffix, method: "GET", host: shopHost, uri: uri, deadline: time.Duration(limit) * time.Millisecond}
	}
	first, slow, behind := get("-first", "/browse/a?work=50ms", browseTimeoutMs), get("-slow", "/history/b?work=1900ms", historyTimeoutMs),
		get("-behind", "/browse/c?work=50ms&size=300", browseTimeoutMs)
	sent := time.Now()
	if c.send(first) != nil || !c.receive(first, sent).whole {
		return false
	}
	sent = time.Now()
	if c.send(slow, behind) != nil {
		return false
	}
	before := c.receive(slow, sent)
	if !before.whole || before.closes {
		return false // what is sent behind an answer that closes the connection counts as not read
	}
	got := c.receive(behind, sent)
	if got.whole {
		answered.Add(1)
	}
	closed := errors.Is(got.err, io.EOF) || errors.Is(got.err, io.ErrUnexpectedEOF) || errors.Is(got.err, syscall.ECONNRESET)
	runs := m.fleet.runsOf(behind.id)
	return closed && len(runs) > 0 && !runs[0].ended.IsZero()
}
