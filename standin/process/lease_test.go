package process

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// leaseVariable names the file to hold a lease on, in the environment of a process that holds one.
	leaseVariable = "MAGNOLIAWHARF_TEST_LEASE"
	leaseLimit    = 3 * time.Second
	// Lines that the holder of a lease prints.
	leaseHeld    = "held\n"
	leaseAwaited = "awaited\n"
)

// holdLease holds a lease on the file, for which an exec of the file waits, until its standard input ends. It returns 1 when
// that took longer than leaseLimit.
func holdLease(path string) int {
	awaited := make(chan os.Signal, 1)
	signal.Notify(awaited, syscall.SIGIO)
	file, err := os.Open(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer file.Close()
	for _, call := range []struct{ command, value int }{
		{syscall.F_SETOWN, os.Getpid()}, // the default is the calling thread, which may not be the main one
		{syscall.F_SETLEASE, syscall.F_WRLCK},
	} {
		if _, _, errno := syscall.Syscall(syscall.SYS_FCNTL, file.Fd(), uintptr(call.command), uintptr(call.value)); errno != 0 {
			fmt.Fprintln(os.Stderr, "lease:", errno)
			return 2
		}
	}
	fmt.Print(leaseHeld)
	<-awaited
	fmt.Print(leaseAwaited)
	released := make(chan struct{})
	go func() {
		_, _ = io.Copy(io.Discard, os.Stdin)
		close(released)
	}()
	select {
	case <-released:
		return 0
	case <-time.After(leaseLimit):
		return 1
	}
}

// lease is a process that holds a lease on a file. An exec of the file waits until the lease is released.
type lease struct {
	holder *exec.Cmd
	stdin  io.Closer
	lines  *bufio.Reader
}

// holdUp takes a lease on the file.
func holdUp(t *testing.T, path string) *lease {
	t.Helper()
	holder := exec.Command(os.Args[0])
	holder.Env = append(os.Environ(), leaseVariable+"="+path)
	holder.Stderr = os.Stderr
	stdin, err := holder.StdinPipe()
	assert.NilError(t, err)
	output, err := holder.StdoutPipe()
	assert.NilError(t, err)
	assert.NilError(t, holder.Start())
	l := &lease{holder: holder, stdin: stdin, lines: bufio.NewReader(output)}
	l.await(t, leaseHeld)
	return l
}

// await waits for a line of the holder.
func (l *lease) await(t *testing.T, want string) {
	t.Helper()
	line, err := l.lines.ReadString('\n')
	assert.NilError(t, err)
	assert.Equal(t, line, want)
}

// release releases the lease. It returns an error when the holder did so before, at its limit.
func (l *lease) release() error {
	_ = l.stdin.Close()
	return l.holder.Wait()
}
