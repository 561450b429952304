// Package logs writes structured log lines without blocking the code that logs. Lines are queued in a bounded buffer and
// written by one goroutine; when the output is too slow and the buffer is full, lines are dropped and counted.
package logs

import (
	"fmt"
	"io"
	"log/slog"
	"sync"
	"time"

	"github.com/magnoliawharf/magnoliawharf/metrics"
)

const (
	// DefaultBufferSize is the default size of the buffer in bytes, enough for a few thousand lines.
	DefaultBufferSize = 1 << 20
	// batchInterval is the time for which lines are collected before a write, so that a burst needs few writes.
	batchInterval = 50 * time.Millisecond
	// closeTimeout is the time for which Close waits until the last lines are written.
	closeTimeout = 200 * time.Millisecond
)

var (
	linesTotal   = metrics.Counter("magnoliawharf_log_lines_total")
	droppedTotal = metrics.Counter("magnoliawharf_log_lines_dropped_total")
)

// Writer is a buffered io.Writer that never blocks. Each Write is one line. It is safe for concurrent use.
type Writer struct {
	out   io.Writer
	limit int // size of the buffer in bytes
	wake  chan struct{}
	done  chan struct{}

	mu      sync.Mutex
	pending []byte
	dropped int // lines dropped since the last one that was buffered
	closed  bool
}

// NewWriter returns a Writer to out with a buffer of limit bytes, and starts the goroutine that writes to out.
func NewWriter(out io.Writer, limit int) *Writer {
	w := &Writer{out: out, limit: limit, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// New returns a logger that writes JSON lines to w.
func New(w io.Writer, level slog.Leveler) *slog.Logger {
	return slog.New(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level}))
}

// Write implements io.Writer. It buffers the line, or drops it when the buffer is full. The error is always nil.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || len(w.pending)+len(line) > w.limit {
		w.dropped++
		droppedTotal.Inc()
		return len(line), nil
	}
	if w.dropped > 0 {
		w.pending = fmt.Appendf(w.pending, "{\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"count\":%d}\n", w.dropped)
		w.dropped = 0
	}
	linesTotal.Inc()
	w.pending = append(w.pending, line...)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// run writes the buffered lines to the output until Close.
func (w *Writer) run() {
	defer close(w.done)
	var batch []byte
	for range w.wake {
		time.Sleep(batchInterval)
		w.mu.Lock()
		batch, w.pending = w.pending, batch[:0]
		w.mu.Unlock()
		// A write error is ignored, since there is no other place to log it.
		_, _ = w.out.Write(batch)
	}
}

// Close writes the buffered lines and returns when they are written, or after 200 ms at the latest. Later lines are
// dropped.
func (w *Writer) Close() {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.wake)
	}
	remaining := w.pending
	w.pending = nil
	w.mu.Unlock()
	written := make(chan struct{})
	go func() {
		defer close(written)
		<-w.done
		_, _ = w.out.Write(remaining)
	}()
	select {
	case <-written:
	case <-time.After(closeTimeout):
	}
}
