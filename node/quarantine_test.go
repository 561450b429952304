package node_test

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/instance"
	"github.com/magnoliawharf/magnoliawharf/node"
	"github.com/magnoliawharf/magnoliawharf/quarantine"
	"github.com/magnoliawharf/magnoliawharf/transport/upstreamhttp"
	"github.com/magnoliawharf/magnoliawharf/upstream"
)

type noPublisher struct{}

func (noPublisher) Announce(string, instance.State, int) {}

// crashingUpstream is a node beside an upstream whose process crashes at each request for /crash.
type crashingUpstream struct {
	t     *testing.T
	proxy *node.UpstreamProxy
	self  *node.LocalInstance
	list  *quarantine.List
}

func newCrashingUpstream(t *testing.T) *crashingUpstream {
	beside, list := upstream.New(), quarantine.NewList(nil)
	c := &crashingUpstream{t: t, list: list, self: node.NewLocalInstance(beside, slog.New(slog.DiscardHandler), noPublisher{})}
	c.proxy = &node.UpstreamProxy{
		ID: "home-1", Incarnation: incarnation, Bundles: testBundle(), Upstream: beside, Client: upstreamhttp.NewClient(),
		CrashMonitor: &quarantine.CrashMonitor{Suspects: list, Detector: quarantine.NewCrashDetector(list, "home-1")},
	}
	c.self.SetProcessObserver(c.proxy.CrashMonitor.Detector)
	return c
}

// start runs a new upstream process and announces it.
func (c *crashingUpstream) start() {
	var process *httptest.Server
	process = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/crash" {
			_ = process.Listener.Close()
			process.CloseClientConnections()
			return
		}
		_, _ = io.WriteString(w, "served")
	}))
	c.t.Cleanup(process.Close)
	c.self.Announce(time.Now(), upstream.Announcement{
		Service: "catalogue", Addr: process.Listener.Addr().String(), State: instance.Ready, Slots: 2, TimeToLive: 2 * time.Second,
	})
}

func (c *crashingUpstream) call(path string) *caller.Refusal {
	answer, err := c.proxy.Serve(c.t.Context(), &caller.Request{
		ID: "1", Service: "catalogue", Route: "all", Class: "short", Method: "GET", Path: path, Body: caller.NewBody(nil, 0),
		Deadline: time.Now().Add(5 * time.Second), Attempt: 1, Fingerprint: caller.Fingerprint("catalogue", "GET", path, nil),
	}, incarnation)
	var refusal *caller.Refusal
	if errors.As(err, &refusal) {
		c.t.Logf("%s: %v", path, refusal)
		return refusal
	}
	assert.NilError(c.t, err)
	_, err = io.Copy(io.Discard, answer.Body)
	assert.NilError(c.t, err)
	assert.NilError(c.t, answer.Body.Close())
	return nil
}

// Guards against a node that does not detect the crash of its upstream, quarantines a harmless request, or
// sends a crashing request to a third process.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	c := newCrashingUpstream(t)
	for range quarantine.Threshold {
		c.start()
		assert.Check(t, c.call("/fine") == nil, "a healthy request is refused")
		refusal := c.call("/crash")
		assert.Assert(t, refusal != nil)
		assert.Equal(t, refusal.Ran, caller.Unknown)
		assert.Assert(t, c.call("/fine") != nil) // the process is gone
	}
	c.start()
	refusal := c.call("/crash")
	assert.Assert(t, refusal != nil)
	assert.Equal(t, refusal.Reason, caller.Quarantined)
	assert.Equal(t, refusal.Ran, caller.NotRun)
	assert.Check(t, c.call("/fine") == nil, "a healthy request is refused")
}

// Guards against a cancelled call that is counted as a crash.
func TestCancelledCallIsNoCrash(t *testing.T) {
	c := newCrashingUpstream(t)
	c.start()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := c.proxy.Serve(ctx, &caller.Request{
		ID: "1", Service: "catalogue", Route: "all", Class: "short", Method: "GET", Path: "/fine", Body: caller.NewBody(nil, 0),
		Deadline: time.Now().Add(time.Second), Attempt: 1, Fingerprint: 3,
	}, incarnation)
	assert.Assert(t, err != nil)
	c.proxy.CrashMonitor.Detector.ProcessEnded(time.Now())
	assert.Equal(t, c.list.Len(), 0)
}
