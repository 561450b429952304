package httpserver_test

import (
	"io"
	"log/slog"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/transport/httpserver"
)

// Guards against an answer that is lost because an earlier request on the same connection set a write deadline that has
// passed since: the connection was closed without an answer.
func TestWriteDeadlineEndsWithItsRequest(t *testing.T) {
	const deadline = 50 * time.Millisecond
	server, err := httpserver.Listen(httpserver.Options{Name: "test", Addr: "127.0.0.1:0", Log: slog.New(slog.DiscardHandler)})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = server.Close() })
	server.Handle(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/accepted" {
			assert.Check(t, http.NewResponseController(w).SetWriteDeadline(time.Now().Add(deadline)))
			return
		}
		http.NotFound(w, r)
	}))
	go func() { _ = server.Serve() }()
	client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
	t.Cleanup(client.CloseIdleConnections)
	for _, step := range []struct {
		path   string
		status int
	}{{"/accepted", http.StatusOK}, {"/refused", http.StatusNotFound}, {"/accepted", http.StatusOK}} {
		// POST: the client's transport doesn't resend it on another connection.
		response, err := client.Post("http://"+server.Addr()+step.path, "text/plain", http.NoBody)
		assert.NilError(t, err, step.path)
		_, err = io.Copy(io.Discard, response.Body)
		assert.NilError(t, err, step.path)
		assert.NilError(t, response.Body.Close())
		assert.Equal(t, response.StatusCode, step.status, step.path)
		time.Sleep(2 * deadline)
	}
}
