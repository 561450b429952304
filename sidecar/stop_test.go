package sidecar_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/settings"
	"github.com/magnoliawharf/magnoliawharf/standin/kvstore"
)

// Guards against a shutdown that aborts requests in flight, accepts requests that it cannot finish, or does not fail the
// readiness probe.
func TestPlannedStop(t *testing.T) {
	memory := kvstore.NewMemory()
	publish(t, memory, document{Version: 1, Service: "s"})
	stopping, other := startMachine(t, "n1", memory), startMachine(t, "n2", memory)
	stopping.announce(t)
	other.announce(t)
	eventually(t, "served", 5*time.Second, func() bool { return stopping.serves() && other.serves() })

	type result struct {
		status int
		err    error
	}
	results := make(chan result, 2)
	for range cap(results) {
		go func() {
			status, _, err := stopping.get("/once/?work=3500ms")
			results <- result{status, err}
		}()
	}
	time.Sleep(100 * time.Millisecond)
	stopping.cancel()
	eventually(t, "not ready", time.Second, func() bool { return !stopping.ready() })
	time.Sleep(500 * time.Millisecond)
	assert.Assert(t, stopping.serves(), "a request early in the shutdown was refused")
	time.Sleep(2600 * time.Millisecond)
	status, _, err := stopping.get("/any/")
	assert.Assert(t, err != nil || status == 503, "a request late in the shutdown was accepted: status %d", status)
	for range cap(results) {
		got := <-results
		assert.NilError(t, got.err)
		assert.Equal(t, got.status, 200)
	}
	select {
	case err := <-stopping.ended:
		assert.NilError(t, err)
	case <-time.After(7 * time.Second):
		t.Fatal("the node has not stopped")
	}
	assert.Assert(t, other.serves())
}

// Guards against a caller's connection that a stopping node closes without an answer, because the request outlasts the
// grace period.
func TestStopAnswersRequestsThatOutlastTheGracePeriod(t *testing.T) {
	memory := kvstore.NewMemory()
	publish(t, memory, document{Version: 1, Service: "s"})
	m := startMachine(t, "n1", memory)
	m.announce(t)
	eventually(t, "served", 5*time.Second, m.serves)
	m.Settings.Runtime.Grace = settings.Duration(4 * time.Second)
	type result struct {
		status int
		body   string
		err    error
	}
	answered := make(chan result, 1)
	go func() {
		status, body, err := m.get("/once/?work=5s")
		answered <- result{status, body, err}
	}()
	time.Sleep(100 * time.Millisecond)
	m.cancel()
	assert.ErrorContains(t, <-m.ended, "still in flight")
	got := <-answered
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusBadGateway)
	assert.Equal(t, got.body, "draining: the request is unknown\n")
}
