package soak

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/magnoliawharf/magnoliawharf/platform/standin"
)

// startBackend starts a back end of the service beside the node.
func (m *machine) startBackend(service string) {
	m.started++
	from := time.Now()
	cold := m.fleet.parts.coldTime
	b, err := standin.StartBackend(standin.BackendOptions{
		ID: fmt.Sprintf("m%d-%d", m.index, m.started), Service: service, Listen: m.address(backendPort), Advertised: m.address(backendProxyPort),
		Registration: m.address(registrationPort), AnnounceEvery: announceEvery, Slots: slots, Cold: cold, OnRequest: m.fleet.oracle.recordArrival,
		OnCrash: func() { m.crashBackend(crashTime, service) },
	})
	if err != nil {
		m.fleet.t.Errorf("back end on m%d: %v", m.index, err)
		return
	}
	m.backend = b
	m.fleet.recordCold(b.ID(), from, from.Add(cold))
}

// machineOf returns the machine index in the ID of a back end, -1 when the ID is invalid.
func machineOf(instance string) int {
	number, _, _ := strings.Cut(strings.TrimPrefix(instance, "m"), "-")
	index, err := strconv.Atoi(number)
	if err != nil {
		return -1
	}
	return index
}

// crashBackend crashes the back end. After the down time, one of the service starts at the same address.
func (m *machine) crashBackend(down time.Duration, service string) {
	m.backendMu.Lock()
	defer m.backendMu.Unlock()
	from := time.Now()
	m.backend.Crash()
	time.Sleep(down)
	m.startBackend(service)
	m.fleet.oracle.recordFailing(m.index, span{from, time.Now()})
}

// replaceBackend drains the back end, shuts it down and starts another one.
func (m *machine) replaceBackend(service string) {
	m.backendMu.Lock()
	defer m.backendMu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	if acked, ok := m.backend.Drain(ctx); ok {
		m.fleet.oracle.recordWithdrawal(m.backend.ID(), acked)
	}
	time.Sleep(drainTime)
	_ = m.backend.Shutdown(ctx) // requests that outlast the grace period are aborted, as on the platform
	time.Sleep(reuseAfter)
	m.startBackend(service)
}

// withdrawal is how a back end is withdrawn around a restart of nodes.
type withdrawal struct {
	all         bool // the nodes of all machines are started again, not only its own
	inOrder     bool // by SIGTERM
	lateReports int  // that arrive afterwards
	passesCheck bool // the health check passes all the while, so that the store alone knows of the departure once all nodes have ended
}

func drawWithdrawal(draw uint64) withdrawal {
	return withdrawal{all: draw%3 == 0, inOrder: draw/3%3 == 0, lateReports: 1 + int(draw/9%3), passesCheck: draw/27%2 == 0}
}

// withdrawAroundRestart withdraws the back end, which serves on for a while. Nodes are started again, and then the last reports of the
// back end arrive late.
func (m *machine) withdrawAroundRestart(service string, down time.Duration, w withdrawal) {
	m.backendMu.Lock()
	defer m.backendMu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), 2*grace)
	defer cancel()
	if w.passesCheck {
		m.fleet.storeFaults.Lock()
		defer m.fleet.storeFaults.Unlock()
		m.backend.SetFaults(standin.BackendFaults{PassesCheck: true})
	}
	acked, ok, sendLate := m.backend.Withdraw(ctx, w.lateReports)
	if ok {
		m.fleet.oracle.recordWithdrawal(m.backend.ID(), acked)
	}
	var kills sync.WaitGroup
	for _, other := range m.fleet.machines {
		switch {
		case other != m && !w.all:
		case w.inOrder:
			kills.Go(other.stopNode)
		default:
			kills.Go(func() { other.killNode(down) })
		}
	}
	kills.Wait()
	time.Sleep(reportDelay)
	sendLate(ctx)
	time.Sleep(withdrawnServes)
	_ = m.backend.Shutdown(ctx) // as in replaceBackend
	time.Sleep(reuseAfter)
	m.startBackend(service)
}

// failBackend injects the faults into the back end for the duration.
func (m *machine) failBackend(faults standin.BackendFaults, lasting time.Duration) {
	m.backendMu.Lock()
	defer m.backendMu.Unlock()
	from := time.Now()
	m.backend.SetFaults(faults)
	time.Sleep(lasting)
	m.backend.SetFaults(standin.BackendFaults{})
	m.fleet.oracle.recordFailing(m.index, span{from, time.Now()})
}
