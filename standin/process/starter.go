package process

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"sync"
	"syscall"
)

const (
	// starterVariable is set in the environment of the starter only.
	starterVariable = "MAGNOLIAWHARF_TEST_STARTER"
	// starterFile is the starter's file descriptor of the connection to the test.
	starterFile = 3
)

// starter is the test's side of the process that starts all others. A test process that forks by itself may stop until its
// child has been given a processor: the forking thread waits in the kernel until the child has called exec, it cannot be
// preempted meanwhile, and a garbage collection waits for it and holds up the goroutines that allocate.
type starter struct {
	conn    *net.UnixConn
	command *exec.Cmd
	done    chan struct{} // closed when the starter has no more to report

	mu      sync.Mutex
	pending map[int]*pendingProcess // by number of the start request
	next    int
	lost    error // why no process can be started any more
}

// pendingProcess is a process whose exit has not been reported.
type pendingProcess struct {
	process *Process
	started chan startReport
}

// newStarter runs this test binary once more, as the starter.
func newStarter() (*starter, error) {
	pair, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_SEQPACKET|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("connection to the starter: %w", err)
	}
	remote := os.NewFile(uintptr(pair[1]), "starter")
	defer remote.Close()
	conn, err := unixConn(pair[0])
	if err != nil {
		return nil, err
	}
	path, err := os.Executable()
	if err != nil {
		return nil, err
	}
	command := exec.Command(path)
	command.Env = append(os.Environ(), starterVariable+"=1")
	command.ExtraFiles = []*os.File{remote}
	command.Stderr = os.Stderr
	if err := command.Start(); err != nil {
		return nil, fmt.Errorf("start the starter: %w", err)
	}
	s := &starter{conn: conn, command: command, done: make(chan struct{}), pending: make(map[int]*pendingProcess)}
	go s.receive()
	return s, nil
}

// unixConn returns the connection of a file descriptor and closes the descriptor.
func unixConn(descriptor int) (*net.UnixConn, error) {
	file := os.NewFile(uintptr(descriptor), "starter")
	defer file.Close()
	conn, err := net.FileConn(file)
	if err != nil {
		return nil, fmt.Errorf("connection to the starter: %w", err)
	}
	return conn.(*net.UnixConn), nil // a socket of the Unix family
}

// start starts a process that writes to the files, and sets its handle.
func (s *starter) start(p *Process, path string, args []string, files []*os.File) error {
	pending := &pendingProcess{process: p, started: make(chan startReport, 1)}
	number, err := s.add(pending)
	if err != nil {
		return err
	}
	var descriptors []int
	for _, file := range files {
		descriptors = append(descriptors, int(file.Fd()))
	}
	if err := send(s.conn, startRequest{Number: number, Path: path, Args: args}, descriptors); err != nil {
		s.remove(number)
		return err
	}
	report := <-pending.started
	if report.Failure != "" {
		return errors.New(report.Failure)
	}
	return nil
}

func (s *starter) add(p *pendingProcess) (number int, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lost != nil {
		return 0, s.lost
	}
	s.next++
	s.pending[s.next] = p
	return s.next, nil
}

func (s *starter) remove(number int) *pendingProcess {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pending[number]
	delete(s.pending, number)
	return p
}

func (s *starter) get(number int) *pendingProcess {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pending[number]
}

// receive applies the reports of the starter until its connection ends.
func (s *starter) receive() {
	defer close(s.done)
	for {
		var report startReport
		if _, err := receive(s.conn, &report); err != nil {
			s.lose(fmt.Errorf("the starter has ended: %w", err))
			return
		}
		s.apply(report)
	}
}

func (s *starter) apply(report startReport) {
	switch {
	case report.Failure != "":
		s.remove(report.Number).started <- report
	case report.Exit != nil:
		go s.remove(report.Number).process.finish(*report.Exit) // waits for the output
	default:
		pending := s.get(report.Number)
		pending.process.handle, _ = os.FindProcess(report.ProcessID) // has no error on Unix
		pending.started <- report
	}
}

// lose kills all processes that the starter can no longer report on.
func (s *starter) lose(cause error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost = cause
	for _, p := range s.pending {
		if p.process.handle == nil {
			p.started <- startReport{Failure: cause.Error()}
			continue
		}
		_ = p.process.handle.Kill() // fails when the process has exited
		go p.process.finish(exitStatus{Code: -1, Text: cause.Error()})
	}
	clear(s.pending)
}

// close ends the starter, which kills the processes that still run.
func (s *starter) close() {
	_ = s.conn.CloseWrite()
	<-s.done
	_ = s.conn.Close()
	_ = s.command.Wait()
}
