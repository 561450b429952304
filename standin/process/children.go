package process

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"runtime"
	"runtime/debug"
	"sync"
	"syscall"
)

const (
	// minProcessors is the least number of threads of the starter that run Go code at the same time.
	minProcessors = 2
	// outputCount is the number of files sent with a request: for the standard output and the standard error.
	outputCount = 2
)

// isStarter reports whether this process was started as the starter of a test.
func isStarter() bool { return os.Getenv(starterVariable) != "" }

// serveStarts is the starter's side: it starts processes one at a time and reports their exits until the test closes the
// connection or ends. It returns the exit code.
func serveStarts() int {
	// While a process is started, its thread keeps one processor, and a collection would hold up the reports of exits.
	debug.SetGCPercent(-1)
	runtime.GOMAXPROCS(max(minProcessors, runtime.GOMAXPROCS(0)))
	_ = os.Unsetenv(starterVariable)
	syscall.CloseOnExec(starterFile)
	conn, err := unixConn(starterFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	c := &children{conn: conn, running: make(map[int]*exec.Cmd)}
	defer c.killAll()
	for {
		var request startRequest
		files, err := receive(conn, &request)
		if errors.Is(err, io.EOF) {
			return 0
		}
		if err != nil {
			fmt.Fprintln(os.Stderr, "starter:", err)
			return 1
		}
		c.start(request, files)
	}
}

// children are the processes that the starter runs.
type children struct {
	conn *net.UnixConn

	mu      sync.Mutex
	running map[int]*exec.Cmd // by number of the start request
	waiting sync.WaitGroup
}

// start starts a process, reports it, and reports its exit later.
func (c *children) start(r startRequest, files []*os.File) {
	command, err := startWith(r, files)
	if err != nil {
		c.report(startReport{Number: r.Number, Failure: err.Error()})
		return
	}
	c.mu.Lock()
	c.running[r.Number] = command
	c.mu.Unlock()
	c.report(startReport{Number: r.Number, ProcessID: command.Process.Pid})
	c.waiting.Go(func() { c.wait(r.Number, command) })
}

// startWith starts a process that writes to the files, and closes them.
func startWith(r startRequest, files []*os.File) (*exec.Cmd, error) {
	defer func() {
		for _, file := range files {
			_ = file.Close()
		}
	}()
	if len(files) != outputCount {
		return nil, fmt.Errorf("%d files for the output, want %d", len(files), outputCount)
	}
	command := exec.Command(r.Path, r.Args...)
	command.Stdout, command.Stderr = files[0], files[1]
	return command, command.Start()
}

// wait waits until the process has exited and reports it.
func (c *children) wait(number int, command *exec.Cmd) {
	_ = command.Wait() // ProcessState holds the exit status
	c.mu.Lock()
	delete(c.running, number)
	c.mu.Unlock()
	state := command.ProcessState
	c.report(startReport{Number: number, Exit: &exitStatus{Code: state.ExitCode(), Text: state.String()}})
}

func (c *children) report(r startReport) {
	_ = send(c.conn, r, nil) // fails when the test has ended
}

// killAll kills all processes and waits until they have exited.
func (c *children) killAll() {
	c.mu.Lock()
	for _, command := range c.running {
		_ = command.Process.Kill() // fails when the process has exited
	}
	c.mu.Unlock()
	c.waiting.Wait()
}
