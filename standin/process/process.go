// Package process builds the magnoliawharf binary, runs it as the processes of a system under test, and controls them by
// signals.
package process

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
)

// Build builds the binary of the module at root into the folder and returns its path.
func Build(root, folder string) (string, error) {
	binary := filepath.Join(folder, "magnoliawharf")
	build := exec.Command("go", "build", "-o", binary, "./cmd/magnoliawharf")
	build.Dir = root
	if out, err := build.CombinedOutput(); err != nil {
		return "", fmt.Errorf("build: %w\n%s", err, out)
	}
	return binary, nil
}

// Program is the built binary, with the starter of its processes.
type Program struct {
	Path    string
	starter *starter
}

// Main is the body of a TestMain: it builds the binary of the module at root into a temporary folder, calls run with it, and
// returns the exit code. In the starter, it serves the test instead.
func Main(root string, run func(*Program) int) int {
	if isStarter() {
		return serveStarts()
	}
	folder, err := os.MkdirTemp("", "magnoliawharf-test-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(folder)
	binary, err := Build(root, folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	s, err := newStarter()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer s.close()
	return run(&Program{Path: binary, starter: s})
}

// Options describe how a process is started. Stdout and Stderr may be nil; their methods may be called concurrently.
type Options struct {
	Name   string
	Args   []string
	Stdout io.Writer
	Stderr io.Writer
}

// Process is one running process. Its methods may be called by several goroutines.
type Process struct {
	Name   string
	handle *os.Process
	output sync.WaitGroup // copies of the output that have not ended
	exit   exitStatus     // valid once exited is closed
	exited chan struct{}
}

// exitStatus says how a process ended.
type exitStatus struct {
	Code int // -1 when a signal terminated the process
	Text string
}

// Start starts a process of the program.
func (p *Program) Start(o Options) (*Process, error) {
	started := &Process{Name: o.Name, exited: make(chan struct{})}
	var files outputFiles
	defer files.close()
	for _, w := range []io.Writer{o.Stdout, o.Stderr} {
		if err := files.add(w, &started.output); err != nil {
			return nil, fmt.Errorf("start %s: %w", o.Name, err)
		}
	}
	if err := p.starter.start(started, p.Path, o.Args, files.list); err != nil {
		return nil, fmt.Errorf("start %s: %w", o.Name, err)
	}
	return started, nil
}

// finish records how the process ended, once all of its output has been read.
func (p *Process) finish(status exitStatus) {
	p.output.Wait()
	p.exit = status
	close(p.exited)
}

// ID returns the process ID.
func (p *Process) ID() int { return p.handle.Pid }

// Signal sends the signal. The error includes the state of the process.
func (p *Process) Signal(s os.Signal) error {
	if err := p.handle.Signal(s); err != nil {
		return fmt.Errorf("signal %v to %s (%s): %w", s, p.Name, p.State(), err)
	}
	return nil
}

// Kill kills the process and waits until it has exited.
func (p *Process) Kill() {
	if err := p.handle.Kill(); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return
	}
	<-p.exited
}

// Exited returns a channel that is closed when the process has exited.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// HasEnded reports whether the process has exited, also when the starter has not reported it yet.
func (p *Process) HasEnded() bool {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.ID()))
	if err != nil {
		return errors.Is(err, os.ErrNotExist)
	}
	// The name of the program, in parentheses, precedes the state: Z and X are those of a process that has exited.
	_, state, _ := bytes.Cut(status[bytes.LastIndexByte(status, ')'):], []byte(" "))
	return bytes.HasPrefix(state, []byte("Z")) || bytes.HasPrefix(state, []byte("X"))
}

// ExitCode returns the exit code of a process that has exited, -1 when a signal terminated it.
func (p *Process) ExitCode() int { return p.exit.Code }

// State describes whether the process is running or how it exited.
func (p *Process) State() string {
	select {
	case <-p.exited:
		return "exited: " + p.exit.Text
	default:
		return "running"
	}
}
