package e2e

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// orderResult is the key and the result of one at-most-once request.
type orderResult struct {
	key string
	result
}

// load sends idempotent reads and at-most-once orders to nodes until stop is closed, and records their results.
type load struct {
	stop   chan struct{}
	wait   sync.WaitGroup
	mu     sync.Mutex
	reads  []result
	orders []orderResult
}

// newLoad starts a load with one reader and one sender of orders for each of the nodes.
func newLoad(t *testing.T, entries ...*instanceProcess) *load {
	l := &load{stop: make(chan struct{})}
	for _, in := range entries {
		l.runEvery(func() {
			r := call(in, http.MethodGet, "/catalogue/tools", "")
			l.mu.Lock()
			defer l.mu.Unlock()
			l.reads = append(l.reads, r)
		})
		l.runEvery(func() {
			key := newKey(t)
			r := call(in, http.MethodPost, "/catalogue/orders", key)
			l.mu.Lock()
			defer l.mu.Unlock()
			l.orders = append(l.orders, orderResult{key, r})
		})
	}
	return l
}

func (l *load) runEvery(do func()) {
	l.wait.Go(func() {
		ticker := time.NewTicker(20 * time.Millisecond)
		defer ticker.Stop()
		for {
			do()
			select {
			case <-l.stop:
				return
			case <-ticker.C:
			}
		}
	})
}

func (l *load) stopAndWait() {
	close(l.stop)
	l.wait.Wait()
}

// check compares the result of each order with the runs that the upstreams counted. Every read must have been served,
// since an idempotent request is retried.
func (l *load) check(s *system) {
	s.t.Helper()
	served := 0
	for _, o := range l.orders {
		runs := s.runs(o.key)
		switch {
		case o.err != nil:
			s.t.Errorf("order %s got no response: %v", o.key, o.err)
		case o.status == http.StatusOK:
			served++
			assert.Equal(s.t, runs, 1, "order %s: %v", o.key, o.result)
		case o.ran == "not-run":
			assert.Equal(s.t, runs, 0, "order %s: %v", o.key, o.result)
		default:
			assert.Equal(s.t, o.ran, "unknown", "order %s: %v", o.key, o.result)
			assert.Assert(s.t, runs <= 1, "order %s ran %d times: %v", o.key, runs, o.result)
		}
	}
	failed := 0
	for _, r := range l.reads {
		if r.status != http.StatusOK {
			failed++
			s.t.Logf("read: %v", r)
		}
	}
	s.t.Logf("%d of %d orders served, %d of %d reads failed", served, len(l.orders), failed, len(l.reads))
	assert.Assert(s.t, served > 0)
	assert.Equal(s.t, failed, 0)
}

// Guards against parts that work in one process and not as separate processes: nested calls, keys used at two nodes,
// a new bundle version and a stop by signal.
func TestEndToEnd(t *testing.T) {
	s := newSystem(t)
	nested := call(s.instances[2], http.MethodGet, "/catalogue/list?call=/catalogue/tools", "")
	assert.Equal(t, nested.status, http.StatusOK, nested)
	assert.Equal(t, nested.version, "1")

	s.awaitOrders(s.instances[0])
	key := newKey(t)
	first := call(s.instances[0], http.MethodPost, "/catalogue/orders", key)
	assert.Equal(t, first.status, http.StatusOK, first)
	again := call(s.instances[1], http.MethodPost, "/catalogue/orders", key)
	assert.Equal(t, again.status, http.StatusOK, again)
	assert.Equal(t, again.run, first.run)
	assert.Equal(t, s.runs(key), 1)

	s.roll(2, "testdata/bundle.toml")
	s.await("version 2 is in force everywhere", func() bool {
		for _, in := range s.instances {
			if call(in, http.MethodGet, "/catalogue/tools", "").version != "2" {
				return false
			}
		}
		return true
	})
	for _, p := range []*systemProcess{s.instances[1].upstream, s.instances[1].node} {
		p.signal(t, syscall.SIGTERM)
		assert.Equal(t, p.awaitExit(t), 0, p.Name)
	}
}

