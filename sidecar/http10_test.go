package sidecar_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/inbound"
	"github.com/magnoliawharf/magnoliawharf/settings"
	"github.com/magnoliawharf/magnoliawharf/sidecar"
	"github.com/magnoliawharf/magnoliawharf/standin/kvstore"
	"github.com/magnoliawharf/magnoliawharf/standin/sockets"
)

// Guards against a broken answer that looks whole to a caller of HTTP/1.0, which knows no chunks: an answer without a length ends with
// its connection there.
func TestBrokenAnswerLooksBrokenInHTTP10(t *testing.T) {
	const size = 1 << 20 // a part of it has been passed on when the answer breaks off
	memory := kvstore.NewMemory()
	publish(t, memory, document{Version: 1, Service: "s"})
	u := startPartialUpstream(t)
	home := startConfiguredMachine(t, "n1", memory, func(s *sidecar.Settings) { s.Upstream.Address = u.listener.Addr().String() })
	other := startMachine(t, "n2", memory)
	assert.NilError(t, home.registrar.Announce(time.Now(), inbound.Announcement{
		ID: "u-n1", Born: 1, Sequence: 1, Address: u.listener.Addr().String(), Service: "s", Slots: 64,
	}))
	answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", size, strings.Repeat("x", size))
	u.answer.Store(&answer)
	for _, m := range []*machine{home, other} {
		u.length.Store(2 * size)
		eventually(t, "served whole", 5*time.Second, func() bool {
			status, body, err := getHTTP10(t, m)
			return err == nil && status == http.StatusOK && len(body) == size
		})
		u.length.Store(size / 2)
		for range 20 {
			status, body, err := getHTTP10(t, m)
			assert.Assert(t, err != nil || status != http.StatusOK, "%d of %d bytes are taken for the whole body", len(body), size)
		}
	}
}

// getHTTP10 sends a request in HTTP/1.0 and reads the answer.
func getHTTP10(t *testing.T, m *machine) (status int, body []byte, err error) {
	t.Helper()
	conn, err := net.Dial("tcp", m.CallerAddr())
	assert.NilError(t, err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "GET /any/ HTTP/1.0\r\nHost: shop.example\r\nX-Id: %d\r\nX-Time: 2000\r\n\r\n", time.Now().UnixNano())
	assert.NilError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	body, err = io.ReadAll(response.Body)
	return response.StatusCode, body, err
}

// Guards against a part of an answer that looks whole to a caller of HTTP/1.0, since a planned stop ended it before its upstream did.
func TestStopResetsUnfinishedAnswerInHTTP10(t *testing.T) {
	const size = 1 << 20
	memory := kvstore.NewMemory()
	publish(t, memory, document{Version: 1, Service: "s"})
	var holding atomic.Bool
	upstream := sockets.ServeRaw(t, func(conn *net.TCPConn, r *http.Request) {
		if r.URL.Path == "/health" {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Upstream: u-n1\r\nX-Load: 0,0,4\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
			return
		}
		if !holding.Load() {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", r.Header.Get("X-Id"))
			return
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s",
			r.Header.Get("X-Id"), size, strings.Repeat("x", size/2))
		_, _ = conn.Read(make([]byte, 1)) // until the node closes the connection
	})
	m := startConfiguredMachine(t, "n1", memory, func(s *sidecar.Settings) {
		s.Upstream.Address, s.Runtime.Grace = upstream, settings.Duration(2*time.Second)
	})
	assert.NilError(t, m.registrar.Announce(time.Now(), inbound.Announcement{ID: "u-n1", Born: 1, Sequence: 1, Address: upstream, Service: "s", Slots: 64}))
	eventually(t, "served", 5*time.Second, m.serves)
	holding.Store(true)
	time.AfterFunc(200*time.Millisecond, m.cancel)
	status, body, err := getHTTP10(t, m)
	assert.Equal(t, status, http.StatusOK)
	assert.Assert(t, err != nil, "%d of %d bytes are taken for the whole body", len(body), size)
	<-m.ended
}
