package sidecar

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/transport/httpserver"
	"github.com/magnoliawharf/magnoliawharf/wait"
)

const (
	// upstreamDrainDelay is how long a stopping node admits every new request to its upstream. Afterwards it admits those that
	// end, at the latest by their deadline, before the node does.
	upstreamDrainDelay = time.Second
	// callerDrainDelay is the time by which the platform has redirected callers to other nodes. In this time the node fails the
	// readiness probe and asks HTTP/1 callers to close their connections. A later request is refused, because too little time
	// may be left to finish it, and other nodes are told not to use the upstream.
	callerDrainDelay = 3 * time.Second
	// maxCallerDrainShare bounds callerDrainDelay by a share of the grace period, so that a short one leaves time to finish.
	maxCallerDrainShare = 0.5
	// shutdownMargin is the part of the grace period reserved for answering the requests that are still in flight and for
	// exiting before SIGKILL.
	shutdownMargin = 500 * time.Millisecond
	// finalAnswerTimeout is the part of shutdownMargin in which these answers are written. The process exits in the rest.
	finalAnswerTimeout = 300 * time.Millisecond
	// idlePeriod is the time without a request of a caller, in flight or arriving, after which a stopping node closes its
	// listeners: a connection that is waiting to be accepted by then is closed without an answer.
	idlePeriod = 200 * time.Millisecond
	// maxLateCallerDelay bounds the time, from the end of the caller drain, for which requests that are refused keep the
	// listeners open.
	maxLateCallerDelay = 2 * time.Second
	// closingTime is the part of the wait for requests in flight that late callers leave to the closing of connections: each needs
	// the process to run, and a busy machine runs it late.
	closingTime = 500 * time.Millisecond
)

// recordStopRequest records the end of ctx as the time from which the grace period counts.
func (s *Sidecar) recordStopRequest(ctx context.Context) {
	context.AfterFunc(ctx, func() {
		now := time.Now()
		s.stopRequestedAt.CompareAndSwap(nil, &now)
	})
}

// stopSchedule holds the times at which the steps of a stop end. All count from the request to stop, so that a step which is late,
// because the process was starting or gets little processor time, leaves less time to the later ones and never moves their ends.
type stopSchedule struct {
	upstreamDrained time.Time // the upstream takes only requests that end in time from now on
	callersGone     time.Time // the requests of callers are refused from now on
	listening       time.Time // callers that still send no longer keep the listeners open
	finished        time.Time // requests in flight are no longer waited for
	answered        time.Time // connections are closed, also those with an answer on its way
}

func newStopSchedule(requested time.Time, grace time.Duration) stopSchedule {
	callerDrain := min(callerDrainDelay, time.Duration(maxCallerDrainShare*float64(grace)))
	finished := requested.Add(grace - shutdownMargin)
	return stopSchedule{
		upstreamDrained: requested.Add(min(upstreamDrainDelay, callerDrain)),
		callersGone:     requested.Add(callerDrain),
		listening:       earlier(requested.Add(callerDrain+maxLateCallerDelay), finished.Add(-closingTime)),
		finished:        finished,
		answered:        finished.Add(finalAnswerTimeout),
	}
}

// stop shuts the node down gracefully: it fails the readiness probe, keeps serving until the callers use other nodes, and
// then waits for the requests in flight. Each wait ends at a time of the schedule.
func (s *Sidecar) stop() error {
	start := time.Now()
	requested := start
	if at := s.stopRequestedAt.Load(); at != nil {
		requested = *at
	}
	schedule := newStopSchedule(requested, time.Duration(s.Settings.Runtime.Grace))
	finishing, cancel := context.WithDeadline(context.Background(), schedule.finished)
	defer cancel()
	answering, cancel := context.WithDeadline(context.Background(), schedule.answered)
	defer cancel()
	s.Log.Info("stopping node", "grace_ms", time.Duration(s.Settings.Runtime.Grace).Milliseconds(), "requested_ms_ago", start.Sub(requested).Milliseconds(),
		"requests", s.requests.Len(), "at_upstream", s.proxy.InFlight().Len())
	s.stopping.Store(true)
	go s.leaveQuota()
	s.callers.Drain()
	if hasCallers := s.wasReady.Load() || s.arrived.Load() > 0; hasCallers {
		s.drainCallers(finishing, schedule)
	}
	s.proxy.Stop()
	s.rejecting.Store(true)
	err := s.waitIdle(finishing, schedule.listening)
	err = errors.Join(err, s.proxy.InFlight().Wait(finishing))
	if err != nil {
		s.refuseRemaining()
	}
	idle := time.Now()
	err = errors.Join(err, shutDown(answering, s.callers, s.peers, s.registration))
	s.Log.Info("node stopped", "took_ms", time.Since(start).Milliseconds(), "requested_ms_ago", time.Since(requested).Milliseconds(),
		"closing_ms", time.Since(idle).Milliseconds(), "requests", s.requests.Len(), "at_upstream", s.proxy.InFlight().Len())
	if err != nil {
		return fmt.Errorf("requests were still in flight at the end of the grace period: %w", err)
	}
	return nil
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// shutDown shuts the servers down side by side until ctx ends.
func shutDown(ctx context.Context, servers ...*httpserver.Server) error {
	errs := make([]error, len(servers))
	var closing sync.WaitGroup
	for i, server := range servers {
		closing.Go(func() { errs[i] = server.Shutdown(ctx) })
	}
	closing.Wait()
	return errors.Join(errs...)
}

// drainCallers waits until the platform has redirected the callers, and limits the use of the upstream to requests that can be
// finished.
func (s *Sidecar) drainCallers(ctx context.Context, schedule stopSchedule) {
	wait.For(ctx, time.Until(schedule.upstreamDrained))
	s.proxy.StopBy(schedule.finished.Add(-finalAnswerTimeout))
	wait.For(ctx, time.Until(schedule.callersGone))
}

// refuseRemaining cancels the requests of callers that are still in flight, so that they are answered: a connection that
// closes without an answer doesn't tell the caller whether its request was read. Other nodes take a closed connection as a
// request that may have run.
func (s *Sidecar) refuseRemaining() {
	s.Log.Warn("requests outlast the grace period", "requests", s.requests.Len(), "at_upstream", s.proxy.InFlight().Len())
	s.callers.CancelRequests(caller.Refuse(caller.Draining, "stop", s.Settings.Node))
}

// waitIdle returns when no request of a caller is in flight and none has arrived for idlePeriod. It waits for the latter up to the
// given time, and returns the error of ctx when requests are in flight as ctx ends.
func (s *Sidecar) waitIdle(ctx context.Context, listening time.Time) error {
	for {
		if err := s.requests.Wait(ctx); err != nil {
			return err
		}
		arrived := s.arrived.Load()
		last := !wait.For(ctx, idlePeriod) || !time.Now().Before(listening)
		if s.requests.Len() == 0 && (last || s.arrived.Load() == arrived) {
			return nil
		}
	}
}

// Cleanup closes what Provision opened. It is called after Run has returned, or after Provision has failed.
func (s *Sidecar) Cleanup() error {
	var err error
	for _, server := range s.servers() {
		if server != nil {
			err = errors.Join(err, server.Close())
		}
	}
	if s.socket != nil {
		err = errors.Join(err, s.socket.Close())
	}
	s.remote.Close()
	s.upstream.Close()
	return err
}
