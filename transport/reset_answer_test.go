package transport_test

import (
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/standin/sockets"
	"github.com/magnoliawharf/magnoliawharf/transport"
)

const requestSize = 256 << 10

// Guards against a part of an answer from another node that is taken for the whole, since the reset of its connection was reported to
// the writer of the request only, and against the loss of an answer that ended in order while the request was still being written.
func TestEndOfAnswerDuringRequest(t *testing.T) {
	pooled := transport.NewControlClient()
	t.Cleanup(pooled.Close)
	data := newClient(t)
	clients := map[string]func(*http.Request) (*http.Response, error){
		"data path": func(r *http.Request) (*http.Response, error) {
			response, _, err := data.RoundTrip(r.Context(), r)
			return response, err
		},
		"pooled":     pooled.Do,
		"single use": transport.NewSingleUseClient().Do,
	}
	ends := map[string]func(*net.TCPConn){
		"reset":    func(c *net.TCPConn) { _ = c.SetLinger(0) },
		"in order": func(c *net.TCPConn) { _ = c.CloseWrite(); _, _ = io.Copy(io.Discard, c) },
	}
	for clientName, do := range clients {
		for endName, end := range ends {
			t.Run(clientName+"/"+endName, func(t *testing.T) {
				t.Parallel()
				addr := sockets.ServeRaw(t, func(conn *net.TCPConn, _ *http.Request) {
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
					time.Sleep(rand.N(5 * time.Millisecond))
					end(conn)
				})
				for range 200 {
					request, err := http.NewRequest(http.MethodPost, "http://"+addr, sockets.SlowReader(requestSize))
					assert.NilError(t, err)
					request.ContentLength = requestSize
					var body []byte
					response, err := do(request.WithContext(t.Context()))
					if err == nil {
						body, err = io.ReadAll(response.Body)
						_ = response.Body.Close()
					}
					assert.Equal(t, err == nil, endName == "in order", "body %q, error %v", body, err)
				}
			})
		}
	}
}
