package sidecar

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/magnoliawharf/magnoliawharf/transport/httpserver"
	"github.com/magnoliawharf/magnoliawharf/wait"
)

const (
	// gateNotice is the time for which a stopping node goes on taking new work for its upstream, while the others learn
	// of the stop.
	gateNotice = time.Second
	// callerNotice is the time after which callers have been told by the platform to go elsewhere. A request that comes
	// later is refused, since there may be no time left to finish it.
	callerNotice = 3 * time.Second
	// stopMargin is the time kept back before the end of the grace.
	stopMargin = 500 * time.Millisecond
	// quietTime is how long no request may have come before the listeners are closed.
	quietTime = 200 * time.Millisecond
)

// stop ends the node without cutting a request off: it says that it is not ready, goes on serving until its callers have
// gone elsewhere, and then waits for the requests in flight.
func (s *Sidecar) stop() error {
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(s.Settings.Runtime.Grace)-stopMargin)
	defer cancel()
	s.Log.Info("node stops", "grace_ms", time.Duration(s.Settings.Runtime.Grace).Milliseconds(), "requests", s.requests.Len(), "at_upstream", s.gate.InFlight().Len())
	s.stopping.Store(true)
	s.callers.Drain()
	wait.For(ctx, gateNotice)
	s.gate.Stop()
	wait.For(ctx, callerNotice-gateNotice)
	s.closing.Store(true)
	err := s.waitQuiet(ctx)
	err = errors.Join(err, s.gate.InFlight().Wait(ctx))
	for _, server := range []*httpserver.Server{s.callers, s.peers, s.registration} {
		err = errors.Join(err, server.Shutdown(ctx))
	}
	s.Log.Info("node stopped", "took_ms", time.Since(began).Milliseconds(), "requests", s.requests.Len(), "at_upstream", s.gate.InFlight().Len())
	if err != nil {
		return fmt.Errorf("requests were still in flight at the end of the grace: %w", err)
	}
	return nil
}

// waitQuiet returns when no request of a caller has been in flight for quietTime, or with the error of ctx.
func (s *Sidecar) waitQuiet(ctx context.Context) error {
	for {
		if err := s.requests.Wait(ctx); err != nil {
			return err
		}
		wait.For(ctx, quietTime)
		if s.requests.Len() == 0 {
			return ctx.Err()
		}
	}
}

// Cleanup closes what Provision opened, after Run has returned.
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
	s.control.Close()
	return err
}
