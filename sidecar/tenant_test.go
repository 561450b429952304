package sidecar_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/sidecar"
	"github.com/magnoliawharf/magnoliawharf/standin/kvstore"
	"github.com/magnoliawharf/magnoliawharf/store"
)

const (
	tenantKey    = "key-of-t1-WxYz0123456789"
	forgedTenant = "forged-tenant"
	// unhedged is a latency objective so long that no request of a test is hedged, however slow the machine.
	unhedged = 9 * time.Second
)

// keyedFleet is two nodes with upstreams, and an entry node without one, under contracts with the tenant t1.
type keyedFleet struct {
	store    store.Store
	entry    *machine
	machines []*machine

	mu       sync.Mutex
	attempts map[string][]http.Header // header fields that upstreams got, by request ID; health checks at ""
	// answer answers the attempt with the number, counted from 1 for each request.
	answer func(w http.ResponseWriter, attempt int)
}

// startKeyedFleet starts the fleet with the latency objective; every request is answered until answer is changed.
func startKeyedFleet(t *testing.T, objective time.Duration) *keyedFleet {
	t.Helper()
	f := &keyedFleet{store: kvstore.NewMemory(), attempts: make(map[string][]http.Header), answer: func(http.ResponseWriter, int) {}}
	publish(t, f.store, document{Version: 1, Service: "s", Objective: objective, Tenants: map[string][]string{"t1": {tenantKey}, "t2": nil}})
	for _, name := range []string{"n1", "n2"} {
		u := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { f.serve(w, r, name) }))
		t.Cleanup(u.Close)
		m := startConfiguredMachine(t, name, f.store, func(s *sidecar.Settings) { s.Upstream.Address = strings.TrimPrefix(u.URL, "http://") })
		m.announce(t)
		f.machines = append(f.machines, m)
	}
	f.entry = startConfiguredMachine(t, "n3", f.store, func(s *sidecar.Settings) { s.Upstream.Address = "127.0.0.1:1" })
	f.machines = append(f.machines, f.entry)
	eventually(t, "both upstreams known at the entry node", 10*time.Second, func() bool {
		status, _ := f.send(t, f.entry, "/any/", "warm-up", tenantKey)
		return status == 200 && f.entry.log.contains("upstream=u-n1") && f.entry.log.contains("upstream=u-n2")
	})
	for range 100 { // they earn retries
		status, _ := f.send(t, f.entry, "/any/", "warm-up", tenantKey)
		assert.Equal(t, status, 200)
	}
	return f
}

func (f *keyedFleet) serve(w http.ResponseWriter, r *http.Request, name string) {
	id := r.Header.Get("X-Id")
	w.Header().Set("X-Id", id)
	w.Header().Set("X-Upstream", "u-"+name)
	w.Header().Set("X-Load", "0,0,4")
	f.mu.Lock()
	f.attempts[id] = append(f.attempts[id], r.Header.Clone())
	attempt, answer := len(f.attempts[id]), f.answer
	f.mu.Unlock()
	if r.URL.Path != "/health" && id != "warm-up" {
		answer(w, attempt)
	}
}

// attemptsOf returns the header fields of the attempts of the request.
func (f *keyedFleet) attemptsOf(id string) []http.Header {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]http.Header(nil), f.attempts[id]...)
}

func (f *keyedFleet) setAnswer(answer func(w http.ResponseWriter, attempt int)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answer = answer
}

// send sends a request with a forged tenant, and the key unless that is empty.
func (f *keyedFleet) send(t *testing.T, m *machine, path, id, key string) (int, string) {
	t.Helper()
	r, err := http.NewRequest(http.MethodGet, "http://"+m.CallerAddr()+path, nil)
	assert.NilError(t, err)
	r.Host = "shop.example"
	r.Header = http.Header{"X-Id": {id}, "X-Tenant": {forgedTenant, "t2"}}
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	response, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return response.StatusCode, string(body)
}

// Guards against a key that reaches an upstream or a log, and against an upstream that learns no tenant, or one that the caller has made
// up, on any of the paths that lead to it.
func TestUpstreamsGetTheTenantAndNeverTheKey(t *testing.T) {
	f := startKeyedFleet(t, unhedged)
	fail := func(w http.ResponseWriter, attempt int) {
		if attempt == 1 {
			w.WriteHeader(http.StatusInternalServerError)
		}
	}
	for name, test := range map[string]struct {
		answer   func(http.ResponseWriter, int)
		at       *machine
		path     string
		key      string
		attempts int
		tenant   []string
	}{
		"first attempt":             {func(http.ResponseWriter, int) {}, f.entry, "/any/", tenantKey, 1, []string{"t1"}},
		"at the home node":          {func(http.ResponseWriter, int) {}, f.machines[0], "/any/", tenantKey, 1, []string{"t1"}},
		"not repeatable":            {func(http.ResponseWriter, int) {}, f.entry, "/once/", tenantKey, 1, []string{"t1"}},
		"retry":                     {fail, f.entry, "/any/", tenantKey, 2, []string{"t1"}},
		"public with a key":         {fail, f.entry, "/open/", tenantKey, 2, []string{"t1"}},
		"public without a key":      {fail, f.entry, "/open/", "", 2, nil},
		"public with a foreign key": {fail, f.entry, "/open/", "key-of-nobody-0123456789", 2, nil},
	} {
		f.setAnswer(test.answer)
		status, body := f.send(t, test.at, test.path, name, test.key)
		assert.Equal(t, status, 200, "%s: %s", name, body)
		attempts := f.attemptsOf(name)
		assert.Equal(t, len(attempts), test.attempts, name)
		for _, header := range attempts {
			assert.DeepEqual(t, header["X-Tenant"], test.tenant)
		}
	}
	f.setAnswer(func(http.ResponseWriter, int) {})
	for _, key := range []string{"", "key-of-nobody-0123456789"} {
		status, _ := f.send(t, f.entry, "/any/", "refused", key)
		assert.Equal(t, status, http.StatusUnauthorized)
	}
	assert.Equal(t, len(f.attemptsOf("refused")), 0)
	sendAhead(t, f)
	f.mu.Lock()
	seen := fmt.Sprint(f.attempts)
	f.mu.Unlock()
	for _, m := range f.machines {
		seen += m.log.lines("") // all lines
	}
	for _, secret := range []string{tenantKey, url.QueryEscape(tenantKey), "key-of-nobody", forgedTenant} {
		assert.Assert(t, !strings.Contains(seen, secret), "an upstream or a log got %s", secret)
	}
}

