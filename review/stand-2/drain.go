package main

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"
)

// Bounds of the site file.
const (
	drainTime   = 2 * time.Second
	contactTime = 3 * time.Second
)

// drain withdraws a back end, whose last two reports are late, and kills all nodes at once after the acknowledgement.
func drain(f *fleet, rec *record, trouble bool) (broken bool, err error) {
	routes := map[string]route{
		"browse": {Host: host, PathPrefix: "/browse/", Kind: "idempotent", TimeoutMs: 1000, TargetLatencyMs: 400, Priority: 2, Service: "catalogue", MaxAttempts: 2},
	}
	if err := f.start(manifest(1, routes), []string{"catalogue", "catalogue", "catalogue"}); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	leaver := f.machines[0].app
	sent := make(map[string]time.Time)
	var mu sync.Mutex
	var callers sync.WaitGroup
	defer callers.Wait()
	defer cancel()
	for c, m := range f.machines {
		callers.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				a := attempt{id: fmt.Sprintf("c%d-%d", c, n), method: "GET", target: fmt.Sprintf("/browse/%d-%d?work=50", c, n), limit: time.Second}
				mu.Lock()
				sent[a.id] = time.Now()
				mu.Unlock()
				o, _ := a.send(m)
				rec.printf("%s at %s: status %d %v", a.id, m.name, o.status, o.err)
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	time.Sleep(2 * time.Second)
	leaver.hold()
	time.Sleep(2*heartbeat + 300*time.Millisecond)
	if !leaver.withdraw(ctx) {
		return false, fmt.Errorf("the withdrawal of %s was not acknowledged", leaver.name())
	}
	acked := time.Now()
	rec.printf("the withdrawal of %s was acknowledged", leaver.name())
	time.Sleep(300 * time.Millisecond)
	if trouble {
		rec.printf("all nodes are killed")
		for _, m := range f.machines {
			m.signal(syscall.SIGKILL)
		}
		for _, m := range f.machines {
			m.kill()
		}
	}
	time.Sleep(700 * time.Millisecond)
	if trouble {
		for _, m := range f.machines {
			if err := m.startNode(); err != nil {
				return false, err
			}
		}
	}
	started := time.Now()
	time.Sleep(time.Second)
	leaver.deliverHeld(ctx)
	bound := started.Add(contactTime + 500*time.Millisecond) // all machines are in touch from here on
	if earliest := acked.Add(drainTime); earliest.After(bound) {
		bound = earliest
	}
	time.Sleep(time.Until(acked.Add(12 * time.Second)))
	leaver.stop()
	rec.printf("%s has ended", leaver.name())
	late := 0
	mu.Lock()
	defer mu.Unlock()
	for _, id := range leaver.beganAfter(bound) {
		if sent[id].After(bound) {
			late++
		}
	}
	rec.printf("%d requests, sent from %v after the acknowledgement on, ran at %s", late, bound.Sub(acked), leaver.name())
	return late > 0, nil
}
