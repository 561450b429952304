package e2e

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// startLimit is generous, because other tests run on the same machine.
const startLimit = 60 * time.Second

var binary string

// TestMain builds the binary once for all tests.
func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	folder, err := os.MkdirTemp("", "magnoliawharf-e2e-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(folder)
	binary = filepath.Join(folder, "magnoliawharf")
	if out, err := exec.Command("go", "build", "-o", binary, "../cmd/magnoliawharf").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// process is one process of the system under test.
type process struct {
	name string
	cmd  *exec.Cmd

	mu     sync.Mutex
	log    bytes.Buffer // standard error
	exited chan struct{}
	err    error // of Wait, once exited is closed
}

// Write implements io.Writer for the process's standard error.
func (p *process) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.Write(b)
}

// start runs the binary and decodes the first line of its standard output into into. The process is
// killed at the end of the test, and its log is shown when the test failed.
func start(t testing.TB, name string, into any, args ...string) *process {
	t.Helper()
	p := &process{name: name, cmd: exec.Command(binary, args...), exited: make(chan struct{})}
	p.cmd.Stderr = p
	stdout, err := p.cmd.StdoutPipe()
	assert.NilError(t, err)
	assert.NilError(t, p.cmd.Start())
	first := make(chan []byte, 1)
	go func() {
		reader := bufio.NewReader(stdout)
		line, _ := reader.ReadBytes('\n')
		first <- line
		p.err = p.cmd.Wait()
		close(p.exited)
	}()
	t.Cleanup(func() {
		ended := p.ended()
		p.kill()
		if t.Failed() {
			p.mu.Lock()
			defer p.mu.Unlock()
			t.Logf("%s %s; its log:\n%s", name, ended, p.log.String())
		}
	})
	select {
	case line := <-first:
		assert.NilError(t, json.Unmarshal(line, into), "%s printed %q", name, line)
	case <-time.After(startLimit):
		t.Fatalf("%s did not start in time", name)
	}
	return p
}

func (p *process) signal(t testing.TB, s syscall.Signal) {
	t.Helper()
	assert.NilError(t, p.cmd.Process.Signal(s), "%s %s", p.name, p.ended())
}

// ended says how the process has ended, if it has.
func (p *process) ended() string {
	select {
	case <-p.exited:
		return "ended by " + p.cmd.ProcessState.String()
	default:
		return "runs"
	}
}

// kill ends the process and waits for its end.
func (p *process) kill() {
	if err := p.cmd.Process.Kill(); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return
	}
	<-p.exited
}

// awaitExit returns the exit code of a process that ends by itself.
func (p *process) awaitExit(t testing.TB) int {
	t.Helper()
	select {
	case <-p.exited:
		return p.cmd.ProcessState.ExitCode()
	case <-time.After(startLimit):
		t.Fatalf("%s did not end in time", p.name)
		return -1
	}
}

// run runs a command of the binary to its end.
func run(t testing.TB, args ...string) {
	t.Helper()
	out, err := exec.Command(binary, args...).CombinedOutput()
	assert.NilError(t, err, "%v: %s", args, out)
}
