package e2e

import (
	"bytes"
	"encoding/json"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/standin/process"
)

// startLimit allows for other tests that run on the same machine.
const startLimit = 60 * time.Second

var program *process.Program

// TestMain builds the binary once for all tests.
func TestMain(m *testing.M) {
	os.Exit(process.Main("..", func(p *process.Program) int {
		program = p
		return m.Run()
	}))
}

// systemProcess is one process of the system under test. Its standard error is kept as its log.
type systemProcess struct {
	*process.Process
	log log
}

// log is a buffer of the output of a process. It is safe for concurrent use.
type log struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (l *log) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *log) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// firstLine sends the first line written to it on a channel and discards the rest. It supports a single writer.
type firstLine struct {
	line     chan []byte
	buffered []byte
	done     bool
}

// Write implements io.Writer.
func (f *firstLine) Write(b []byte) (int, error) {
	if f.done {
		return len(b), nil
	}
	f.buffered = append(f.buffered, b...)
	if end := bytes.IndexByte(f.buffered, '\n'); end >= 0 {
		f.done = true
		f.line <- f.buffered[:end+1]
	}
	return len(b), nil
}

// start runs the binary and decodes the first line of its standard output into the value that into points to. The process
// is killed at the end of the test, and its log is printed if the test failed.
func start(t testing.TB, name string, into any, args ...string) *systemProcess {
	t.Helper()
	p := &systemProcess{}
	first := &firstLine{line: make(chan []byte, 1)}
	var err error
	p.Process, err = program.Start(process.Options{Name: name, Args: args, Stdout: first, Stderr: &p.log})
	assert.NilError(t, err)
	t.Cleanup(func() {
		state := p.State()
		p.Kill()
		if t.Failed() {
			t.Logf("%s (%s), log:\n%s", name, state, p.log.String())
		}
	})
	select {
	case line := <-first.line:
		assert.NilError(t, json.Unmarshal(line, into), "%s printed %q", name, line)
	case <-p.Exited():
		t.Fatalf("%s (%s) did not print its addresses", name, p.State())
	case <-time.After(startLimit):
		t.Fatalf("%s did not start in time", name)
	}
	return p
}

func (p *systemProcess) signal(t testing.TB, s syscall.Signal) {
	t.Helper()
	assert.NilError(t, p.Signal(s))
}

// awaitExit waits until the process exits and returns its exit code.
func (p *systemProcess) awaitExit(t testing.TB) int {
	t.Helper()
	select {
	case <-p.Exited():
		return p.ExitCode()
	case <-time.After(startLimit):
		t.Fatalf("%s did not exit in time", p.Name)
		return -1
	}
}

// run runs a command of the binary and waits until it exits.
func run(t testing.TB, args ...string) {
	t.Helper()
	out, err := exec.Command(program.Path, args...).CombinedOutput()
	assert.NilError(t, err, "%v: %s", args, out)
}