// Guards against a hedge that reaches an upstream with the key, or without the tenant.
func TestHedgeHasTheTenantAndNotTheKey(t *testing.T) {
	f := startKeyedFleet(t, time.Second)
	hedged := make(chan struct{})
	f.setAnswer(func(_ http.ResponseWriter, attempt int) {
		if attempt > 1 {
			close(hedged)
			return
		}
		select {
		case <-hedged:
		case <-time.After(8 * time.Second): // within the time limit of the route
		}
	})
	status, body := f.send(t, f.entry, "/any/", "hedge", tenantKey)
	assert.Equal(t, status, 200, body)
	attempts := f.attemptsOf("hedge")
	assert.Equal(t, len(attempts), 2)
	for _, header := range attempts {
		assert.DeepEqual(t, header["X-Tenant"], []string{"t1"})
		assert.Assert(t, !strings.Contains(fmt.Sprint(header), tenantKey))
	}
}

// sendAhead sends requests on one connection before their answers, and checks the tenant of each.
func sendAhead(t *testing.T, f *keyedFleet) {
	t.Helper()
	conn, err := net.Dial("tcp", f.entry.CallerAddr())
	assert.NilError(t, err)
	defer conn.Close()
	const requests = 4
	var text strings.Builder
	for i := range requests {
		authorization := "Authorization: Bearer " + tenantKey + "\r\n"
		if i == 1 {
			authorization = "" // refused between two that are served
		}
		fmt.Fprintf(&text, "GET /any/ HTTP/1.1\r\nHost: shop.example\r\nX-Id: ahead-%d\r\n%sX-Tenant: %s\r\n\r\n", i, authorization, forgedTenant)
	}
	_, err = io.WriteString(conn, text.String())
	assert.NilError(t, err)
	reader := bufio.NewReader(conn)
	for i := range requests {
		response, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		assert.NilError(t, err)
		attempts := f.attemptsOf(fmt.Sprintf("ahead-%d", i))
		if i == 1 {
			assert.Equal(t, response.StatusCode, http.StatusUnauthorized)
			assert.Equal(t, len(attempts), 0)
			continue
		}
		assert.Equal(t, response.StatusCode, 200)
		assert.Equal(t, len(attempts), 1)
		assert.DeepEqual(t, attempts[0]["X-Tenant"], []string{"t1"})
	}
}

// Guards against a retry or hedge with a key that was withdrawn after the first attempt, and against a refusal of it that states not-run
// when the first attempt ran.
func TestWithdrawnKeyIsNotUsedAgain(t *testing.T) {
	const hedgedObjective = 4 * time.Second // the hedge would be sent after 2.8 s, long after the withdrawal
	for name, test := range map[string]struct {
		first     func(http.ResponseWriter) // answers the first attempt once the key is withdrawn
		status    int
		objective time.Duration
	}{
		"retry after a refusal": {func(w http.ResponseWriter) {
			w.Header().Set("X-Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, http.StatusUnauthorized, unhedged},
		"retry after a failed answer": {func(w http.ResponseWriter) { w.WriteHeader(http.StatusInternalServerError) }, http.StatusInternalServerError, unhedged},
		"retry after a loss":          {func(http.ResponseWriter) { panic(http.ErrAbortHandler) }, http.StatusBadGateway, unhedged},
		"hedge":                       {func(http.ResponseWriter) { time.Sleep(hedgedObjective) }, http.StatusOK, hedgedObjective},
	} {
		t.Run(name, func(t *testing.T) {
			f := startKeyedFleet(t, test.objective)
			started := make(chan struct{})
			withdrawn := make(chan struct{})
			f.setAnswer(func(w http.ResponseWriter, attempt int) {
				if attempt == 1 {
					close(started)
					<-withdrawn
					test.first(w)
				}
			})
			go func() {
				defer close(withdrawn)
				<-started
				publish(t, f.store, document{Version: 2, Service: "s", Objective: test.objective, Tenants: map[string][]string{"t1": {"another"}}})
				for deadline := time.Now().Add(5 * time.Second); !f.entry.log.contains("version=2") && time.Now().Before(deadline); {
					time.Sleep(5 * time.Millisecond)
				}
			}()
			status, body := f.send(t, f.entry, "/any/", "withdrawn", tenantKey)
			assert.Equal(t, status, test.status, body)
			assert.Equal(t, len(f.attemptsOf("withdrawn")), 1)
			status, _ = f.send(t, f.entry, "/any/", "after", tenantKey)
			assert.Equal(t, status, http.StatusUnauthorized)
			assert.Equal(t, len(f.attemptsOf("after")), 0)
		})
	}
}
