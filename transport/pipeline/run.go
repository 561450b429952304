package pipeline

import (
	"context"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/magnoliawharf/magnoliawharf/metrics"
	"github.com/magnoliawharf/magnoliawharf/transport"
)

// run is a request that was started before its turn, and its answer as far as it has been written. It is the
// http.ResponseWriter of its handler.
type run struct {
	conn   *conn
	header http.Header // of the handler
	cancel context.CancelCauseFunc

	mu       sync.Mutex
	changed  *sync.Cond
	status   int // 0 until the handler has written the head
	sent     http.Header
	body     []byte // written, and not delivered yet
	reserved int64  // bytes of body that count against the limits of the connection and of the node
	inTurn   bool   // the answer is being delivered
	ended    bool
	endedAt  time.Time
	failure  any       // value with which the handler has panicked
	broken   error     // why the answer cannot be delivered any more
	deadline time.Time // for writing the answer; zero for none
}

// startRun starts the request of e. position is the number of requests before it on its connection.
func startRun(c *conn, e *entry, position int) *run {
	ctx := transport.WithArrival(c.base, transport.Arrival{At: e.arrivedAt, Behind: position})
	ctx, cancel := context.WithCancelCause(ctx)
	r := &run{conn: c, header: make(http.Header), cancel: cancel}
	r.changed = sync.NewCond(&r.mu)
	go r.serve(e.request.WithContext(ctx))
	return r
}

func (r *run) serve(request *http.Request) {
	defer func() {
		// net/http recovers the panic of a handler in the goroutine of its connection: deliver panics there.
		failure := recover()
		r.mu.Lock()
		defer r.mu.Unlock()
		r.failure, r.ended, r.endedAt = failure, true, time.Now()
		if r.status == 0 {
			r.writeHead(http.StatusOK)
		}
		r.changed.Broadcast()
	}()
	r.conn.pipeline.Handler.ServeHTTP(r, request)
}

// Header implements http.ResponseWriter.
func (r *run) Header() http.Header { return r.header }

// WriteHeader implements http.ResponseWriter.
func (r *run) WriteHeader(status int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writeHead(status)
}

func (r *run) writeHead(status int) {
	if r.status != 0 || status < http.StatusOK {
		return
	}
	r.status, r.sent = status, maps.Clone(r.header)
	r.changed.Broadcast()
}

// Write implements http.ResponseWriter. It waits for the turn of the answer when the limits of the connection or of the node
// leave no room for the data.
func (r *run) Write(data []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writeHead(http.StatusOK)
	for r.broken == nil && !r.hasRoom(int64(len(data))) {
		r.changed.Wait()
	}
	if r.broken != nil {
		return 0, r.broken
	}
	r.body = append(r.body, data...)
	r.changed.Broadcast()
	return len(data), nil
}

// hasRoom reports whether n more bytes may be kept. In its turn an answer needs no more room than for one write.
func (r *run) hasRoom(n int64) bool {
	if r.inTurn {
		return len(r.body) == 0
	}
	if !r.conn.answers.take(n, maxConnAnswers) {
		return false
	}
	if !r.conn.pipeline.answers.take(n, maxAnswers) {
		r.conn.answers.put(n)
		return false
	}
	r.reserved += n
	return true
}

// release returns the room of n bytes of the answer, as far as it was reserved.
func (r *run) release(n int) {
	released := min(int64(n), r.reserved)
	r.reserved -= released
	r.conn.answers.put(released)
	r.conn.pipeline.answers.put(released)
}

// SetWriteDeadline is used by http.ResponseController. The deadline applies once the answer is delivered.
func (r *run) SetWriteDeadline(deadline time.Time) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.deadline = deadline
	r.changed.Broadcast()
	return nil
}

// FlushError is used by http.ResponseController. All that is written is delivered at once when the turn has come.
func (r *run) FlushError() error { return nil }

// abandon ends the request, whose answer is not needed or cannot be delivered any more.
func (r *run) abandon(cause error) {
	r.cancel(cause)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = cause
	r.release(len(r.body))
	r.body = nil
	r.changed.Broadcast()
}

// deliver writes the answer in its turn. It panics as the handler has panicked, so that the connection is closed after an answer
// that is not complete.
func (r *run) deliver(w http.ResponseWriter, request *http.Request) {
	stop := context.AfterFunc(request.Context(), func() { r.cancel(context.Cause(request.Context())) })
	defer stop()
	defer r.cancel(nil)
	r.beginTurn()
	controller := http.NewResponseController(w)
	for first := true; ; first = false {
		body, ended := r.nextPart()
		if first {
			r.deliverHead(w)
		}
		_ = controller.SetWriteDeadline(r.writeDeadline())
		if _, err := w.Write(body); err != nil && len(body) > 0 {
			r.abandon(err)
		}
		if ended {
			break
		}
	}
	if r.failure != nil {
		panic(r.failure)
	}
}

func (r *run) beginTurn() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inTurn = true
	if r.ended {
		metrics.Histogram("magnoliawharf_answer_wait_seconds", "listener", r.conn.pipeline.Name).UpdateDuration(r.endedAt)
	}
	r.changed.Broadcast()
}

// nextPart waits for the next part of the body and returns it. ended reports whether it is the last one.
func (r *run) nextPart() (body []byte, ended bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for !r.ended && len(r.body) == 0 {
		r.changed.Wait()
	}
	body, r.body = r.body, nil
	r.release(len(body))
	r.changed.Broadcast()
	return body, r.ended
}

func (r *run) deliverHead(w http.ResponseWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.Copy(w.Header(), r.sent)
	w.WriteHeader(r.status)
}

func (r *run) writeDeadline() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.deadline
}
