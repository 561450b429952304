package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// The route of the large installation's reserve-tool, and the traffic to it.
const (
	reserveAim     = 1200 * time.Millisecond
	reserveTimeout = 3 * time.Second
	reserveWork    = 310 * time.Millisecond
	workSpread     = 0.3  // of the work around its mean
	workTail       = 0.03 // share of the requests whose work takes workTailX times as long
	workTailX      = 7
	reserveBody    = 4000 // bytes
	reservePause   = 22 * time.Millisecond
	reserveTime    = 60 * time.Second

	leaveShare  = 0.3            // of the callers
	leaveWithin = reserveAim / 2 // they leave at any moment before
	// leftTime is the time after which no request of a caller that has left may reach a back end, but for a few.
	leftTime = 500 * time.Millisecond
	aFew     = 10
)

// gone lets callers of a non-idempotent route leave while their requests wait for a slot of the only back end.
func gone(f *fleet, rec *record, trouble bool) (broken bool, err error) {
	routes := map[string]route{
		"reserve": {
			Host: host, PathPrefix: "/reserve/", Kind: "non_idempotent", TimeoutMs: int(reserveTimeout.Milliseconds()),
			TargetLatencyMs: int(reserveAim.Milliseconds()), Priority: 1, Service: "reservations", MaxAttempts: 2,
		},
	}
	if err := f.start(manifest(1, routes), []string{"reservations", "catalogue", "catalogue"}); err != nil {
		return false, err
	}
	app, callers := f.machines[0].app, f.machines[1:]
	random := rand.New(rand.NewPCG(1, 2)) // the same work and the same callers that leave in each run
	var all sync.WaitGroup
	var mu sync.Mutex
	statuses, left := make(map[int]int), make(map[string]time.Time)
	for n, start := 0, time.Now(); time.Since(start) < reserveTime; n++ {
		work := float64(reserveWork.Milliseconds()) * (1 - workSpread + 2*workSpread*random.Float64())
		if random.Float64() < workTail {
			work *= workTailX
		}
		a := attempt{
			id: fmt.Sprintf("a%d", n), method: "POST", target: fmt.Sprintf("/reserve/%d?work=%d", n, int(work)),
			body: strings.Repeat("b", reserveBody), limit: reserveTimeout,
		}
		leaves, leaveAt := random.Float64() < leaveShare, time.Duration(random.Float64()*float64(leaveWithin))
		if trouble && leaves {
			a.leaveAt = leaveAt
		}
		all.Go(func() {
			o, at := a.send(callers[n%len(callers)])
			mu.Lock()
			defer mu.Unlock()
			if at.IsZero() {
				rec.printf("%s: status %d %v", a.id, o.status, o.err)
				statuses[o.status]++
				return
			}
			rec.printf("%s has left", a.id)
			left[a.id] = at
		})
		time.Sleep(reservePause)
	}
	all.Wait()
	time.Sleep(reserveTimeout) // for requests that are still waiting
	late := 0
	for id, at := range left {
		if began, ok := app.began(id); ok && began.Sub(at) > leftTime {
			rec.printf("%s began %v after its caller had left", id, began.Sub(at))
			late++
		}
	}
	rec.printf("answers by status: %v; %d callers left; %d of their requests began over %v later", statuses, len(left), late, leftTime)
	return late > aFew, nil
}
