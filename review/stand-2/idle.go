package main

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"time"
)

const (
	// idlePause is the time between two callers that open a connection at the machine: those of the busiest zone of the site file, spread
	// over its machines, in a burst of 1.8.
	idlePause = 57 * time.Millisecond
	idleTime  = 100 * time.Second
	// minTries is the number of callers that have to try in the time in which none is served.
	minTries = 7
)

// try is one caller that has opened a connection.
type try struct {
	at     time.Time
	served bool
}

// idle lets callers open a connection each, send one request and leave the connection open.
func idle(f *fleet, rec *record, trouble bool) (broken bool, err error) {
	routes := map[string]route{
		"browse": {
			Host: host, PathPrefix: "/browse/", Kind: "idempotent", TimeoutMs: 1000, TargetLatencyMs: 400, Priority: 2, Service: "catalogue", MaxAttempts: 2,
		},
	}
	if err := f.start(manifest(1, routes), []string{"catalogue", "catalogue", "catalogue"}); err != nil {
		return false, err
	}
	m := f.machines[0]
	var mu sync.Mutex
	var all sync.WaitGroup
	var open []net.Conn
	defer func() {
		for _, conn := range open {
			_ = conn.Close()
		}
	}()
	var tries []*try
	for n, start := 0, time.Now(); time.Since(start) < idleTime; n++ {
		t := &try{at: time.Now()}
		tries = append(tries, t)
		all.Go(func() {
			conn, err := m.dial(time.Second)
			if err != nil {
				rec.printf("a%d: %v", n, err)
				return
			}
			a := attempt{id: fmt.Sprintf("a%d", n), method: "GET", target: fmt.Sprintf("/browse/%d?work=20", n), limit: time.Second}
			_ = a.write(conn)
			_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
			o := readAnswer(bufio.NewReader(conn), a.method)
			mu.Lock()
			defer mu.Unlock()
			t.served = o.status == 200
			rec.printf("%s: status %d %v", a.id, o.status, o.err)
			if trouble {
				open = append(open, conn)
				return
			}
			_ = conn.Close()
		})
		if n%20 == 0 && !m.isReady() {
			rec.printf("%s is not ready", m.name)
		}
		time.Sleep(idlePause)
	}
	all.Wait()
	from, to, unserved := longestRefusal(tries)
	rec.printf("%d callers; from %v to %v none of %d was served", len(tries), from, to, unserved)
	return to-from > contactTime && unserved >= minTries, nil
}

// longestRefusal returns the longest time in which no caller was served, counted from the first one, and the number of callers in it.
func longestRefusal(tries []*try) (from, to time.Duration, unserved int) {
	for i := 0; i < len(tries); i++ {
		j := i
		for j < len(tries) && !tries[j].served {
			j++
		}
		if j > i && tries[j-1].at.Sub(tries[i].at) > to-from {
			from, to, unserved = tries[i].at.Sub(tries[0].at), tries[j-1].at.Sub(tries[0].at), j-i
		}
		i = j
	}
	return from, to, unserved
}
