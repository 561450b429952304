package transport_test

import (
	"bufio"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/transport"
)

// startEarlyServer starts a server that answers without a length before it has read the body of the request, and returns its URL. end
// ends the connection.
func startEarlyServer(t *testing.T, end func(*net.TCPConn)) (url string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
					time.Sleep(rand.N(5 * time.Millisecond))
					end(conn.(*net.TCPConn))
				}
			}()
		}
	}()
	return "http://" + listener.Addr().String()
}

// slowBody is the body of a request that is written in small pieces.
type slowBody struct{ left int }

// Read implements io.Reader.
func (b *slowBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	time.Sleep(30 * time.Microsecond)
	n := min(len(p), b.left, 4<<10)
	b.left -= n
	return n, nil
}

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
				url := startEarlyServer(t, end)
				for range 200 {
					request, err := http.NewRequest(http.MethodPost, url, io.NopCloser(&slowBody{256 << 10}))
					assert.NilError(t, err)
					request.ContentLength = 256 << 10
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
