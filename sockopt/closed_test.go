package sockopt_test

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/sockopt"
)

// Guards against a peer that has left and is not noticed while data of it is unread, and against one that is taken for gone too early.
func TestPeerClosed(t *testing.T) {
	for name, test := range map[string]struct {
		end    func(*net.TCPConn) error
		closed bool
	}{
		"open":        {func(*net.TCPConn) error { return nil }, false},
		"closed":      {func(c *net.TCPConn) error { return c.Close() }, true},
		"half-closed": {func(c *net.TCPConn) error { return c.CloseWrite() }, true},
		"reset":       {func(c *net.TCPConn) error { return sockopt.Reset(c) }, true},
	} {
		for _, data := range []string{"", "unread"} {
			t.Run(name+" "+data, func(t *testing.T) {
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				assert.NilError(t, err)
				defer listener.Close()
				client, err := net.Dial("tcp", listener.Addr().String())
				assert.NilError(t, err)
				defer client.Close()
				server, err := listener.Accept()
				assert.NilError(t, err)
				defer server.Close()
				_, err = client.Write([]byte(data))
				assert.NilError(t, err)
				assert.NilError(t, test.end(client.(*net.TCPConn)))
				time.Sleep(20 * time.Millisecond)
				assert.Equal(t, sockopt.PeerClosed(server), test.closed)
			})
		}
	}
}
