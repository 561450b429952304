package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// lateness is how late a status report arrives: "seconds late".
	lateness = 2500 * time.Millisecond
	// killPause is the time from the kill of a node to its next start.
	killPause = 500 * time.Millisecond
	// adoption is the time in which a node that was started again finds its backend by a status check.
	adoption = 400 * time.Millisecond
	// stay is the time for which a leaving backend serves on: "at times many seconds".
	stay = 14 * time.Second
	// orderInterval is the time between two orders, and orderPath their path.
	orderInterval = 50 * time.Millisecond
	orderPath     = "/o/order?work=250"
	maxOrders     = 4096
)

var errNotAcknowledged = errors.New("the backend's leaving is not acknowledged")

// orders are the orders that a requester sends all the while.
type orders struct {
	sending atomic.Bool
	sent    chan reply
}

func (m *machine) sendOrders() *orders {
	o := &orders{sent: make(chan reply, maxOrders)}
	o.sending.Store(true)
	go func() {
		for o.sending.Load() {
			go func() { o.sent <- m.request(http.MethodPost, orderPath) }()
			time.Sleep(orderInterval)
		}
	}()
	return o
}

// end stops the orders, waits until all are answered and returns the replies by attempt.
func (o *orders) end() map[string]reply {
	o.sending.Store(false)
	time.Sleep(timeLimit + orderInterval)
	replies := map[string]reply{}
	for len(o.sent) > 0 {
		one := <-o.sent
		replies[one.attempt] = one
	}
	return replies
}

// lateReportAfterLeaving lets a backend leave by a DELETE. The status report that it sent just before arrives late, and its node
// is killed and started again in between.
func lateReportAfterLeaving(record *recorder, trouble bool) (bool, string, error) {
	f, err := startFleet(record, "front", "work", "work")
	if err != nil {
		return false, "", err
	}
	defer f.close()
	sent := f.machines[0].sendOrders()
	time.Sleep(2 * time.Second)
	leaver := f.machines[1]
	b := leaver.running.Load()
	report, reported := b.leave(), time.Now()
	time.Sleep(orderInterval)
	if !b.send(http.MethodDelete, "leaving", nil) {
		return false, "", errNotAcknowledged
	}
	acknowledged := time.Now()
	inTouch := acknowledged
	if trouble {
		if err := leaver.killNode(killPause); err != nil {
			return false, "", err
		}
		if err := leaver.awaitReady(5 * time.Second); err != nil {
			return false, "", err
		}
		inTouch = time.Now().Add(contact)
	}
	time.Sleep(time.Until(reported.Add(lateness)))
	record.logf("the last status report of backend %s arrives, %.1f s after it was sent", b.id, time.Since(reported).Seconds())
	b.send(http.MethodPut, "late ready", report)
	time.Sleep(time.Until(acknowledged.Add(stay)))
	b.end()
	isBroken, seen := f.judgeDrain(b.id, acknowledged, inTouch, sent.end())
	return isBroken, seen, nil
}

// leavingAfterRestart kills a node right after a status report of its backend, and starts it again. Before the next report, the
// backend leaves by a DELETE, which the new process acknowledges. The report that the backend sent just before arrives late.
func leavingAfterRestart(record *recorder, trouble bool) (bool, string, error) {
	f, err := startFleet(record, "front", "work", "work")
	if err != nil {
		return false, "", err
	}
	defer f.close()
	sent := f.machines[0].sendOrders()
	time.Sleep(2 * time.Second)
	leaver := f.machines[1]
	b := leaver.running.Load()
	for last := b.reported.Load(); b.reported.Load() == last; {
		time.Sleep(time.Millisecond)
	}
	inTouch := time.Now()
	if trouble {
		if err := leaver.killNode(killPause); err != nil {
			return false, "", err
		}
		if err := leaver.awaitReady(5 * time.Second); err != nil {
			return false, "", err
		}
		inTouch = time.Now().Add(contact)
	}
	time.Sleep(adoption)
	report, reported := b.leave(), time.Now()
	time.Sleep(orderInterval)
	if !b.send(http.MethodDelete, "leaving", nil) {
		return false, "", errNotAcknowledged
	}
	acknowledged := time.Now()
	time.Sleep(time.Until(reported.Add(lateness)))
	record.logf("the last status report of backend %s arrives, %.1f s after it was sent", b.id, time.Since(reported).Seconds())
	b.send(http.MethodPut, "late ready", report)
	time.Sleep(time.Until(acknowledged.Add(stay)))
	b.end()
	isBroken, seen := f.judgeDrain(b.id, acknowledged, inTouch, sent.end())
	return isBroken, seen, nil
}

// leave makes the backend unhealthy for its status check, ends its reports and returns the last one, which says ready.
func (b *backend) leave() []byte {
	b.silent.Store(true)
	report := b.body("ready")
	b.record.logf("backend %s sends its last status report, which is on its way for long, and is leaving from now on", b.id)
	b.leaving.Store(true)
	return report
}

// judgeDrain counts the orders that ran at a backend and were sent later than drainMs after the acknowledgement of its leaving,
// while all machines were in touch, and those of them that got no answer of the backend.
func (f *fleet) judgeDrain(id string, acknowledged, inTouch time.Time, replies map[string]reply) (isBroken bool, seen string) {
	late, lost := 0, 0
	for _, one := range f.runs.snapshot() {
		answered, known := replies[one.attempt]
		if !known || one.instance != id || answered.sent.Before(acknowledged.Add(drain)) || answered.sent.Before(inTouch) {
			continue
		}
		late++
		if answered.status != http.StatusOK || !strings.HasPrefix(answered.seal, id) {
			lost++
		}
	}
	return late > 0, fmt.Sprintf(
		"DRAIN: %d of %d orders ran at backend %s although they were sent later than drainMs after the acknowledgement, by machines in touch; %d of them have no answer of it",
		late, len(replies), id, lost)
}
