package node_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/bundle"
	"github.com/magnoliawharf/magnoliawharf/instance"
	"github.com/magnoliawharf/magnoliawharf/link"
	"github.com/magnoliawharf/magnoliawharf/node"
	"github.com/magnoliawharf/magnoliawharf/transport"
	"github.com/magnoliawharf/magnoliawharf/transport/callerhttp"
	"github.com/magnoliawharf/magnoliawharf/transport/peerhttp"
	"github.com/magnoliawharf/magnoliawharf/transport/upstreamhttp"
	"github.com/magnoliawharf/magnoliawharf/upstream"
)

const incarnation = 7

func testBundle() *bundle.InForce {
	held := bundle.NewInForce()
	held.Put(&bundle.Bundle{Version: 3, Contracts: map[string]*bundle.Contract{"catalogue": {
		Service: "catalogue",
		Classes: []bundle.Class{{Name: "short", MaxQueue: 10, MaxWait: time.Second}},
		Routes: []bundle.Route{{
			Name: "all", PathPrefix: "/", Class: "short", Rule: bundle.Idempotent, Timeout: 5 * time.Second,
		}},
	}}})
	return held
}

func startHome(t *testing.T, bundles *bundle.InForce, backend http.Handler) instance.Record {
	t.Helper()
	up := httptest.NewServer(backend)
	t.Cleanup(up.Close)
	held := upstream.New()
	held.Announce(time.Now(), upstream.Announcement{
		Service: "catalogue", Addr: up.Listener.Addr().String(), State: instance.Ready, Slots: 2, TimeToLive: time.Hour,
	})
	home := &node.Home{ID: "home-1", Incarnation: incarnation, Bundles: bundles, Upstream: held, Client: upstreamhttp.NewClient()}
	peer := httptest.NewServer(&peerhttp.Server{Home: home})
	t.Cleanup(peer.Close)
	return instance.Record{
		ID: "home-1", Incarnation: incarnation, PeerAddr: peer.Listener.Addr().String(),
		Service: "catalogue", State: instance.Ready, Slots: 2,
	}
}

func startEntry(t *testing.T, bundles *bundle.InForce, records ...instance.Record) string {
	t.Helper()
	fleet := instance.NewFleet()
	for _, record := range records {
		fleet.Merge(record)
	}
	dispatcher := &node.Dispatcher{Links: link.NewTable(fleet), Forward: peerhttp.NewClient("entry", nil)}
	entry := httptest.NewServer(&callerhttp.Handler{Bundles: bundles, Dispatcher: dispatcher})
	t.Cleanup(entry.Close)
	return entry.URL
}

// Guards against a break anywhere on the path caller, entry node, home node, upstream and back.
func TestOneCallIsServedEndToEnd(t *testing.T) {
	bundles := testBundle()
	record := startHome(t, bundles, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("X-Path", r.URL.RequestURI())
		w.WriteHeader(http.StatusCreated)
		_, _ = w.Write(append([]byte("echo "), body...))
	}))
	entry := startEntry(t, bundles, record)

	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, entry+"/catalogue/tools?q=saw", strings.NewReader("hello"))
	assert.NilError(t, err)
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)

	assert.Equal(t, response.StatusCode, http.StatusCreated)
	assert.Equal(t, string(body), "echo hello")
	assert.Equal(t, response.Header.Get("X-Path"), "/tools?q=saw")
	assert.Equal(t, response.Header.Get(transport.HeaderUpstream), "home-1")
	assert.Equal(t, response.Header.Get(transport.HeaderVersion), "3")
}

// Guards against a truncated answer that looks whole to the caller.
func TestCutAnswerReachesCallerAsError(t *testing.T) {
	bundles := testBundle()
	record := startHome(t, bundles, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("first part"))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}))
	entry := startEntry(t, bundles, record)

	response, err := http.Get(entry + "/catalogue/video")
	assert.NilError(t, err)
	defer response.Body.Close()
	_, err = io.ReadAll(response.Body)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

// Guards against a request that net/http sends a second time on its own after a reused connection
// broke: the upstream has read it and must see it once.
func TestBrokenReusedConnectionIsNotResent(t *testing.T) {
	bundles := testBundle()
	var runs atomic.Int32
	record := startHome(t, bundles, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/crash" {
			runs.Add(1)
			panic(http.ErrAbortHandler)
		}
	}))
	entry := startEntry(t, bundles, record)

	warm, err := http.Get(entry + "/catalogue/warm")
	assert.NilError(t, err)
	warm.Body.Close()
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, entry+"/catalogue/crash", http.NoBody)
	assert.NilError(t, err)
	request.Header.Set("Idempotency-Key", "k1")
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()

	assert.Equal(t, response.StatusCode, http.StatusBadGateway)
	assert.Equal(t, response.Header.Get(transport.HeaderRan), "unknown")
	assert.Equal(t, runs.Load(), int32(1))
}
