package sockets

import (
	"net"
	"os"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// ReservePort returns a loopback address whose TCP port stays reserved until the end of the test: processes may listen on it, one
// after the other, and the kernel gives the port to no other socket in between. A port that was merely free may be given to an
// outgoing connection of any process while the process that listened on it restarts.
func ReservePort(t testing.TB) (addr string) {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	assert.NilError(t, os.NewSyscallError("socket", err))
	t.Cleanup(func() { _ = syscall.Close(fd) })
	// A bound socket that does not listen shares its port with listeners that set SO_REUSEADDR too, as those of package net do.
	assert.NilError(t, os.NewSyscallError("setsockopt", syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)))
	assert.NilError(t, os.NewSyscallError("bind", syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})))
	bound, err := syscall.Getsockname(fd)
	assert.NilError(t, os.NewSyscallError("getsockname", err))
	inet := bound.(*syscall.SockaddrInet4)
	return (&net.TCPAddr{IP: inet.Addr[:], Port: inet.Port}).String()
}
