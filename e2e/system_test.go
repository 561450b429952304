package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/idempotency"
	"github.com/magnoliawharf/magnoliawharf/standin/sockets"
	"github.com/magnoliawharf/magnoliawharf/store/kvhttp"
)

const (
	callLimit = 30 * time.Second
	pollStep  = 50 * time.Millisecond
)

// instanceProcess is a node and the upstream beside it.
type instanceProcess struct {
	id           string
	settings     string
	node         *systemProcess
	upstream     *systemProcess
	addr         nodeAddr
	upstreamAddr struct{ Addr string }
}

// nodeAddr holds the addresses at which a node listens.
type nodeAddr struct{ Callers, Peers, Local string }

// reserveNodeAddr returns addresses that stay free for the node while it is down.
func reserveNodeAddr(t testing.TB) nodeAddr {
	t.Helper()
	return nodeAddr{Callers: sockets.ReservePort(t), Peers: sockets.ReservePort(t), Local: sockets.ReservePort(t)}
}

// system is a store and instances.
type system struct {
	t         testing.TB
	folder    string
	store     *systemProcess
	endpoint  struct{ Endpoint string }
	storeAddr string
	instances []*instanceProcess
}

// newSystem returns a system with three instances in one data centre, whose current bundle has version 1.
func newSystem(t testing.TB) *system {
	t.Helper()
	s := newEmptySystem(t)
	for i := range 3 {
		s.startUpstream(s.startNode(fmt.Sprintf("n%d", i+1), "kgl-a"))
	}
	t.Cleanup(s.logCounters) // runs before the processes are killed
	s.roll(1, "testdata/bundle.toml")
	for _, in := range s.instances {
		s.awaitMembers(in, len(s.instances))
	}
	return s
}

// newEmptySystem returns a system with a store and a signer's key.
func newEmptySystem(t testing.TB) *system {
	t.Helper()
	s := &system{t: t, folder: t.TempDir(), storeAddr: sockets.ReservePort(t)}
	s.startStore()
	run(t, "bundle", "keygen", s.path("signer"))
	return s
}

// logCounters logs the non-zero counters of the running nodes if the test failed.
func (s *system) logCounters() {
	if !s.t.Failed() {
		return
	}
	for _, in := range s.instances {
		for line := range strings.Lines(get(in, "/metrics")) {
			if strings.HasPrefix(line, "magnoliawharf_") && !strings.HasSuffix(line, " 0\n") {
				s.t.Logf("%s: %s", in.id, strings.TrimSpace(line))
			}
		}
	}
}

func (s *system) path(name string) string { return filepath.Join(s.folder, name) }

// startStore starts the store, also again after it was killed. It keeps its data in memory, so that it starts empty.
func (s *system) startStore() {
	s.t.Helper()
	s.store = start(s.t, "store", &s.endpoint, "dev", "store", "--listen", s.storeAddr, "--output", "json")
}

// startNode starts a node and adds it to the instances. It starts no upstream.
func (s *system) startNode(id, dataCentre string) *instanceProcess {
	s.t.Helper()
	in := &instanceProcess{id: id, settings: s.path(id + ".toml"), addr: reserveNodeAddr(s.t)}
	seeds := ""
	if len(s.instances) > 0 {
		seeds = fmt.Sprintf("%q", s.instances[0].addr.Peers)
	}
	text := fmt.Sprintf(`id = %q
data_centre = %q
region = "kigali"
seeds = [%s]
trusted_keys = ["signer.pub"]
[listen]
callers = %q
peers = %q
local = %q
[store]
endpoints = [%q]
`, id, dataCentre, seeds, in.addr.Callers, in.addr.Peers, in.addr.Local, s.endpoint.Endpoint)
	assert.NilError(s.t, os.WriteFile(in.settings, []byte(text), 0o600))
	s.runNode(in, id)
	s.instances = append(s.instances, in)
	return in
}

// runNode starts the process of the node, also again after it has exited, and checks that it listens at its addresses.
func (s *system) runNode(in *instanceProcess, name string) {
	s.t.Helper()
	var printed nodeAddr
	in.node = start(s.t, name, &printed, "node", "run", "--settings", in.settings, "--output", "json")
	assert.Equal(s.t, printed, in.addr)
}

// startUpstream starts the upstream beside the node.
func (s *system) startUpstream(in *instanceProcess, args ...string) {
	s.t.Helper()
	args = append([]string{"dev", "upstream", "--service", "catalogue", "--node", in.addr.Local,
		"--callers", in.addr.Callers, "--output", "json"}, args...)
	in.upstream = start(s.t, in.id+" upstream", &in.upstreamAddr, args...)
}

