package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"
)

const (
	callLimit = 30 * time.Second
	pollStep  = 50 * time.Millisecond
)

// instanceProcess is a node with the upstream beside it.
type instanceProcess struct {
	id       string
	settings string
	node     *process
	upstream *process
	addr     struct{ Callers, Peers, Local string }
	up       struct{ Addr string }
}

// system is a store, three instances in one data centre and a bundle in force.
type system struct {
	t         *testing.T
	folder    string
	store     *process
	endpoint  struct{ Endpoint string }
	instances []*instanceProcess
}

func newSystem(t *testing.T) *system {
	t.Helper()
	s := &system{t: t, folder: t.TempDir()}
	s.startStore("127.0.0.1:0")
	run(t, "bundle", "keygen", s.path("signer"))
	for i := range 3 {
		s.startInstance(fmt.Sprintf("n%d", i+1), "kgl-a")
	}
	s.roll(1, "testdata/bundle.toml")
	for _, in := range s.instances {
		s.awaitMembers(in, len(s.instances))
	}
	return s
}

func (s *system) path(name string) string { return filepath.Join(s.folder, name) }

func (s *system) startStore(listen string) {
	s.t.Helper()
	s.store = start(s.t, "store", &s.endpoint, "dev", "store", "--listen", listen, "--output", "json")
}

func (s *system) startInstance(id, dataCentre string) {
	s.t.Helper()
	in := &instanceProcess{id: id, settings: s.path(id + ".toml")}
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
callers = "127.0.0.1:0"
peers = "127.0.0.1:0"
local = "127.0.0.1:0"
[store]
endpoints = [%q]
`, id, dataCentre, seeds, s.endpoint.Endpoint)
	assert.NilError(s.t, os.WriteFile(in.settings, []byte(text), 0o600))
	in.node = start(s.t, id, &in.addr, "node", "run", "--settings", in.settings, "--output", "json")
	in.upstream = start(s.t, id+" upstream", &in.up, "dev", "upstream", "--service", "catalogue",
		"--node", in.addr.Local, "--callers", in.addr.Callers, "--output", "json")
	s.instances = append(s.instances, in)
}

// roll rolls the source out as the version.
func (s *system) roll(version int, source string) {
	s.t.Helper()
	file := s.path(fmt.Sprintf("%d.bundle", version))
	run(s.t, "bundle", "prepare", source, "--version", fmt.Sprint(version), "--out", file)
	run(s.t, "bundle", "approve", file, "--key", s.path("signer"))
	run(s.t, "bundle", "roll", file, "--store", s.endpoint.Endpoint, "--trust", s.path("signer.pub"))
}

// result is how one call ended.
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

// await repeats check until it is true.
func (s *system) await(what string, check func() bool) {
	s.t.Helper()
	deadline := time.Now().Add(startLimit)
	for !check() {
		if time.Now().After(deadline) {
			s.t.Fatalf("not in time: %s", what)
		}
		time.Sleep(pollStep)
	}
}

// awaitMembers waits until calls to the node are answered by count different upstreams.
func (s *system) awaitMembers(in *instanceProcess, count int) {
	s.t.Helper()
	seen := make(map[string]bool)
	s.await(fmt.Sprintf("%s reaches %d upstreams", in.id, count), func() bool {
		if r := call(in, http.MethodGet, "/catalogue/tools", ""); r.status == http.StatusOK {
			seen[r.upstream] = true
		}
		return len(seen) == count
	})
}

// awaitOrders waits until at-most-once requests are served at the node.
func (s *system) awaitOrders(in *instanceProcess) {
	s.t.Helper()
	s.await(in.id+" takes orders", func() bool {
		return call(in, http.MethodPost, "/catalogue/orders", newKey(s.t)).status == http.StatusOK
	})
}

func newKey(t *testing.T) string {
	t.Helper()
	key, err := uuid.NewV7()
	assert.NilError(t, err)
	return key.String()
}

// runs returns how often requests with the key ran at all upstreams.
func (s *system) runs(key string) int {
	s.t.Helper()
	total := 0
	for _, in := range s.instances {
		response, err := http.Get("http://" + in.up.Addr + "/standin/runs")
		assert.NilError(s.t, err)
		var counts map[string]int
		err = json.NewDecoder(response.Body).Decode(&counts)
		response.Body.Close()
		assert.NilError(s.t, err)
		total += counts[key]
	}
	return total
}
