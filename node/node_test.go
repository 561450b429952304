package node_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/bundle"
	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/instance"
	"github.com/magnoliawharf/magnoliawharf/node"
	"github.com/magnoliawharf/magnoliawharf/settings"
	"github.com/magnoliawharf/magnoliawharf/standin/backend"
	"github.com/magnoliawharf/magnoliawharf/transport"
	"github.com/magnoliawharf/magnoliawharf/upstream"
)

// testSettings returns settings of a node that joins the fleet by the seeds. Without seeds it is alone.
func testSettings(t testing.TB, id string, seeds ...string) settings.Settings {
	t.Helper()
	key, err := bundle.GenerateKey(time.Time{})
	assert.NilError(t, err)
	path := filepath.Join(t.TempDir(), "signer")
	assert.NilError(t, key.WriteFiles(path))
	s := settings.Default()
	s.ID, s.DataCentre, s.Region = id, "dc-1", "region-1"
	s.TrustedKeys = []string{path + ".pub"}
	s.Listen = settings.Listen{Callers: "127.0.0.1:0", Peers: "127.0.0.1:0", Local: "127.0.0.1:0"}
	s.Seeds = append(seeds, "127.0.0.1:1")
	s.Runtime.DrainNotice = settings.Duration(50 * time.Millisecond)
	return s
}

// runningNode is a node under test. Its function stop stops the node and returns the result of Run.
type runningNode struct {
	*node.Node
	stop func() error
}

func startNode(t testing.TB, n *node.Node) runningNode {
	t.Helper()
	assert.NilError(t, n.Provision())
	assert.NilError(t, n.Validate())
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- n.Run(ctx) }()
	stopped := false
	stop := func() error {
		cancel()
		stopped = true
		return <-ended
	}
	t.Cleanup(func() {
		if !stopped {
			_ = stop()
		}
		_ = n.Cleanup()
	})
	return runningNode{n, stop}
}

func startBackend(t *testing.T, o backend.Options) *backend.Backend {
	t.Helper()
	started, err := backend.Start(o)
	assert.NilError(t, err)
	t.Cleanup(started.Close)
	return started
}

// waitForState waits until the instance has the state in the fleet.
func waitForState(t testing.TB, fleet *instance.Fleet, id instance.ID, want instance.State) {
	t.Helper()
	changes, cancel := fleet.Subscribe()
	defer cancel()
	limit := time.After(10 * time.Second)
	for {
		if record, ok := fleet.Get(id); ok && record.State == want {
			return
		}
		select {
		case <-changes:
		case <-limit:
			t.Fatalf("instance %s is not %s in time", id, want)
		}
	}
}

// get sends a GET request with header fields given as names and values, and returns the response and its body.
func get(t *testing.T, url string, header ...string) (*http.Response, string) {
	t.Helper()
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url, nil)
	assert.NilError(t, err)
	for i := 0; i < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return response, string(body)
}

// Guards against a node that reports ready before it has a bundle, sends requests for its own upstream
// over a second hop, or does not export its counters.
func TestNodeServesItsUpstream(t *testing.T) {
	n := startNode(t, &node.Node{Settings: testSettings(t, "n1")})
	response, _ := get(t, "http://"+n.LocalAddr()+"/readyz")
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	n.Bundles.Put(testBundle().Load())
	response, _ = get(t, "http://"+n.LocalAddr()+"/readyz")
	assert.Equal(t, response.StatusCode, http.StatusOK)

	startBackend(t, backend.Options{Service: "catalogue", Node: n.LocalAddr()})
	waitForState(t, n.Fleet(), "n1", instance.Ready)
	response, body := get(t, "http://"+n.CallerAddr()+"/catalogue/tools", "Magnoliawharf-Call", "forged")
	assert.Equal(t, response.StatusCode, http.StatusOK, body)
	assert.Equal(t, response.Header.Get(transport.HeaderUpstream), "n1")
	var echo backend.Echo
	assert.NilError(t, json.Unmarshal([]byte(body), &echo))
	assert.Equal(t, echo.Path, "/tools")
	assert.Assert(t, strings.HasPrefix(echo.Chain, "1.1.1."), echo.Chain)
	_, metrics := get(t, "http://"+n.LocalAddr()+"/metrics")
	assert.Assert(t, strings.Contains(metrics, `magnoliawharf_refusals_total{reason="no-upstream"}`))
}