// Guards against a planned stop of a node that aborts requests in flight, loses orders, or still accepts requests
// for its upstream.
func TestPlannedStop(t *testing.T) {
	s := newSystem(t)
	s.awaitKeepers()
	stopping := s.instances[2]
	inFlight := make(chan result, 16)
	for i := range cap(inFlight) { // half of them are sent to the stopping node, which prefers its own upstream
		entry := s.instances[i%2*2]
		go func() { inFlight <- call(entry, http.MethodGet, "/catalogue/slow?work=3s", "") }()
	}
	time.Sleep(500 * time.Millisecond)
	l := newLoad(t, s.instances[0], s.instances[1])
	stopping.node.signal(t, syscall.SIGTERM)
	stopped := time.Now()
	assert.Equal(t, stopping.node.awaitExit(t), 0)
	t.Logf("the node stopped in %v", time.Since(stopped))
	l.stopAndWait()
	byStopping := 0
	for range cap(inFlight) {
		r := <-inFlight
		assert.Equal(t, r.status, http.StatusOK, r)
		if r.upstream == stopping.id {
			byStopping++
		}
	}
	assert.Assert(t, byStopping > 0, "no request was in flight at the stopping node")
	l.check(s)
	for range 20 {
		r := call(s.instances[0], http.MethodGet, "/catalogue/tools", "")
		assert.Equal(t, r.status, http.StatusOK, r)
		assert.Assert(t, r.upstream != stopping.id)
	}
}

// Guards against failed reads and orders that run twice when a node is killed under load, and against a
// restarted node that is taken for its previous incarnation.
func TestKilledNode(t *testing.T) {
	s := newSystem(t)
	s.awaitKeepers()
	l := newLoad(t, s.instances[0], s.instances[1])
	time.Sleep(time.Second)
	s.instances[2].node.Kill()
	time.Sleep(8 * time.Second)
	s.awaitOrders(s.instances[0])
	s.runNode(s.instances[2], "n3 again")
	for _, in := range s.instances {
		s.awaitMembers(in, 3)
	}
	l.stopAndWait()
	l.check(s)
	r := call(s.instances[2], http.MethodGet, "/catalogue/tools", "")
	assert.Equal(t, r.status, http.StatusOK, r)
}

// Guards against a keeper group created with too few members: after the loss of one node soon after the first order,
// the service must still accept keys.
func TestNodeKilledAfterFirstOrder(t *testing.T) {
	s := newSystem(t)
	s.awaitOrders(s.instances[0])
	time.Sleep(time.Second)
	s.instances[2].node.Kill()
	time.Sleep(8 * time.Second)
	s.awaitOrders(s.instances[0])
	s.awaitOrders(s.instances[1])
}

// Guards against two processes with the same instance ID that both stay: the earlier one must exit.
func TestSameIDTwice(t *testing.T) {
	s := newSystem(t)
	first := s.instances[2].node
	s.startNode("n3", "kgl-a")
	assert.Equal(t, first.awaitExit(t), 1)
	for range 10 {
		r := call(s.instances[0], http.MethodGet, "/catalogue/tools", "")
		assert.Equal(t, r.status, http.StatusOK, r)
	}
}

// Guards against a paused node that delays reads, or that runs stale requests when it resumes.
func TestPausedNode(t *testing.T) {
	s := newSystem(t)
	s.awaitKeepers()
	l := newLoad(t, s.instances[0], s.instances[1])
	time.Sleep(time.Second)
	paused := s.instances[2]
	paused.node.signal(t, syscall.SIGSTOP)
	time.Sleep(6 * time.Second)
	paused.node.signal(t, syscall.SIGCONT)
	s.awaitMembers(s.instances[0], 3)
	l.stopAndWait()
	l.check(s)
	s.awaitMembers(paused, 3)
}

