package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes record.txt: one line for each thing that a client, a server or the platform sent, answered or ran.
type recorder struct {
	start time.Time

	mu   sync.Mutex
	file *os.File
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{start: time.Now(), file: file}, nil
}

// logf writes a line with the time since the start of the run.
func (r *recorder) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func (r *recorder) close() { _ = r.file.Close() }
