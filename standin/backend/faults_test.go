package backend

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a renamed field of Faults that changes its name in the request body.
func TestFaultsKeepTheirNamesInRequests(t *testing.T) {
	var b Backend
	w := httptest.NewRecorder()
	body := `{"FailFast":true,"Slow":1000000,"Silent":true}`
	b.handler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, FaultsPath, strings.NewReader(body)))
	assert.Equal(t, w.Code, http.StatusNoContent)
	assert.Equal(t, b.faults, Faults{FailFast: true, Slow: time.Millisecond, Silent: true})
}

// Guards against an upstream that cannot restart after a crash, because the kernel gave its port to an outgoing connection of
// another process meanwhile.
func TestCrashedUpstreamKeepsItsPort(t *testing.T) {
	for name, serving := range map[string]bool{"crash while it serves": true, "crash right after the start": false} {
		t.Run(name, func(t *testing.T) {
			b, err := Start(Options{Service: "s", Restart: 300 * time.Millisecond})
			assert.NilError(t, err)
			defer b.Close()
			if serving {
				awaitServing(t, b)
			}
			b.Crash()
			checkPortReserved(t, b.Addr())
			awaitServing(t, b)
		})
	}
}

// checkPortReserved checks that connections to the address are refused and that no connection can be made from it. A connection
// that can be made stays open until the end of the test.
func checkPortReserved(t *testing.T, addr string) {
	t.Helper()
	other, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = other.Close() })
	own, err := net.ResolveTCPAddr("tcp4", addr)
	assert.NilError(t, err)
	dialer := net.Dialer{LocalAddr: own, Timeout: time.Second}
	if conn, err := dialer.Dial("tcp4", other.Addr().String()); err == nil {
		t.Cleanup(func() { _ = conn.Close() })
		t.Errorf("the port of the crashed upstream was given away")
	}
	_, err = net.DialTimeout("tcp4", addr, time.Second)
	assert.ErrorContains(t, err, "refused")
}

func awaitServing(t *testing.T, b *Backend) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		response, err := http.Get("http://" + b.Addr() + "/")
		if err == nil {
			assert.NilError(t, response.Body.Close())
			return
		}
		assert.Assert(t, time.Now().Before(deadline), "the upstream does not serve: %v", err)
	}
}
