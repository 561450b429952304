package sockopt

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a peer that has left and is not noticed while data of it is unread, or because one of the two answers of the kernel is
// missing, as where it is emulated, and against one that is taken for gone too early.
func TestPeerClosed(t *testing.T) {
	for name, test := range map[string]struct {
		end    func(*net.TCPConn) error
		closed bool
	}{
		"open":        {func(*net.TCPConn) error { return nil }, false},
		"closed":      {func(c *net.TCPConn) error { return c.Close() }, true},
		"half-closed": {func(c *net.TCPConn) error { return c.CloseWrite() }, true},
		"reset":       {func(c *net.TCPConn) error { return Reset(c) }, true},
	} {
		for _, data := range []string{"", "unread"} {
			t.Run(name+" "+data, func(t *testing.T) {
				server, client := tcpPair(t)
				_, err := client.Write([]byte(data))
				assert.NilError(t, err)
				assert.NilError(t, test.end(client))
				time.Sleep(20 * time.Millisecond)
				assert.Equal(t, PeerClosed(server), test.closed)
				control(server, func(fd int) {
					ended, idle := pollEnd(fd)
					assert.Check(t, ended == test.closed, "by the events of the socket")
					assert.Check(t, idle == (data == "" && !test.closed), "something is to be read")
					assert.Check(t, endReceived(fd) == test.closed, "by the state of the connection")
				})
			})
		}
	}
}

// tcpPair returns both ends of a TCP connection.
func tcpPair(t *testing.T) (server, client *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	dialed, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = dialed.Close() })
	accepted, err := listener.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { _ = accepted.Close() })
	return accepted.(*net.TCPConn), dialed.(*net.TCPConn)
}

// Guards against a connection that is taken for delivered while the peer has not received all, and against one that is never.
func TestUndelivered(t *testing.T) {
	server, client := tcpPair(t)
	checkUndelivered(t, server, false)
	const size = 8 << 20 // more than the buffers of both ends
	written := make(chan error, 1)
	go func() {
		_, err := server.Write(make([]byte, size))
		if err == nil {
			err = server.CloseWrite()
		}
		written <- err
	}()
	time.Sleep(50 * time.Millisecond)
	checkUndelivered(t, server, true)
	for read := 0; read < size; {
		n, err := client.Read(make([]byte, 1<<20))
		assert.NilError(t, err)
		read += n
	}
	assert.NilError(t, <-written)
	time.Sleep(50 * time.Millisecond)
	checkUndelivered(t, server, false)
}

func checkUndelivered(t *testing.T, conn net.Conn, want bool) {
	t.Helper()
	bytes, undelivered := Undelivered(conn)
	assert.Equal(t, undelivered, want)
	assert.Equal(t, bytes > 0, want)
}
