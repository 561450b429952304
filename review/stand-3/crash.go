package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	contactTime = 3 * time.Second // contactMs
	// maxRetries is the number of retries with which a crashing request may reach back ends later than contactMs after the third crash.
	maxRetries = 3
	// crashTime is the time from the start of the request to the end of the process, in which it would have worked for longer.
	crashTime = 150 * time.Millisecond
	// leaveTime is the time after which the requesters leave, half of the latency objective of the route.
	leaveTime     = 100 * time.Millisecond
	backAfter     = 2 * time.Second
	crashMachines = 6
	crashPath     = "/reserve/tools/saw?crash=1&work=400ms"

	// usualWorkers send other requests on each machine, one each usualEvery.
	usualWorkers = 4
	usualEvery   = 250 * time.Millisecond
	usualPath    = "/reserve/tools/drill?work=140ms&number="
	reserveLimit = 1200 * time.Millisecond
)

// crashAttempts are the times at which the crashing request is sent, from the start of the period in which requesters leave. The first three
// crash a back end each; the others are sent later than contactMs after that.
var crashAttempts = []time.Duration{
	0, 400 * time.Millisecond, 800 * time.Millisecond, 4200 * time.Millisecond, 4450 * time.Millisecond, 4700 * time.Millisecond,
	4950 * time.Millisecond, 5200 * time.Millisecond,
}

// reserveManifest returns a manifest with a route to one service for each of the path prefixes, by the names of the routes.
func reserveManifest(version int, prefixes map[string]string) map[string]any {
	routes := make(map[string]any)
	for name, prefix := range prefixes {
		routes[name] = map[string]any{
			"host": shopHost, "pathPrefix": prefix, "kind": "non_idempotent", "timeoutMs": 1200, "targetLatencyMs": 200, "priority": 1,
			"service": "reservations", "maxAttempts": 2,
		}
	}
	return map[string]any{
		"version":  version,
		"routes":   routes,
		"services": map[string]any{"reservations": map[string]any{"healthPath": healthPath, "maxConnections": 220}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// crashes are the crashes that one request has caused.
type crashes struct {
	mu   sync.Mutex
	at   []time.Time
	late int // retries that reached a back end later than contactMs after the third crash
}

// crashBehindARequesterThatLeft sends a request that crashes each back end which runs it, again and again at different machines. With the
// disruption its requesters leave before the back end has ended.
func crashBehindARequesterThatLeft(f *fleet, trouble bool) (string, error) {
	f.publish(reserveManifest(1, map[string]string{"r-reserve": "/reserve/"}))
	for i := range crashMachines {
		if _, err := f.addMachine("reservations", fmt.Sprintf("zone-%d", i%3), 12); err != nil {
			return "", err
		}
	}
	seen := &crashes{}
	for _, m := range f.machines {
		m.backend.onCrash = func(id string) { m.crashBackend(seen, id) }
	}
	if err := f.awaitReady(); err != nil {
		return "", err
	}
	stop := make(chan struct{})
	var served, lost atomic.Int64
	var senders sync.WaitGroup
	usual := f.sendUsual(stop, &served, &lost)
	time.Sleep(time.Second)
	began := time.Now()
	for number, after := range crashAttempts {
		time.Sleep(time.Until(began.Add(after)))
		senders.Go(func() { f.machines[number%len(f.machines)].sendCrashing(number, trouble) })
	}
	senders.Wait()
	time.Sleep(time.Second)
	close(stop)
	usual.Wait()
	seen.mu.Lock()
	defer seen.mu.Unlock()
	f.record.add("%d crashes, %d retries reached a back end later than contactMs after the third", len(seen.at), seen.late)
	f.record.add("of the other requests, %d were served and %d were lost at a back end that crashed", served.Load(), lost.Load())
	if seen.late > maxRetries {
		return fmt.Sprintf("BUDGET: %d retries of a request that crashes back ends reached one later than contactMs after the third crash; "+
			"%d crashes in all, by which %d other requests were lost", seen.late, len(seen.at), lost.Load()), nil
	}
	return "", nil
}

// crashBackend ends the back end of the machine a moment after the request has begun to run, and starts it again.
func (m *machine) crashBackend(seen *crashes, id string) {
	seen.mu.Lock()
	if len(seen.at) >= 3 && time.Since(seen.at[2]) > contactTime {
		seen.late++
	}
	seen.mu.Unlock()
	crashed := m.backend
	time.AfterFunc(crashTime, func() {
		m.fleet.record.add("%s crashes by %s", crashed.id, id)
		crashed.crash()
		seen.mu.Lock()
		seen.at = append(seen.at, time.Now())
		seen.mu.Unlock()
		time.AfterFunc(backAfter, func() { m.restartBackend(crashed) })
	})
}

// restartBackend starts a back end at the address of the one that has crashed, with a new ID.
func (m *machine) restartBackend(crashed *backend) {
	next := &backend{
		id: crashed.id + "b", service: crashed.service, zone: crashed.zone, address: crashed.address, control: crashed.control,
		record: crashed.record, onRun: crashed.onRun, onCrash: crashed.onCrash,
	}
	m.backend = next
	if err := startBackend(next, cap(crashed.slots)); err != nil {
		m.fleet.record.add("%s does not start: %v", next.id, err)
	}
}

// sendCrashing sends the crashing request once.
func (m *machine) sendCrashing(number int, leaves bool) {
	c, err := m.connect("requester on " + m.name)
	if err != nil {
		return
	}
	defer c.Close()
	r := request{id: fmt.Sprintf("crash-%d", number), method: "POST", host: shopHost, uri: crashPath, deadline: reserveLimit}
	sent := time.Now()
	if c.send(r) != nil {
		return
	}
	if leaves {
		time.Sleep(leaveTime)
		m.fleet.record.add("%s leaves", c.name)
		return
	}
	c.receive(r, sent)
}

// sendUsual lets requesters on all machines send other requests until stop is closed, each with a path of its own, and counts those that were
// served, and those that have run and ended with 502 or without an answer.
func (f *fleet) sendUsual(stop chan struct{}, served, lost *atomic.Int64) *sync.WaitGroup {
	var requesters sync.WaitGroup
	for _, m := range f.machines {
		for worker := range usualWorkers {
			requesters.Go(func() {
				ticker := time.NewTicker(usualEvery)
				defer ticker.Stop()
				for number := 0; ; number++ {
					select {
					case <-stop:
						return
					case <-ticker.C:
					}
					id := fmt.Sprintf("%s-%d-%d", m.name, worker, number)
					switch got := m.sendOnce(request{id: id, method: "POST", host: shopHost, uri: usualPath + id, deadline: reserveLimit}); {
					case got.whole:
						served.Add(1)
					case got.status == 0 || got.status == http.StatusBadGateway:
						lost.Add(1)
					}
				}
			})
		}
	}
	return &requesters
}

// sendOnce sends the request on a connection of its own.
func (m *machine) sendOnce(r request) answer {
	c, err := m.connect("requester on " + m.name)
	if err != nil {
		return answer{err: err}
	}
	defer c.Close()
	sent := time.Now()
	if err := c.send(r); err != nil {
		return answer{err: err}
	}
	return c.receive(r, sent)
}
