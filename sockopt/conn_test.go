package sockopt_test

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/sockopt"
)

// connPair returns a connection that a Dialer has opened, and the other end of it.
func connPair(t *testing.T) (conn net.Conn, peer *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	conn, err = sockopt.NewDialer(time.Second, time.Second).DialContext(context.Background(), "tcp", listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	accepted, err := listener.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { _ = accepted.Close() })
	return conn, accepted.(*net.TCPConn)
}

// reset closes the connection so that the other end gets a reset.
func reset(t *testing.T, conn *net.TCPConn) {
	t.Helper()
	assert.NilError(t, conn.SetLinger(0))
	assert.NilError(t, conn.Close())
}

// writeUntilError returns the first error of a Write.
func writeUntilError(t *testing.T, conn net.Conn) error {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); {
		if _, err := conn.Write([]byte("more")); err != nil {
			return err
		}
	}
	t.Fatal("no write has failed")
	return nil
}

const part = "part of an answer"

// Guards against a stream that was reset and reads as one that ended in order: the kernel reports a reset once, here to Write.
func TestResetThatWriteGotIsNoEndOfTheStream(t *testing.T) {
	conn, peer := connPair(t)
	_, err := io.WriteString(peer, part)
	assert.NilError(t, err)
	reset(t, peer)
	assert.ErrorIs(t, writeUntilError(t, conn), syscall.ECONNRESET)
	got, err := io.ReadAll(conn)
	assert.Equal(t, string(got), part)
	assert.ErrorIs(t, err, syscall.ECONNRESET)
	_, err = conn.Read(make([]byte, 1))
	assert.ErrorIs(t, err, syscall.ECONNRESET, "of a second read")
}

// Guards against a reset that reads as an end of the stream while the Write that got it has not returned yet, or closes the connection.
func TestResetDuringWriteIsNoEndOfTheStream(t *testing.T) {
	for i := range 2000 {
		closes := i%2 == 0
		conn, peer := connPair(t)
		written := make(chan struct{})
		go func() {
			defer close(written)
			for err := error(nil); err == nil; _, err = conn.Write(make([]byte, 1<<10)) {
			}
			if closes {
				_ = conn.Close()
			}
		}()
		_, err := io.WriteString(peer, part)
		assert.NilError(t, err)
		time.Sleep(100 * time.Microsecond)
		reset(t, peer)
		_, err = io.ReadAll(conn)
		assert.Assert(t, errors.Is(err, syscall.ECONNRESET) || closes && errors.Is(err, net.ErrClosed), "%v", err)
		<-written
	}
}

// Guards against a stream that ended in order and reads as a reset one, since the peer has reset the connection after its end or
// takes no more data.
func TestEndOfTheStreamBeforeResetIsKept(t *testing.T) {
	for name, end := range map[string]func(t *testing.T, conn net.Conn, peer *net.TCPConn){
		"open for writing": func(*testing.T, net.Conn, *net.TCPConn) {},
		"reset": func(t *testing.T, conn net.Conn, peer *net.TCPConn) {
			reset(t, peer)
		},
		"reset that Write got": func(t *testing.T, conn net.Conn, peer *net.TCPConn) {
			reset(t, peer)
			assert.ErrorIs(t, writeUntilError(t, conn), syscall.EPIPE)
		},
		"closed by the peer": func(t *testing.T, conn net.Conn, peer *net.TCPConn) {
			assert.NilError(t, peer.Close())
			assert.ErrorIs(t, writeUntilError(t, conn), syscall.EPIPE)
		},
	} {
		t.Run(name, func(t *testing.T) {
			conn, peer := connPair(t)
			_, err := io.WriteString(peer, part)
			assert.NilError(t, err)
			assert.NilError(t, peer.CloseWrite())
			end(t, conn, peer)
			got, err := io.ReadAll(conn)
			assert.NilError(t, err)
			assert.Equal(t, string(got), part)
		})
	}
}

// Guards against the end of a stream that is reported late because a Write waits for the peer to read, and against a Write that
// the end of the other direction cuts off.
func TestEndOfTheStreamDoesNotWaitForWrite(t *testing.T) {
	conn, peer := connPair(t)
	const size = 16 << 20 // more than the buffers of both ends
	written := make(chan error, 1)
	go func() {
		_, err := conn.Write(make([]byte, size))
		written <- err
	}()
	_, err := io.WriteString(peer, part)
	assert.NilError(t, err)
	assert.NilError(t, peer.CloseWrite())
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
	got, err := io.ReadAll(conn)
	assert.NilError(t, err)
	assert.Equal(t, string(got), part)
	select {
	case err := <-written:
		t.Fatalf("the write has ended: %v", err)
	default:
	}
	n, err := io.CopyN(io.Discard, peer, size)
	assert.NilError(t, err)
	assert.Equal(t, n, int64(size))
	assert.NilError(t, <-written)
}
