package sidecar_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/inbound"
	"github.com/magnoliawharf/magnoliawharf/sidecar"
	"github.com/magnoliawharf/magnoliawharf/standin/kvstore"
	"github.com/magnoliawharf/magnoliawharf/standin/sockets"
)

const (
	crashMark = "CRASH"
	crashTime = 300 * time.Millisecond // from a crash to the next start
	// maxOutcomeTime is half of the timeout of the route.
	maxOutcomeTime = 5 * time.Second
	// maxHeldBody is the size in bytes of the largest body that a node reads before it sends the request.
	maxHeldBody = 1 << 20
)

// crashingUpstream is an upstream whose process ends when it has read crashMark in the body of a request, and starts again.
type crashingUpstream struct {
	addr    string
	early   bool // it crashes before it has read the whole body
	crashes atomic.Int64
	mu      sync.Mutex
	server  *http.Server // nil while it is down
	starts  int
	machine *machine
}

func startCrashingUpstream(t *testing.T, early bool) *crashingUpstream {
	t.Helper()
	u := &crashingUpstream{addr: sockets.ReservePort(t), early: early}
	u.listen(t)
	t.Cleanup(func() { u.stop() })
	return u
}

// listen starts the next process of the upstream at its address.
func (u *crashingUpstream) listen(t *testing.T) {
	listener, err := net.Listen("tcp", u.addr)
	if err != nil {
		t.Logf("the upstream cannot start again: %v", err)
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.addr = listener.Addr().String()
	u.starts++
	id := fmt.Sprintf("u-%d", u.starts)
	u.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { u.serve(t, id, w, r) })}
	go func(s *http.Server) { _ = s.Serve(listener) }(u.server)
}

func (u *crashingUpstream) stop() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.server != nil {
		_ = u.server.Close()
		u.server = nil
	}
}

func (u *crashingUpstream) announce(t *testing.T) {
	u.mu.Lock()
	defer u.mu.Unlock()
	assert.Check(t, u.machine.registrar.Announce(time.Now(), inbound.Announcement{
		ID: fmt.Sprintf("u-%d", u.starts), Born: int64(u.starts), Sequence: 1, Address: u.addr, Service: "s", Slots: 4,
	}) == nil)
}

func (u *crashingUpstream) serve(t *testing.T, id string, w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Id", r.Header.Get("X-Id"))
	w.Header().Set("X-Upstream", id)
	w.Header().Set("X-Load", "0,0,4")
	if r.URL.Path == "/health" {
		return
	}
	beginning := make([]byte, len(crashMark))
	_, err := io.ReadFull(r.Body, beginning)
	isCrashing := bytes.Equal(beginning, []byte(crashMark))
	if !isCrashing || !u.early {
		_, err = io.Copy(io.Discard, r.Body)
	}
	if err != nil || !isCrashing {
		return
	}
	u.crashes.Add(1)
	u.stop()
	time.AfterFunc(crashTime, func() { u.listen(t); u.announce(t) })
}

// Guards against a request that crashes one upstream after another because its body is not part of what identifies it, so that the
// success of other requests to its path clears it, and against other requests that are refused in its place.
func TestCrashingRequestIsIdentifiedByItsBody(t *testing.T) {
	for _, size := range []int{100, 6000, 60_000, 300_000, 2_000_000} {
		for _, framing := range []string{"length", "chunks", "by turns"} {
			for _, early := range []bool{false, true} {
				if early && size > maxHeldBody {
					continue // such a body is passed on before it has been read to its end
				}
				t.Run(fmt.Sprintf("%d bytes, %s, at the beginning %v", size, framing, early), func(t *testing.T) {
					t.Parallel()
					checkCrashingBody(t, size, framing, early)
				})
			}
		}
	}
}

func checkCrashingBody(t *testing.T, size int, framing string, early bool) {
	const sendings, maxCrashes = 6, 2
	u := startCrashingUpstream(t, early)
	memory := kvstore.NewMemory()
	publish(t, memory, document{Version: 1, Service: "s"})
	u.machine = startConfiguredMachine(t, "n1", memory, func(s *sidecar.Settings) { s.Upstream.Address = u.addr })
	var entries []*machine // of one service, so that the requests have one caller
	for _, name := range []string{"n2", "n3"} {
		entries = append(entries, startConfiguredMachine(t, name, memory, func(s *sidecar.Settings) { s.Upstream.Service = "other" }))
	}
	u.announce(t)
	served := func() bool { return entries[0].serves() && entries[1].serves() }
	eventually(t, "served", 10*time.Second, served)
	for n := range sendings {
		chunked := framing == "chunks" || framing == "by turns" && n%2 == 1
		at := entries[n/2%2]
		began := time.Now()
		status, err := post(t.Context(), at, crashMark+strings.Repeat("c", size), chunked)
		assert.NilError(t, err)
		assert.Assert(t, status >= http.StatusInternalServerError)
		assert.Assert(t, time.Since(began) < maxOutcomeTime, "an outcome after %v", time.Since(began))
		eventually(t, "the upstream is back", 10*time.Second, served)
		other := fmt.Sprint(n) + strings.Repeat("o", size)
		status, err = post(t.Context(), at, other, !chunked)
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK, "another request to the path")
	}
	assert.Equal(t, u.crashes.Load(), int64(maxCrashes))
}

// post sends a request that may run once, with the body, and returns the status.
func post(ctx context.Context, m *machine, body string, chunked bool) (int, error) {
	var content io.Reader = strings.NewReader(body)
	if chunked {
		content = io.MultiReader(content) // hides the length
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.CallerAddr()+"/once/", content)
	if err != nil {
		return 0, err
	}
	r.Host = "shop.example"
	r.Header.Set("X-Id", fmt.Sprint(time.Now().UnixNano()))
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}
