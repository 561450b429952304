// Package process runs the product's binary as the processes of a system under test and stops them by signals.
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

// Main builds the binary of the module at root, calls run with its path, and returns the exit code that a TestMain ends with.
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

// Options say how a process is started. Stdout and Stderr may be nil.
type Options struct {
	Name   string
	Binary string
	Args   []string
	Env    []string // beside that of the test
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
		_ = p.cmd.Wait() // ProcessState tells how it ended
		close(p.exited)
	}()
	return p, nil
}

// ID returns the process ID.
func (p *Process) ID() int { return p.cmd.Process.Pid }

// Signal sends the signal. The error says how the process has ended, if it has.
func (p *Process) Signal(s os.Signal) error {
	if err := p.cmd.Process.Signal(s); err != nil {
		return fmt.Errorf("signal %v to %s, which %s: %w", s, p.Name, p.State(), err)
	}
	return nil
}

// Kill ends the process and waits for its end.
func (p *Process) Kill() {
	if err := p.cmd.Process.Kill(); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return
	}
	<-p.exited
}

// Exited is closed when the process has ended.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// ExitCode returns the exit code of a process that has ended, -1 when a signal ended it.
func (p *Process) ExitCode() int { return p.cmd.ProcessState.ExitCode() }

// State says whether the process runs or how it has ended.
func (p *Process) State() string {
	select {
	case <-p.exited:
		return "ended by " + p.cmd.ProcessState.String()
	default:
		return "runs"
	}
}