// roll rolls out the bundle source under the version.
func (s *system) roll(version int, source string) {
	s.t.Helper()
	file := s.path(fmt.Sprintf("%d.bundle", version))
	run(s.t, "bundle", "prepare", source, "--version", fmt.Sprint(version), "--out", file)
	run(s.t, "bundle", "approve", file, "--key", s.path("signer"))
	run(s.t, "bundle", "roll", file, "--store", s.endpoint.Endpoint, "--trust", s.path("signer.pub"))
}

// result is the outcome of one call.
type result struct {
	err                    error
	status                 int
	upstream, refusal, ran string
	version                string
	run                    string // run ID of the stand-in
}

func (r result) String() string {
	return fmt.Sprintf("status %d upstream %q refusal %q ran %q error %v", r.status, r.upstream, r.refusal, r.ran, r.err)
}

// call sends one request to the instance's node. key may be empty.
func call(in *instanceProcess, method, path, key string) (out result) {
	ctx, cancel := context.WithTimeout(context.Background(), callLimit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+in.addr.Callers+path, http.NoBody)
	if err != nil {
		return result{err: err}
	}
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return result{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	var echo struct{ Run string }
	_ = json.Unmarshal(body, &echo) // a refusal has no run ID
	return result{
		err: err, status: response.StatusCode, run: echo.Run,
		upstream: response.Header.Get("Magnoliawharf-Upstream"),
		refusal:  response.Header.Get("Magnoliawharf-Refusal"),
		ran:      response.Header.Get("Magnoliawharf-Ran"),
		version:  response.Header.Get("Magnoliawharf-Version"),
	}
}

// await polls check until it returns true and fails the test after startLimit.
func (s *system) await(condition string, check func() bool) {
	s.t.Helper()
	deadline := time.Now().Add(startLimit)
	for !check() {
		if time.Now().After(deadline) {
			s.t.Fatalf("timed out waiting for: %s", condition)
		}
		time.Sleep(pollStep)
	}
}

// awaitMembers waits until the node is ready and lists count ready upstreams.
func (s *system) awaitMembers(in *instanceProcess, count int) {
	s.t.Helper()
	want := fmt.Sprintf("magnoliawharf_instances{state=%q} %d\n", "ready", count)
	s.await(fmt.Sprintf("%s knows %d ready upstreams", in.id, count), func() bool {
		return get(in, "/readyz") == "ready\n" && strings.Contains(get(in, "/metrics"), want)
	})
}

// get returns the body of a response of the node's local listener, "" on an error.
func get(in *instanceProcess, path string) string {
	ctx, cancel := context.WithTimeout(context.Background(), callLimit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+in.addr.Local+path, nil)
	if err != nil {
		return ""
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return ""
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body)
	return string(body)
}

// awaitOrders waits until at-most-once requests are served at the node.
func (s *system) awaitOrders(in *instanceProcess) {
	s.t.Helper()
	s.await(in.id+" serves orders", func() bool {
		return call(in, http.MethodPost, "/catalogue/orders", newKey(s.t)).status == http.StatusOK
	})
}

// awaitKeepers waits until the keeper group has a member on each of the three nodes and serves orders. A group with
// fewer members would not tolerate the loss of one.
func (s *system) awaitKeepers() {
	s.t.Helper()
	client := kvhttp.NewClient(s.endpoint.Endpoint, kvhttp.DefaultTimeout)
	defer client.Close()
	began := time.Now()
	s.await("three keepers", func() bool {
		entry, err := client.Get(s.t.Context(), idempotency.StoreKey("catalogue"))
		if err != nil {
			return false
		}
		record, err := idempotency.DecodeRecord(entry.Value)
		return err == nil && len(record.Members) == idempotency.MaxMembers
	})
	s.awaitOrders(s.instances[0])
	s.t.Logf("three keepers serve orders after %v", time.Since(began))
}

func newKey(t testing.TB) string {
	t.Helper()
	key, err := uuid.NewV7()
	assert.NilError(t, err)
	return key.String()
}

// runs returns the number of requests with the key that ran, summed over all upstreams.
func (s *system) runs(key string) int {
	s.t.Helper()
	total := 0
	for _, in := range s.instances {
		response, err := http.Get("http://" + in.upstreamAddr.Addr + "/standin/runs")
		assert.NilError(s.t, err)
		var counts map[string]int
		err = json.NewDecoder(response.Body).Decode(&counts)
		response.Body.Close()
		assert.NilError(s.t, err)
		total += counts[key]
	}
	return total
}
