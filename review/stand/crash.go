package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// crashPath is the path of the request that crashes the backends which run it.
	crashPath = "/w/report?crash"
	// crashDowntime is the time after which a backend that has crashed is back: "after some seconds".
	crashDowntime = 4 * time.Second
	// crashInterval is the time between two arrivals of the request that crashes backends, and crashArrivals their number.
	crashInterval = 8 * time.Second
	crashArrivals = 9
	// ordersAtOnce is the number of orders that are in flight when that request arrives.
	ordersAtOnce = 3
	// maxLaterRetries is the number of retries that the rule BUDGET allows.
	maxLaterRetries = 3
)

// workRoutes are the routes of the service work: lookups may be repeated, orders may run once at most.
func workRoutes() map[string]any {
	route := func(prefix, kind string) map[string]any {
		return map[string]any{
			"host": host, "pathPrefix": prefix, "kind": kind, "timeoutMs": timeLimit.Milliseconds(), "targetLatencyMs": 500,
			"priority": 1, "service": "work", "maxAttempts": 2,
		}
	}
	return map[string]any{"r-lookup": route("/w/", "idempotent"), "r-order": route("/o/", "non_idempotent")}
}

// crashInQuietHours sends a request that crashes the backends which run it again and again, with little other traffic.
func crashInQuietHours(record *recorder, trouble bool) (bool, string, error) {
	f, err := startFleet(record, "front", "work", "work", "work")
	if err != nil {
		return false, "", err
	}
	defer f.close()
	for _, m := range f.machines {
		b := m.running.Load()
		b.crashes, b.onCrash = trouble, m.returnAfterCrash
	}
	front := f.machines[0]
	orders := make(chan reply, crashArrivals*ordersAtOnce)
	for i := range crashArrivals {
		for range ordersAtOnce {
			go func() { orders <- front.request(http.MethodPost, "/o/order?work=400") }()
			time.Sleep(20 * time.Millisecond)
		}
		front.request(http.MethodGet, crashPath)
		time.Sleep(crashInterval / 2)
		front.request(http.MethodGet, fmt.Sprintf("/w/item/%d?work=20", i))
		time.Sleep(crashInterval / 2)
	}
	isBroken, seen := f.judgeCrashes(trouble)
	lost := 0
	for range cap(orders) {
		if one := <-orders; one.status == http.StatusBadGateway {
			lost++
		}
	}
	return isBroken, fmt.Sprintf("%s; %d of %d orders were lost with the backends at which they ran", seen, lost, cap(orders)), nil
}

// returnAfterCrash starts the backend of the machine again after crashDowntime, as a new boot with a new id.
func (m *machine) returnAfterCrash() {
	time.Sleep(crashDowntime)
	last := m.running.Load()
	next := m.newBackend(last.id + "x")
	next.crashes, next.onCrash = last.crashes, last.onCrash
	if err := next.start(); err != nil {
		m.fleet.record.logf("backend %s cannot start: %v", next.id, err)
		return
	}
	m.running.Store(next)
}

// judgeCrashes counts the attempts with crashPath that reached backends later than contact after the third crash. Without the
// trouble backends may run the request and don't crash.
func (f *fleet) judgeCrashes(crashes bool) (isBroken bool, seen string) {
	if !crashes {
		return false, "BUDGET: the request crashed no backend"
	}
	var crashed []run
	for _, one := range f.runs.snapshot() {
		if one.path == crashPath {
			crashed = append(crashed, one)
		}
	}
	later := map[string]bool{}
	for _, one := range crashed {
		if one.at.Sub(crashed[min(2, len(crashed)-1)].at) > contact {
			later[one.attempt] = true
		}
	}
	return len(later) > maxLaterRetries, fmt.Sprintf(
		"BUDGET: the request crashed %d backends; %d retries reached backends later than contactMs after the third crash, %d are allowed",
		len(crashed), len(later), maxLaterRetries)
}
