package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	tenantKey = "8wuakn2ftimaj3nr26tt"
	// ratePerS and burst are the allotment of the tenant, as in an example of the pages.
	ratePerS, burst = 232, 232
	// quotaWindow, quotaOverage and quotaSlack are the bounds of the rule.
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20

	quotaMachines = 6
	// workersPerMachine send a request each sendEvery: together, four times the allotment.
	workersPerMachine = 31
	sendEvery         = 200 * time.Millisecond
	floodTime         = 6 * time.Second
	idleTime          = 2500 * time.Millisecond // in which the burst comes in again
	floods            = 11
	freezeAfter       = 900 * time.Millisecond // the start of a flood
	freezeTime        = 330 * time.Millisecond
)

func tenantManifest() map[string]any {
	return map[string]any{
		"version": 1,
		"routes": map[string]any{"r-view": map[string]any{
			"host": shopHost, "pathPrefix": "/view/", "kind": "idempotent", "timeoutMs": 5000, "targetLatencyMs": 800, "priority": 1,
			"service": "inspect-desk", "maxAttempts": 2,
		}},
		"services": map[string]any{"inspect-desk": map[string]any{"healthPath": healthPath, "maxConnections": 940}},
		"tenants": map[string]any{"hule930": map[string]any{
			"apiKeys": []string{tenantKey}, "priority": 1, "ratePerS": ratePerS, "burst": burst,
		}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// shortFreezeOfTheAllocator lets the machine that allocates the quota of a tenant freeze for a moment while the tenant sends several times its
// allotment.
func shortFreezeOfTheAllocator(f *fleet, trouble bool) (string, error) {
	f.strictRevoke = true
	f.publish(tenantManifest())
	for i := range quotaMachines {
		if _, err := f.addMachine("inspect-desk", fmt.Sprintf("zone-%d", i%3), 18); err != nil {
			return "", err
		}
	}
	if err := f.awaitReady(); err != nil {
		return "", err
	}
	sent := &sentTimes{at: make(map[string]time.Time)}
	var allocator *machine
	for number := range floods {
		f.record.add("flood %d begins", number+1)
		began := time.Now()
		stop := make(chan struct{})
		senders := f.flood(fmt.Sprintf("f%d", number+1), sent, stop)
		if trouble {
			time.Sleep(time.Until(began.Add(freezeAfter)))
			if allocator == nil {
				if allocator = f.allocator(); allocator == nil {
					return "", fmt.Errorf("%w: no node allocates the quota", errCannotRun)
				}
			}
			allocator.signal(syscall.SIGSTOP)
			time.Sleep(freezeTime)
			allocator.signal(syscall.SIGCONT)
		}
		time.Sleep(time.Until(began.Add(floodTime)))
		close(stop)
		senders.Wait()
		most, from := f.mostInWindow(sent)
		limit := int((ratePerS*quotaWindow.Seconds()+burst)*(1+quotaOverage) + quotaSlack)
		f.record.add("at most %d requests of the tenant were sent and run in 5 s, from %.3f s on; %d are allowed", most, from.Sub(f.record.start).Seconds(), limit)
		if most > limit {
			return fmt.Sprintf("QUOTA: %d requests of the tenant in 5 s, %d are allowed", most, limit), nil
		}
		time.Sleep(idleTime)
	}
	return "", nil
}

// allocator returns the machine whose node allocates the quota, by its log. It is called before the first freeze, when there is one only.
func (f *fleet) allocator() *machine {
	for _, m := range f.machines {
		log, err := os.ReadFile(filepath.Join(f.folder, m.name+".log"))
		if err == nil && bytes.Contains(log, []byte("allocation of a quota begins")) {
			return m
		}
	}
	return nil
}

// sentTimes are the times at which requests were sent, by their IDs.
type sentTimes struct {
	mu sync.Mutex
	at map[string]time.Time
}

func (s *sentTimes) add(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at[id] = time.Now()
}

// flood lets workers on all machines send requests of the tenant until stop is closed.
func (f *fleet) flood(name string, sent *sentTimes, stop chan struct{}) *sync.WaitGroup {
	var senders sync.WaitGroup
	for _, m := range f.machines {
		for worker := range workersPerMachine {
			senders.Go(func() {
				time.Sleep(sendEvery * time.Duration(worker) / workersPerMachine)
				m.sendUntil(fmt.Sprintf("%s-%s-%d", name, m.name, worker), sent, stop)
			})
		}
	}
	return &senders
}

// sendUntil sends requests on a kept connection, one each sendEvery.
func (m *machine) sendUntil(name string, sent *sentTimes, stop chan struct{}) {
	ticker := time.NewTicker(sendEvery)
	defer ticker.Stop()
	var c *connection
	for number := 0; ; number++ {
		select {
		case <-stop:
			if c != nil {
				_ = c.Close()
			}
			return
		case <-ticker.C:
		}
		if c == nil {
			var err error
			if c, err = m.connect(name); err != nil {
				continue
			}
		}
		r := request{id: name + "-" + strconv.Itoa(number), method: "GET", host: shopHost, uri: "/view/x?work=3ms", deadline: 5 * time.Second, key: tenantKey}
		at := time.Now()
		sent.add(r.id)
		if c.send(r) != nil || c.receive(r, at).err != nil {
			_ = c.Close()
			c = nil
		}
	}
}

// mostInWindow returns the largest number of requests that were both sent and run within one window, and the start of that window.
func (f *fleet) mostInWindow(sent *sentTimes) (most int, from time.Time) {
	type pair struct{ sent, ran time.Time }
	var pairs []pair
	f.mu.Lock()
	sent.mu.Lock()
	for id, runs := range f.runs {
		pairs = append(pairs, pair{sent.at[id], runs[0].at})
	}
	sent.mu.Unlock()
	f.mu.Unlock()
	slices.SortFunc(pairs, func(a, b pair) int { return a.sent.Compare(b.sent) })
	for i, first := range pairs {
		end, n := first.sent.Add(quotaWindow), 0
		for _, p := range pairs[i:] {
			if p.sent.After(end) {
				break
			}
			if !p.ran.After(end) {
				n++
			}
		}
		if n > most {
			most, from = n, first.sent
		}
	}
	return most, from
}