// Guards against failures under two faults at the same time: a node is killed while the store is unavailable.
func TestStoreAndNodeLost(t *testing.T) {
	s := newSystem(t)
	s.awaitKeepers()
	l := newLoad(t, s.instances[0], s.instances[1])
	s.store.Kill()
	time.Sleep(time.Second)
	s.instances[2].node.Kill()
	time.Sleep(5 * time.Second)
	served := 0
	for range 20 {
		if call(s.instances[0], http.MethodPost, "/catalogue/orders", newKey(t)).status == http.StatusOK {
			served++
		}
	}
	assert.Assert(t, served > 0, "no order was served while the store was unavailable")
	l.stopAndWait()
	l.check(s)
	s.startStore() // empty: the current version must stay
	r := call(s.instances[1], http.MethodGet, "/catalogue/tools", "")
	assert.Equal(t, r.status, http.StatusOK, r)
	assert.Equal(t, r.version, "1", fmt.Sprint(r))
}

// Guards against a request that crashes one upstream after another, and against a quarantine that some nodes do not
// apply or that stops other requests.
func TestCrashingRequest(t *testing.T) {
	s := newSystem(t)
	crashed := 0
	last := result{}
	for i := range 5 {
		last = call(s.instances[i%len(s.instances)], http.MethodPost, "/catalogue/notes?crash=1", "")
		if last.refusal == "quarantined" {
			break
		}
		crashed++
		assert.Equal(t, last.refusal, "upstream-lost", last)
		assert.Equal(t, last.ran, "unknown", last)
		time.Sleep(4 * time.Second) // the announcement of the crashed process lapses after 1.5 s
	}
	assert.Equal(t, last.refusal, "quarantined", last)
	assert.Equal(t, last.ran, "not-run", last)
	assert.Equal(t, crashed, 2)
	for _, in := range s.instances {
		r := call(in, http.MethodPost, "/catalogue/notes?crash=1", "")
		assert.Equal(t, r.refusal, "quarantined", "%s: %v", in.id, r)
		r = call(in, http.MethodPost, "/catalogue/notes", "")
		assert.Equal(t, r.status, http.StatusOK, "%s: %v", in.id, r)
	}
}

// Guards against a demo that fails or prints a line that is not JSON.
func TestDemo(t *testing.T) {
	out, err := exec.Command(program.Path, "demo", "--output", "json").Output()
	assert.NilError(t, err, "%s", out)
	lines := strings.Split(strings.TrimSpace(string(out)), "\n")
	assert.Assert(t, len(lines) > 10)
	for _, line := range lines {
		assert.Assert(t, json.Valid([]byte(line)), line)
	}
}

// Guards against wrong exit codes and error messages of more than one line.
func TestExitCodes(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.toml")
	assert.NilError(t, os.WriteFile(bad, []byte("id = \"a b\"\nwrong = 1\n"), 0o600))
	cases := map[string]struct {
		args []string
		code int
	}{
		"version":          {[]string{"version"}, 0},
		"help":             {[]string{"node", "run", "--help"}, 0},
		"completion":       {[]string{"completion", "bash"}, 0},
		"unknown command":  {[]string{"frob"}, 2},
		"unknown flag":     {[]string{"demo", "--frob"}, 2},
		"missing flag":     {[]string{"node", "run"}, 2},
		"no subcommand":    {[]string{"dev"}, 2},
		"wrong output":     {[]string{"version", "--output", "xml"}, 2},
		"missing settings": {[]string{"node", "run", "--settings", bad + ".not"}, 3},
		"bad settings":     {[]string{"settings", "check", bad}, 3},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var stderr bytes.Buffer
			cmd := exec.Command(program.Path, c.args...)
			cmd.Stderr = &stderr
			_ = cmd.Run()
			assert.Equal(t, cmd.ProcessState.ExitCode(), c.code, stderr.String())
			if c.code != 0 {
				assert.Equal(t, strings.Count(stderr.String(), "\n"), 1, stderr.String())
				assert.Assert(t, strings.HasPrefix(stderr.String(), "magnoliawharf: "))
			}
		})
	}
}
