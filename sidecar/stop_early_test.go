package sidecar_test

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/settings"
	"github.com/magnoliawharf/magnoliawharf/sidecar"
	"github.com/magnoliawharf/magnoliawharf/standin/kvstore"
)

// provisioned returns a node that is provisioned and does not run yet.
func provisioned(t *testing.T, ctx context.Context) *sidecar.Sidecar {
	t.Helper()
	loaded := sidecar.DefaultSettings()
	loaded.Node, loaded.Zone, loaded.Region = "n1", "z", "r"
	loaded.Upstream.Service, loaded.Upstream.Address = "s", "127.0.0.1:1"
	anyPort := "127.0.0.1:0"
	loaded.Listen = sidecar.Listen{Callers: anyPort, Peers: anyPort, Datagrams: anyPort, Registration: anyPort, Ready: anyPort, Metrics: anyPort}
	loaded.Runtime.Grace = settings.Duration(6 * time.Second)
	node := &sidecar.Sidecar{
		Settings: loaded, Log: slog.New(slog.DiscardHandler),
		Platform: sidecar.Platform{
			Store: kvstore.NewMemory(), ContractsKey: contractsKey, ContractsPrefix: "operator/", NodesPrefix: "nodes/", DecodeContracts: decode,
			Registration: func(sidecar.Registrar) http.Handler { return http.NotFoundHandler() },
			Readiness:    func(func() bool) http.Handler { return http.NotFoundHandler() },
		},
	}
	t.Cleanup(func() { assert.NilError(t, node.Cleanup()) })
	assert.NilError(t, node.Provision(ctx))
	return node
}

// Guards against a node that is told to stop while it starts, and then waits for callers that it never had.
func TestStopOfANodeThatWasNeverReady(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	node := provisioned(t, ctx)
	cancel()
	start := time.Now()
	assert.NilError(t, node.Run(ctx, nil, nil))
	assert.Assert(t, time.Since(start) < time.Second, "the stop took %v", time.Since(start))
}

// Guards against a node that is killed in the middle of its stop: the request to stop came while it started, and the grace
// period counted from the end of the start.
func TestGracePeriodCountsFromTheRequestToStop(t *testing.T) {
	const startTime = 3500 * time.Millisecond // of a machine with little processor time
	ctx, cancel := context.WithCancel(t.Context())
	node := provisioned(t, ctx)
	requested := time.Now()
	cancel()
	time.Sleep(startTime)
	m := &machine{Sidecar: node}
	sending, stopSending := context.WithCancel(t.Context())
	defer stopSending()
	go func() {
		for sending.Err() == nil {
			_, _ = m.sendOnce()
			time.Sleep(time.Millisecond)
		}
	}()
	assert.NilError(t, node.Run(ctx, nil, nil))
	assert.Assert(t, time.Since(requested) < time.Duration(node.Settings.Runtime.Grace), "the stop ended %v after the request", time.Since(requested))
}

// pausingHandler is a log handler that takes a while for one message, as a process does that gets no processor time.
type pausingHandler struct {
	slog.Handler
	message string
	pause   time.Duration
}

// Enabled implements slog.Handler.
func (h pausingHandler) Enabled(context.Context, slog.Level) bool { return true }

// Handle implements slog.Handler.
func (h pausingHandler) Handle(_ context.Context, r slog.Record) error {
	if r.Message == h.message {
		time.Sleep(h.pause)
	}
	return nil
}

// Guards against a node that outlasts its grace period because a wait counts from the end of the step before: a process that gets
// little processor time reaches the last step late, and a caller that has sent a part of a request holds the listener open.
func TestLateStopEndsInItsGracePeriod(t *testing.T) {
	const pause = 5850 * time.Millisecond
	ctx, cancel := context.WithCancel(t.Context())
	node := provisioned(t, ctx)
	node.Log = slog.New(pausingHandler{slog.DiscardHandler, "stopping node", pause})
	ended := make(chan struct{})
	go func() {
		_ = node.Run(ctx, nil, nil) // an error for the connection that is still open
		close(ended)
	}()
	time.Sleep(100 * time.Millisecond)
	requested := time.Now()
	cancel()
	time.Sleep(pause - 200*time.Millisecond)
	conn, err := net.Dial("tcp", node.CallerAddr())
	assert.NilError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\n")
	assert.NilError(t, err)
	<-ended
	assert.Assert(t, time.Since(requested) < time.Duration(node.Settings.Runtime.Grace), "the stop ended %v after the request", time.Since(requested))
}