// Guards against an upstream that receives requests after its announcement has expired or it has left.
func TestUpstreamExpiresAndLeaves(t *testing.T) {
	n := startNode(t, &node.Node{Settings: testSettings(t, "n1"), Bundles: testBundle()})
	up := startBackend(t, backend.Options{Service: "catalogue", Node: n.LocalAddr(), TTL: 150 * time.Millisecond})
	waitForState(t, n.Fleet(), "n1", instance.Ready)
	up.SetFaults(backend.Faults{Silent: true})
	waitForState(t, n.Fleet(), "n1", instance.Unannounced)
	response, _ := get(t, "http://"+n.CallerAddr()+"/catalogue/x")
	assert.Equal(t, response.Header.Get(transport.HeaderRan), "not-run")
	up.SetFaults(backend.Faults{})
	waitForState(t, n.Fleet(), "n1", instance.Ready)
	assert.NilError(t, up.Drain(context.Background()))
	waitForState(t, n.Fleet(), "n1", instance.Unannounced)
}

// outcome sends a call and returns its status and upstream, or its error, in one line.
func outcome(url string) string {
	response, err := http.Get(url)
	if err != nil {
		return err.Error()
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err.Error()
	}
	return response.Status + " " + response.Header.Get(transport.HeaderUpstream)
}

// Guards against a graceful stop that aborts a request in flight or continues to send new requests to its
// upstream.
func TestPlannedStopFinishesRequests(t *testing.T) {
	bundles := testBundle()
	one := startNode(t, &node.Node{Settings: testSettings(t, "n1"), Bundles: bundles})
	two := startNode(t, &node.Node{Settings: testSettings(t, "n2", one.PeerAddr()), Bundles: bundles})
	up := startBackend(t, backend.Options{Service: "catalogue", Node: one.LocalAddr()})
	waitForState(t, two.Fleet(), "n1", instance.Ready)

	got := make(chan string, 1)
	go func() { got <- outcome("http://" + two.CallerAddr() + "/catalogue/slow?work=4s") }()
	for deadline := time.Now().Add(5 * time.Second); up.InUse() == 0; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), "the request did not reach the upstream")
	}
	stopped := make(chan error, 1)
	go func() { stopped <- one.stop() }()
	waitForState(t, two.Fleet(), "n1", instance.Draining)
	response, _ := get(t, "http://"+two.CallerAddr()+"/catalogue/new")
	assert.Equal(t, response.Header.Get(transport.HeaderRan), "not-run")
	assert.Equal(t, <-got, "200 OK n1")
	assert.NilError(t, <-stopped)
}

// Guards against a call that is refused with the wrong status or reason, or with not-run although bytes
// may have reached the upstream.
func TestCallRefusals(t *testing.T) {
	n := startNode(t, &node.Node{Settings: testSettings(t, "n1"), Bundles: testBundle()})
	startBackend(t, backend.Options{Service: "catalogue", Node: n.LocalAddr()})
	waitForState(t, n.Fleet(), "n1", instance.Ready)
	cases := map[string]struct {
		path, name, value string
		status            int
		reason            string
	}{
		"unknown service":  {"/nothing/x", "X-Own", "1", 404, "no-service"},
		"bad timeout":      {"/catalogue/x", transport.HeaderTimeout, "soon", 400, "bad-request"},
		"bad chain":        {"/catalogue/x", transport.HeaderChain, "1.1.1", 400, "bad-request"},
		"too deep":         {"/catalogue/x", transport.HeaderChain, "1.1.6.1000000.17", 508, "depth-exceeded"},
		"deadline reached": {"/catalogue/x?work=5s", transport.HeaderTimeout, "200", 504, "deadline-passed"},
		"chain deadline":   {"/catalogue/x?work=5s", transport.HeaderChain, "1.1.2.200000.17", 504, "deadline-passed"},
		"long header":      {"/catalogue/x", "X", strings.Repeat("x", 64<<10), 431, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			response, body := get(t, "http://"+n.CallerAddr()+c.path, c.name, c.value)
			assert.Equal(t, response.StatusCode, c.status, body)
			assert.Equal(t, response.Header.Get(transport.HeaderRefusal), c.reason)
			if c.reason != "" {
				want := "not-run"
				if c.status == http.StatusGatewayTimeout {
					want = "unknown"
				}
				assert.Equal(t, response.Header.Get(transport.HeaderRan), want)
			}
		})
	}
}

// Guards against an upstream that takes a truncated request body as complete, and against one that waits
// forever for the rest, when a caller disconnects while it sends the body.
func TestCallerDisconnectsDuringBody(t *testing.T) {
	whole := make(chan error, 1)
	bundles := testBundle()
	record := startUpstreamNode(t, bundles, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(io.Discard, r.Body)
		whole <- err
	}))
	entry := startEntryNode(t, bundles, record)
	conn, err := net.Dial("tcp", strings.TrimPrefix(entry, "http://"))
	assert.NilError(t, err)
	_, err = conn.Write(append([]byte("POST /catalogue/x HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n\r\n"), bytes.Repeat([]byte("x"), 50000)...))
	assert.NilError(t, err)
	time.Sleep(100 * time.Millisecond)
	assert.NilError(t, conn.Close())
	select {
	case err := <-whole:
		assert.Assert(t, err != nil, "the upstream read a truncated body as complete")
	case <-time.After(5 * time.Second):
		t.Fatal("the upstream still waits for the body")
	}
}

