package main

import "time"

const (
	// jump is how far the time of day jumps ahead on a machine, and jumpFor how long: clock_step of the site file.
	jump    = 2400 * time.Millisecond
	jumpFor = 6 * time.Second
	// flapPeriod is the time in which a backend goes down and up once, and flaps how often it does: srv_flap of the site file.
	flapPeriod = 1400 * time.Millisecond
	flaps      = 4
	// calm is the time from the last return of the backend to its leaving.
	calm = 15 * time.Second
)

// rebornInJumpedTime lets a backend go down and up by turns, under one id, while the time of day jumps ahead and back on its
// machine. Long after that it leaves as planned.
func rebornInJumpedTime(record *recorder, trouble bool) (bool, string, error) {
	f, err := startFleet(record, "front", "work", "work")
	if err != nil {
		return false, "", err
	}
	defer f.close()
	sent := f.machines[0].sendOrders()
	leaver := f.machines[1]
	jumped := time.Now()
	if trouble {
		record.logf("the time of day jumps ahead by %v on machine %s", jump, leaver.name())
	}
	// The time of day jumps back between two returns of the backend.
	time.Sleep(jumpFor - (flaps-1)*flapPeriod)
	for range flaps {
		leaver.running.Load().end()
		time.Sleep(flapPeriod / 2)
		next := leaver.newBackend(leaver.running.Load().id)
		next.born = time.Now().UnixMilli()
		if trouble && time.Since(jumped) < jumpFor {
			next.born += jump.Milliseconds()
		}
		leaver.running.Store(next)
		if err := next.start(); err != nil {
			return false, "", err
		}
		time.Sleep(flapPeriod / 2)
	}
	time.Sleep(calm)
	b := leaver.running.Load()
	b.leaving.Store(true)
	if !b.report("draining") {
		return false, "", errNotAcknowledged
	}
	acknowledged := time.Now()
	time.Sleep(stay)
	b.end()
	isBroken, seen := f.judgeDrain(b.id, acknowledged, acknowledged, sent.end())
	return isBroken, seen, nil
}
