package entryhttp_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/contract"
	"github.com/magnoliawharf/magnoliawharf/transport/entryhttp"
)

// Guards against requests that are cancelled because an earlier one on their connection was refused by a node that paused
// before it had sent the refusal: the limit for the rest of a body must not end a connection without such a rest.
func TestRefusalKeepsTheConnection(t *testing.T) {
	const pause = 300 * time.Millisecond
	handler := &entryhttp.Handler{Contracts: contract.NewCurrent()}
	for name, refuse := range map[string]http.HandlerFunc{
		"no contracts": handler.ServeHTTP,
		"stopping": func(w http.ResponseWriter, r *http.Request) {
			handler.Refuse(w, r, caller.Refuse(caller.Draining, "test", ""))
		},
	} {
		t.Run(name, func(t *testing.T) {
			served := 0
			var cancelled error
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if served++; served == 1 {
					refuse(w, r)
					time.Sleep(pause)
					return
				}
				cancelled = r.Context().Err()
			}))
			defer server.Close()
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			assert.NilError(t, err)
			defer conn.Close()
			reader := bufio.NewReader(conn)
			for _, status := range []int{http.StatusServiceUnavailable, http.StatusOK} {
				_, err = fmt.Fprint(conn, "GET /any/ HTTP/1.1\r\nHost: a\r\n\r\n")
				assert.NilError(t, err)
				response, err := http.ReadResponse(reader, nil)
				assert.NilError(t, err)
				assert.Equal(t, response.StatusCode, status)
				_, err = reader.Discard(int(response.ContentLength))
				assert.NilError(t, err)
			}
			assert.NilError(t, cancelled)
		})
	}
}
