package sidecar_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/inbound"
	"github.com/magnoliawharf/magnoliawharf/settings"
	"github.com/magnoliawharf/magnoliawharf/sidecar"
	"github.com/magnoliawharf/magnoliawharf/standin/kvstore"
)

// Guards against requests that a stopping node has accepted and passed on, and whose connections it closes without an answer.
// Callers send requests that may run once over kept connections up to the last moment, whatever the grace period and their
// number.
func TestStopAnswersWhatItHasPassedOn(t *testing.T) {
	for _, test := range []struct {
		grace time.Duration
		conns int
	}{{3 * time.Second, 1}, {3 * time.Second, 50}, {6 * time.Second, 50}, {6 * time.Second, 300}} {
		t.Run(fmt.Sprintf("%v with %d connections", test.grace, test.conns), func(t *testing.T) {
			t.Parallel()
			stopUnderLoad(t, test.grace, test.conns)
		})
	}
}

// Guards against the same with a longer grace period and many connections, alone on the machine's processors.
func TestStopWithManyConnectionsAnswersWhatItHasPassedOn(t *testing.T) {
	stopUnderLoad(t, 10*time.Second, 500)
}

// stopUnderLoad stops a node while callers send requests over the given number of connections, each of which must be answered if
// the upstream has run it.
func stopUnderLoad(t *testing.T, grace time.Duration, conns int) {
	t.Helper()
	var ran sync.Map // IDs that the upstream has begun to run
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		w.Header().Set("X-Upstream", "u-n1")
		w.Header().Set("X-Load", "0,0,400")
		if r.URL.Path != "/health" {
			ran.Store(r.Header.Get("X-Id"), true)
			time.Sleep(200 * time.Millisecond)
		}
	}))
	t.Cleanup(upstream.Close)
	address := strings.TrimPrefix(upstream.URL, "http://")
	memory := kvstore.NewMemory()
	publish(t, memory, document{Version: 1, Service: "s"})
	m := startConfiguredMachine(t, "n1", memory, func(s *sidecar.Settings) {
		s.Upstream.Address, s.Runtime.Grace = address, settings.Duration(grace)
	})
	assert.NilError(t, m.registrar.Announce(time.Now(), inbound.Announcement{ID: "u-n1", Born: 1, Sequence: 1, Address: address, Service: "s", Slots: 400}))
	eventually(t, "served", 5*time.Second, m.serves)
	var callers sync.WaitGroup
	for i := range conns {
		callers.Go(func() { sendUntilGone(t, m.CallerAddr(), fmt.Sprintf("c%d", i), &ran) })
	}
	time.Sleep(300 * time.Millisecond)
	stopping := time.Now()
	m.cancel()
	err := <-m.ended
	assert.Check(t, time.Since(stopping) < grace, "the stop took %v: %v", time.Since(stopping), err)
	callers.Wait()
	if t.Failed() {
		t.Log(m.log.lines("stopping node", "outlast", "node stopped"))
	}
}

// sendUntilGone sends one request after another, over a new connection when the node has closed the last one, until the node is
// gone. A request that the upstream has run must have been answered.
func sendUntilGone(t *testing.T, addr, caller string, ran *sync.Map) {
	for sent := 0; ; {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			return
		}
		reader := bufio.NewReader(conn)
		for closing := false; !closing; sent++ {
			id := fmt.Sprintf("%s-%d", caller, sent)
			_, err := fmt.Fprintf(conn, "POST /once/ HTTP/1.1\r\nHost: shop.example\r\nX-Id: %s\r\nContent-Length: 1\r\n\r\nx", id)
			var response *http.Response
			if err == nil {
				response, err = http.ReadResponse(reader, nil)
			}
			if err != nil {
				_, passedOn := ran.Load(id)
				assert.Check(t, !passedOn, "%s was run and not answered: %v", id, err)
				break
			}
			_ = response.Body.Close()
			_, passedOn := ran.Load(id)
			assert.Check(t, response.StatusCode != http.StatusServiceUnavailable || !passedOn, "%s was run and refused as not run", id)
			closing = response.Close
		}
		_ = conn.Close()
	}
}