// Guards against a node that runs a request addressed to another service, another incarnation of the node
// or another version of the contract.
func TestStaleRequestsAreRefused(t *testing.T) {
	bundles := bundle.NewCurrent()
	catalogue := testBundle().Load().Contracts["catalogue"]
	bundles.Put(&bundle.Bundle{Version: 1, Contracts: map[string]*bundle.Contract{"catalogue": catalogue, "ledger": catalogue}})
	localUpstream := upstream.New()
	localUpstream.Announce(time.Now(), upstream.Announcement{
		Service: "catalogue", Addr: "127.0.0.1:1", State: instance.Ready, Slots: 2, TimeToLive: time.Second,
	})
	proxy := &node.UpstreamProxy{ID: "n1", Incarnation: incarnation, Bundles: bundles, Upstream: localUpstream}
	valid := caller.Request{
		Service: "catalogue", Route: "all", Class: "short", Body: caller.NewBody(nil, 0), Deadline: time.Now().Add(time.Second),
	}
	cases := map[string]struct {
		change      func(*caller.Request)
		incarnation uint64
		reason      caller.Reason
	}{
		"incarnation":    {func(*caller.Request) {}, incarnation - 1, caller.StaleIncarnation},
		"service":        {func(r *caller.Request) { r.Service = "gone" }, incarnation, caller.StaleBundle},
		"route":          {func(r *caller.Request) { r.Route = "gone" }, incarnation, caller.StaleBundle},
		"class":          {func(r *caller.Request) { r.Class = "gone" }, incarnation, caller.StaleBundle},
		"deadline":       {func(r *caller.Request) { r.Deadline = time.Now() }, incarnation, caller.DeadlinePassed},
		"other upstream": {func(r *caller.Request) { r.Service = "ledger" }, incarnation, caller.NotReady},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			req := valid
			c.change(&req)
			_, err := proxy.Serve(context.Background(), &req, c.incarnation)
			var refusal *caller.Refusal
			assert.Assert(t, errors.As(err, &refusal), "%v", err)
			assert.Equal(t, refusal.Reason, c.reason)
			assert.Equal(t, refusal.Ran, caller.NotRun)
		})
	}
}

// Guards against a refusal of callers that use HTTP/2 without TLS, and against a truncated response that
// ends like a complete one over HTTP/2.
func TestHTTP2Callers(t *testing.T) {
	n := startNode(t, &node.Node{Settings: testSettings(t, "n1"), Bundles: testBundle()})
	startBackend(t, backend.Options{Service: "catalogue", Node: n.LocalAddr()})
	waitForState(t, n.Fleet(), "n1", instance.Ready)
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	client := &http.Client{Transport: &http.Transport{Protocols: protocols}}
	for path, whole := range map[string]bool{"?size=100000": true, "?size=100000&cut=70000": false} {
		response, err := client.Get("http://" + n.CallerAddr() + "/catalogue/x" + path)
		assert.NilError(t, err)
		read, err := io.Copy(io.Discard, response.Body)
		response.Body.Close()
		assert.Equal(t, response.ProtoMajor, 2)
		assert.Equal(t, err == nil, whole, "%s: %d bytes, %v", path, read, err)
	}
}

// Guards against a chain of calls whose depth is lost at an upstream: six nested calls are served and the
// seventh is refused.
func TestDepthOfCalls(t *testing.T) {
	n := startNode(t, &node.Node{Settings: testSettings(t, "n1"), Bundles: testBundle()})
	startBackend(t, backend.Options{Service: "catalogue", Node: n.LocalAddr(), Callers: n.CallerAddr()})
	waitForState(t, n.Fleet(), "n1", instance.Ready)
	path := "/catalogue/leaf"
	for depth := 1; depth <= caller.MaxDepth+1; depth++ {
		response, body := get(t, "http://"+n.CallerAddr()+path)
		assert.Equal(t, response.StatusCode, http.StatusOK, body)
		assert.Equal(t, strings.Count(body, `"run"`), min(depth, caller.MaxDepth), body)
		assert.Equal(t, strings.Contains(body, string(caller.DepthExceeded)), depth > caller.MaxDepth, body)
		path = "/catalogue/above?call=" + url.QueryEscape(path)
	}
}
