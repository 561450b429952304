package backend

import (
	"net"
	"os"
	"syscall"
)

// reservedPort is a bound socket that never listens. Listeners of package net, which set SO_REUSEADDR too, share its port; the
// kernel gives the port to no other socket.
type reservedPort struct{ fd int }

// reservePort reserves an IPv4 address on which no socket listens.
func reservePort(addr string) (reservedPort, error) {
	tcp, err := net.ResolveTCPAddr("tcp4", addr)
	if err != nil {
		return reservedPort{}, err
	}
	bound := &syscall.SockaddrInet4{Port: tcp.Port}
	copy(bound.Addr[:], tcp.IP.To4())
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		return reservedPort{}, os.NewSyscallError("socket", err)
	}
	syscall.CloseOnExec(fd)
	p := reservedPort{fd: fd}
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		p.release()
		return reservedPort{}, os.NewSyscallError("setsockopt", err)
	}
	if err := syscall.Bind(fd, bound); err != nil {
		p.release()
		return reservedPort{}, os.NewSyscallError("bind", err)
	}
	return p, nil
}

func (p reservedPort) release() { _ = syscall.Close(p.fd) }
