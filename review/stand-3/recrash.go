package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// downTime is the time for which the processes are down, as in a closing entry of the site file.
	downTime = 1300 * time.Millisecond
	// firstCrashes is the number of requesters that send the crashing request at first, and laterCrashes that of those which send it again.
	firstCrashes = 3
	laterCrashes = 6
)

// crashAgainAfterRestart sends a request that crashes each back end which runs it at several machines at once, and later again. With the
// disruption the processes of all nodes are killed in between.
func crashAgainAfterRestart(f *fleet, trouble bool) (string, error) {
	return f.crashAgainAfter(func() error {
		if !trouble {
			return nil
		}
		return f.killAllNodes()
	})
}

// crashAgainAfterAddedRoute is crashAgainAfterRestart with a manifest in between that adds a route for a part of the paths of the first one,
// to the same service.
func crashAgainAfterAddedRoute(f *fleet, trouble bool) (string, error) {
	return f.crashAgainAfter(func() error {
		if trouble {
			f.publish(reserveManifest(2, map[string]string{"r-reserve": "/reserve/", "r-tools": "/reserve/tools/"}))
		}
		return nil
	})
}

// crashAgainAfter sends a request that crashes each back end which runs it at several machines at once, and again after the event.
func (f *fleet) crashAgainAfter(event func() error) (string, error) {
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
	f.sendCrashingAtOnce("early", firstCrashes)
	time.Sleep(backAfter + 2*time.Second)
	if err := event(); err != nil {
		return "", err
	}
	if err := f.awaitReady(); err != nil {
		return "", err
	}
	time.Sleep(contactTime)
	f.sendCrashingAtOnce("late", laterCrashes)
	time.Sleep(time.Second)
	seen.mu.Lock()
	defer seen.mu.Unlock()
	f.record.add("%d crashes, %d retries reached a back end later than contactMs after the third", len(seen.at), seen.late)
	if len(seen.at) < firstCrashes {
		return "", fmt.Errorf("%w: the request has caused only %d crashes", errCannotRun, len(seen.at))
	}
	if seen.late > maxRetries {
		return fmt.Sprintf("BUDGET: %d retries of a request that crashes back ends reached one later than contactMs after the third crash, %d crashes in all",
			seen.late, len(seen.at)), nil
	}
	return "", nil
}

// sendCrashingAtOnce sends the crashing request at several machines at the same time.
func (f *fleet) sendCrashingAtOnce(name string, requesters int) {
	var senders sync.WaitGroup
	for number := range requesters {
		m := f.machines[number%len(f.machines)]
		senders.Go(func() {
			m.sendOnce(request{id: fmt.Sprintf("%s-%d", name, number), method: "POST", host: shopHost, uri: crashPath, deadline: reserveLimit})
		})
	}
	senders.Wait()
}

// killAllNodes kills the processes of all nodes at the same moment and starts them again.
func (f *fleet) killAllNodes() error {
	for _, m := range f.machines {
		m.signal(syscall.SIGKILL)
	}
	time.Sleep(downTime)
	for _, m := range f.machines {
		<-m.exited
		if err := m.startNode(); err != nil {
			return err
		}
	}
	f.record.add("all nodes are started again")
	return nil
}
