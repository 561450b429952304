package sidecar_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/settings"
	"github.com/magnoliawharf/magnoliawharf/standin/kvstore"
)

// Guards against a caller's connection that a stopping node closes without an answer, because the body of the request is not
// complete at the end of the grace period.
func TestStopAnswersRequestsWhoseBodyIsIncomplete(t *testing.T) {
	for _, test := range []struct {
		name   string
		length int
		status int
	}{
		{"read before the first attempt", 10, http.StatusServiceUnavailable},
		{"answered by the upstream before the body has arrived", 1 << 20, http.StatusOK},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			memory := kvstore.NewMemory()
			publish(t, memory, document{Version: 1, Service: "s"})
			m := startMachine(t, "n1", memory)
			m.announce(t)
			eventually(t, "served", 5*time.Second, m.serves)
			m.Settings.Runtime.Grace = settings.Duration(4 * time.Second)
			conn, err := net.Dial("tcp", m.CallerAddr())
			assert.NilError(t, err)
			defer conn.Close()
			_, err = fmt.Fprintf(conn, "POST /once/ HTTP/1.1\r\nHost: shop.example\r\nX-Id: r1\r\nContent-Length: %d\r\n\r\nabc", test.length)
			assert.NilError(t, err)
			time.Sleep(100 * time.Millisecond)
			m.cancel()
			assert.ErrorContains(t, <-m.ended, "still in flight")
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			assert.NilError(t, err)
			defer response.Body.Close()
			assert.Equal(t, response.StatusCode, test.status)
		})
	}
}
