package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// usualInterval is the time between two usual requests at a machine.
	usualInterval = 250 * time.Millisecond
	// firstArrivals is the number of arrivals of the crashing request before the rolling restart, and arrivalsAfterRestart that
	// at each machine after its restart.
	firstArrivals        = 3
	arrivalsAfterRestart = 2
	// settling is the time beyond contact until a machine counts as in touch for sure.
	settling = 500 * time.Millisecond
)

// crashOverRestarts sends a request that crashes the backends which run it, until the nodes refuse it. Then the nodes are
// stopped by SIGTERM and started again, one after the other, and the request comes again at each machine once it is in touch.
func crashOverRestarts(record *recorder, trouble bool) (bool, string, error) {
	f, err := startFleet(record, "work", "work", "work", "work")
	if err != nil {
		return false, "", err
	}
	defer f.close()
	for _, m := range f.machines {
		b := m.running.Load()
		b.crashes, b.onCrash = true, m.returnAfterCrash
		go m.sendUsual()
	}
	sent := make(chan reply, maxOrders)
	arrive := func(m *machine) {
		go func() { sent <- m.request(http.MethodPost, "/o/order?work=400") }()
		time.Sleep(50 * time.Millisecond)
		m.request(http.MethodGet, crashPath)
		time.Sleep(crashDowntime + settling)
	}
	for range firstArrivals {
		arrive(f.machines[0])
	}
	for _, m := range f.machines {
		if trouble {
			m.restarting.Store(true)
			if err := m.restartNode(); err != nil {
				return false, "", err
			}
			m.restarting.Store(false)
		}
		time.Sleep(contact + settling)
		for range arrivalsAfterRestart {
			arrive(m)
		}
	}
	isBroken, seen := f.judgeCrashes(true)
	lost := 0
	for len(sent) > 0 {
		if one := <-sent; one.status == http.StatusBadGateway {
			lost++
		}
	}
	return isBroken, fmt.Sprintf("%s; %d orders were lost with the backends at which they ran", seen, lost), nil
}

// sendUsual sends usual requests at the machine while its node is not being restarted.
func (m *machine) sendUsual() {
	for i := 0; ; i++ {
		time.Sleep(usualInterval)
		if !m.restarting.Load() {
			m.request(http.MethodGet, fmt.Sprintf("/w/item/%d-%d?work=20", m.index, i))
		}
	}
}
