// Package process builds the magnoliawharf binary, runs it as the processes of a system under test, and controls them by
// signals.
package process

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
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

// Main is the body of a TestMain: it builds the binary of the module at root into a temporary folder, calls run with its
// path, and returns the exit code.
func Main(root string, run func(binary string) int) int {
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
	return run(binary)
}

// Options describe how a process is started. Stdout and Stderr may be nil.
type Options struct {
	Name   string
	Binary string
	Args   []string
	Env    []string // added to the environment of the test
	Stdout io.Writer
	Stderr io.Writer
}

// Process is one running process. Its methods may be called by several goroutines.
type Process struct {
	Name   string
	cmd    *exec.Cmd
	exited chan struct{}
}

// Start starts the process.
func Start(o Options) (*Process, error) {
	p := &Process{Name: o.Name, cmd: exec.Command(o.Binary, o.Args...), exited: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), o.Env...)
	p.cmd.Stdout, p.cmd.Stderr = o.Stdout, o.Stderr
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", o.Name, err)
	}
	go func() {
		_ = p.cmd.Wait() // ProcessState holds the exit status
		close(p.exited)
	}()
	return p, nil
}

// ID returns the process ID.
func (p *Process) ID() int { return p.cmd.Process.Pid }

// Signal sends the signal. The error includes the state of the process.
func (p *Process) Signal(s os.Signal) error {
	if err := p.cmd.Process.Signal(s); err != nil {
		return fmt.Errorf("signal %v to %s (%s): %w", s, p.Name, p.State(), err)
	}
	return nil
}

// Kill kills the process and waits until it has exited.
func (p *Process) Kill() {
	if err := p.cmd.Process.Kill(); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return
	}
	<-p.exited
}

// Exited returns a channel that is closed when the process has exited.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// ExitCode returns the exit code of a process that has exited, -1 when a signal terminated it.
func (p *Process) ExitCode() int { return p.cmd.ProcessState.ExitCode() }

// State describes whether the process is running or how it exited.
func (p *Process) State() string {
	select {
	case <-p.exited:
		return "exited: " + p.cmd.ProcessState.String()
	default:
		return "running"
	}
}
