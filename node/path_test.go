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

func testBundle() *bundle.Current {
	bundles := bundle.NewCurrent()
	bundles.Put(&bundle.Bundle{Version: 3, Contracts: map[string]*bundle.Contract{"catalogue": {
		Service: "catalogue",
		Classes: []bundle.Class{{Name: "short", MaxQueue: 10, MaxWait: time.Second}},
		Routes: []bundle.Route{{
			Name: "all", PathPrefix: "/", Class: "short", Rule: bundle.Idempotent, Timeout: 5 * time.Second,
		}},
	}}})
	return bundles
}

// startUpstreamNode starts an upstream and the node beside it, and returns the record of the node.
func startUpstreamNode(t *testing.T, bundles *bundle.Current, backend http.Handler) instance.Record {
	t.Helper()
	up := httptest.NewServer(backend)
	t.Cleanup(up.Close)
	localUpstream := upstream.New()
	localUpstream.Announce(time.Now(), upstream.Announcement{
		Service: "catalogue", Addr: up.Listener.Addr().String(), State: instance.Ready, Slots: 2, TimeToLive: time.Hour,
	})
	proxy := &node.UpstreamProxy{ID: "home-1", Incarnation: incarnation, Bundles: bundles, Upstream: localUpstream, Client: upstreamhttp.NewClient()}
	peer := httptest.NewServer(&peerhttp.Server{Proxy: proxy})
	t.Cleanup(peer.Close)
	return instance.Record{
		ID: "home-1", Incarnation: incarnation, PeerAddr: peer.Listener.Addr().String(),
		Service: "catalogue", State: instance.Ready, Slots: 2,
	}
}

// startEntryNode starts an entry node that knows the records, and returns its URL.
func startEntryNode(t *testing.T, bundles *bundle.Current, records ...instance.Record) string {
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

// Guards against a fault anywhere on the path from the caller through both nodes to the upstream and back.
func TestOneCallIsServedEndToEnd(t *testing.T) {
	bundles := testBundle()
	record := startUpstreamNode(t, bundles, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("X-Path", r.URL.RequestURI())
		w.WriteHeader(http.StatusCreated)
		_, _ = w.Write(append([]byte("echo "), body...))
	}))
	entry := startEntryNode(t, bundles, record)

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

// Guards against a truncated response that looks complete to the caller.
func TestTruncatedResponseReachesCallerAsError(t *testing.T) {
	bundles := testBundle()
	record := startUpstreamNode(t, bundles, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("first part"))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}))
	entry := startEntryNode(t, bundles, record)

	response, err := http.Get(entry + "/catalogue/video")
	assert.NilError(t, err)
	defer response.Body.Close()
	_, err = io.ReadAll(response.Body)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

// Guards against the automatic retry of net/http after a reused connection broke: the upstream has read
// the request and must not receive it twice.
func TestBrokenReusedConnectionIsNotResent(t *testing.T) {
	bundles := testBundle()
	var runs atomic.Int32
	record := startUpstreamNode(t, bundles, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/crash" {
			runs.Add(1)
			panic(http.ErrAbortHandler)
		}
	}))
	entry := startEntryNode(t, bundles, record)

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
