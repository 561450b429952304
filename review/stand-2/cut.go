package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The traffic, and the stops.
const (
	cutBody  = 4000                   // bytes of a request
	cutPause = 100 * time.Millisecond // between two connections at one machine
	cutTime  = 60 * time.Second

	stopPause  = 4 * time.Second // from the start of one node to the stop of the next
	checkPause = time.Second     // between two readiness checks
	maxMisses  = 2               // readiness checks after which a machine gets no new work
	stopSlack  = time.Second     // beyond the grace period, in which a stop is the cause of a broken connection
)

// workload is a route, and the work and the answers of its requests as the sheet has them.
type workload struct {
	route
	work            int // ms
	mean, mostBytes float64
}

// limit returns the time limit of the callers, which is the timeout of the route.
func (w workload) limit() time.Duration { return time.Duration(w.TimeoutMs) * time.Millisecond }

// workloads are the first requests of the connections, by turns: closing a ticket, and the download of an archive.
var workloads = []workload{
	{route{Host: host, PathPrefix: "/close/", Kind: "non_idempotent", TimeoutMs: 1200, TargetLatencyMs: 400, Priority: 1, Service: "records-hub", MaxAttempts: 2}, 130, 5e3, 30e3},
	{route{Host: host, PathPrefix: "/archive/", Kind: "download", TimeoutMs: 2000, TargetLatencyMs: 800, Priority: 2, Service: "records-hub", MaxAttempts: 2}, 130, 90e3, 540e3},
}

// stops holds the times of the SIGTERMs of a machine.
type stops struct {
	mu sync.Mutex
	at []time.Time
}

func (s *stops) add(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at = append(s.at, at)
}

// covers reports whether the machine was being stopped at the time.
func (s *stops) covers(at time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, stop := range s.at {
		if !at.Before(stop) && at.Before(stop.Add(graceS*time.Second+stopSlack)) {
			return true
		}
	}
	return false
}

// cut stops and starts the nodes in turn, while callers send a request in chunks and an idempotent one behind it.
func cut(f *fleet, rec *record, trouble bool) (broken bool, err error) {
	routes := map[string]route{"close": workloads[0].route, "archive": workloads[1].route}
	if err := f.start(manifest(1, routes), []string{"records-hub", "records-hub", "records-hub", "records-hub"}); err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), cutTime)
	defer cancel()
	var mu sync.Mutex
	var all sync.WaitGroup
	lost, outcomes := make(map[string]int), make(map[string]int)
	stopped := make(map[*machine]*stops)
	for _, m := range f.machines {
		stopped[m] = &stops{}
	}
	for _, m := range f.machines {
		all.Go(func() {
			ready := watchReadiness(ctx, m)
			for n := 0; ctx.Err() == nil; n++ {
				time.Sleep(cutPause)
				if !ready() {
					continue
				}
				id := fmt.Sprintf("%s-%d", m.name, n)
				all.Go(func() {
					sent := time.Now()
					w := workloads[n%len(workloads)]
					text, complete := pipelined(m, id, w)
					ended := time.Now()
					ran := false
					for _, other := range f.machines {
						_, at := other.app.began(id)
						ran = ran || at
					}
					mu.Lock()
					defer mu.Unlock()
					outcomes[w.Kind+" "+text]++
					if !complete {
						rec.printf("%s, %s: no complete answer after %v: %s; ran %v, stop %v", id, w.Kind, ended.Sub(sent), text, ran, stopped[m].covers(ended))
					}
					if !complete && ran && ended.Sub(sent) < w.limit() && stopped[m].covers(ended) {
						lost[w.Kind]++
					}
				})
			}
		})
	}
	for n := 0; trouble && sleep(ctx, stopPause); n++ {
		m := f.machines[n%len(f.machines)]
		rec.printf("%s gets SIGTERM", m.name)
		stopped[m].add(time.Now())
		m.signal(syscall.SIGTERM)
		m.await()
		if err := m.startNode(); err != nil {
			return false, err
		}
	}
	all.Wait()
	rec.printf("outcomes of the first requests: %v; those that ran at a back end and have no complete answer, in a planned stop: %v", outcomes, lost)
	return len(lost) > 0, nil
}

// sleep waits and reports whether ctx goes on.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// watchReadiness checks the readiness of the machine as the platform does, and returns whether it gets new work.
func watchReadiness(ctx context.Context, m *machine) (ready func() bool) {
	var mu sync.Mutex
	misses := 0
	go func() {
		for sleep(ctx, checkPause) {
			isReady := m.isReady()
			mu.Lock()
			if misses++; isReady {
				misses = 0
			}
			mu.Unlock()
		}
	}()
	return func() bool {
		mu.Lock()
		defer mu.Unlock()
		return misses < maxMisses
	}
}

// pipelined sends a request with a body in chunks on a new connection, and an idempotent one behind it. It returns the outcome of the
// first, and whether its answer was complete.
func pipelined(m *machine, id string, w workload) (text string, complete bool) {
	conn, err := dialLink(m.address(outboundPort))
	if err != nil {
		return "not connected", true
	}
	defer conn.Close()
	size := min(w.mostBytes, w.mean*rand.ExpFloat64())
	first := attempt{
		id: id, method: "POST", target: fmt.Sprintf("%s%s?work=%d&size=%d", w.PathPrefix, id, w.work, int(size)), body: strings.Repeat("b", cutBody),
		chunked: true, limit: w.limit(),
	}
	next := attempt{id: id + "-next", method: "GET", target: fmt.Sprintf("/archive/%s-next?work=130", id), limit: w.limit()}
	if err := first.write(conn); err != nil {
		return "not sent", true
	}
	time.Sleep(time.Duration(w.work) * time.Millisecond / 4)
	if err := next.write(conn); err != nil {
		return "not sent", true
	}
	limit := time.AfterFunc(w.limit()+time.Second, func() { _ = conn.node.Close() })
	defer limit.Stop()
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: first.method})
	if err != nil {
		return "no answer: " + reason(err), false
	}
	defer response.Body.Close()
	if n, err := io.Copy(io.Discard, response.Body); err != nil {
		return fmt.Sprintf("status %d, cut: %s", response.StatusCode, reason(err)), n == response.ContentLength
	}
	return fmt.Sprintf("status %d", response.StatusCode), true
}

// reason returns the text of an error without addresses.
func reason(err error) string {
	if operation, ok := err.(*net.OpError); ok {
		return operation.Err.Error()
	}
	return err.Error()
}
