package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// crashingBody and otherBody are the sizes of the bodies, in bytes: all are of the size of a reservation's.
	crashingBody = 6000
	otherBody    = 6000
	otherPause   = 50 * time.Millisecond // between other requests
	resendEvery  = 30                    // other requests between two sends of the crashing one
	crashingTime = 50 * time.Second

	// crashesBefore is the number of back ends that the request may crash before the rule counts, and maxRetries the number of retries
	// that may reach back ends later than contactTime after that.
	crashesBefore = 3
	maxRetries    = 3
)

// crash sends a request that crashes each back end which runs it, again and again at two machines, among other requests to its path.
func crash(f *fleet, rec *record, trouble bool) (broken bool, err error) {
	routes := map[string]route{
		"reserve": {
			Host: host, PathPrefix: "/reserve/", Kind: "non_idempotent", TimeoutMs: 1200, TargetLatencyMs: 500, Priority: 1,
			Service: "reservations", MaxAttempts: 2,
		},
	}
	if err := f.start(manifest(1, routes), []string{"reservations", "reservations", "reservations", "catalogue", "catalogue"}); err != nil {
		return false, err
	}
	callers := f.machines[3:]
	var mu sync.Mutex
	others, crashing := make(map[int]int), make(map[int]int)
	send := func(n int, id, body string, statuses map[int]int) {
		a := attempt{id: id, method: "POST", target: "/reserve/tool?work=140", body: body, limit: 1200 * time.Millisecond}
		o, _ := a.send(callers[n%len(callers)])
		mu.Lock()
		defer mu.Unlock()
		rec.printf("%s at %s: status %d %v", id, callers[n%len(callers)].name, o.status, o.err)
		statuses[o.status]++
	}
	var ids []string
	var all sync.WaitGroup
	for n, start := 1, time.Now(); time.Since(start) < crashingTime; n++ {
		id := fmt.Sprintf("a%d", n)
		all.Go(func() { send(n, id, pad("tool "+id, otherBody), others) })
		if trouble && n%resendEvery == 0 {
			again := fmt.Sprintf("crashing-%d", len(ids))
			ids = append(ids, again)
			all.Go(func() { send(n/resendEvery, again, pad(crashMark, crashingBody), crashing) })
		}
		time.Sleep(otherPause)
	}
	all.Wait()
	var reached []time.Time
	for _, id := range ids {
		for _, m := range f.machines {
			if at, ok := m.app.began(id); ok {
				reached = append(reached, at)
			}
		}
	}
	slices.SortFunc(reached, time.Time.Compare)
	later := 0
	for i, at := range reached {
		if i >= crashesBefore && at.After(reached[crashesBefore-1].Add(contactTime)) {
			later++
		}
	}
	rec.printf("other requests by status: %v; the crashing one was sent %d times, by status: %v", others, len(ids), crashing)
	rec.printf("the crashing request reached back ends %d times, %d of them later than %v after the third", len(reached), later, contactTime)
	return later > maxRetries, nil
}

// pad returns the text, filled up to the number of bytes.
func pad(text string, size int) string { return text + " " + strings.Repeat("x", size-len(text)-1) }
