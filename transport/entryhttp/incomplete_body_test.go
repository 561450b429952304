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

	"github.com/magnoliawharf/magnoliawharf/contract"
	"github.com/magnoliawharf/magnoliawharf/transport/entryhttp"
)

// Guards against a refusal that is held back, and a connection that stays busy without a limit, until a caller that has fallen
// silent has sent the rest of the body.
func TestRefusalDoesNotWaitForTheBody(t *testing.T) {
	server := httptest.NewServer(&entryhttp.Handler{Contracts: contract.NewCurrent()})
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() {
		_ = conn.Close()
		server.Close()
	})
	_, err = fmt.Fprint(conn, "POST /any/ HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nabc")
	assert.NilError(t, err)
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(3*time.Second)))
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	defer response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	_, err = reader.Discard(int(response.ContentLength) + 1)
	assert.ErrorContains(t, err, "EOF", "the connection stays open")
}
