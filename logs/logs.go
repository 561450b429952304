// Package logs writes structured log lines without ever holding up the code that logs: lines wait in a bounded buffer
// for one goroutine that writes them, and are dropped and counted when the reader of the output does not keep up.
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
	// DefaultBuffer is the number of bytes that wait to be written, a few thousand lines.
	DefaultBuffer = 1 << 20
	// gatherTime is how long lines are gathered, so that a burst costs few writes.
	gatherTime = 50 * time.Millisecond
	// closeTime bounds the wait for the last lines at a stop.
	closeTime = 200 * time.Millisecond
)

var (
	linesTotal   = metrics.Counter("magnoliawharf_log_lines_total")
	droppedTotal = metrics.Counter("magnoliawharf_log_lines_dropped_total")
)

// Writer is an io.Writer that never blocks. Each Write is one line. It is safe for concurrent use.
type Writer struct {
	out   io.Writer
	limit int
	wake  chan struct{}
	done  chan struct{}

	mu      sync.Mutex
	waiting []byte
	dropped int // lines since the last one that was kept
	closed  bool
}

// NewWriter returns a Writer to out that keeps up to limit bytes, and starts the goroutine that writes them.
func NewWriter(out io.Writer, limit int) *Writer {
	w := &Writer{out: out, limit: limit, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// New returns a logger of JSON lines to w.
func New(w io.Writer, level slog.Leveler) *slog.Logger {
	return slog.New(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level}))
}

// Write implements io.Writer. It keeps the line or drops it; the error is always nil.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || len(w.waiting)+len(line) > w.limit {
		w.dropped++
		droppedTotal.Inc()
		return len(line), nil
	}
	if w.dropped > 0 {
		w.waiting = fmt.Appendf(w.waiting, "{\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"count\":%d}\n", w.dropped)
		w.dropped = 0
	}
	linesTotal.Inc()
	w.waiting = append(w.waiting, line...)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

func (w *Writer) run() {
	defer close(w.done)
	var batch []byte
	for range w.wake {
		time.Sleep(gatherTime)
		w.mu.Lock()
		batch, w.waiting = w.waiting, batch[:0]
		w.mu.Unlock()
		// A log that cannot be written has no place to say so.
		_, _ = w.out.Write(batch)
	}
}

// Close writes what waits, for as long as the reader takes it within 200 ms.
func (w *Writer) Close() {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.wake)
	}
	rest := w.waiting
	w.waiting = nil
	w.mu.Unlock()
	written := make(chan struct{})
	go func() {
		defer close(written)
		<-w.done
		_, _ = w.out.Write(rest)
	}()
	select {
	case <-written:
	case <-time.After(closeTime):
	}
}
