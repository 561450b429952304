package caller

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
)

// ReplayLimit is the number of body bytes kept so that a request can be sent to another upstream.
const ReplayLimit = 64 << 10

// ErrNotReplayable is returned by Attempt after more than ReplayLimit bytes were read, and by Buffer
// for a longer body.
var ErrNotReplayable = errors.New("request body is larger than the replay buffer")

// Body is the streamed body of a request. It keeps the first ReplayLimit bytes, so that an attempt
// that did not run can be repeated elsewhere. Reads of an attempt that was given up return an error.
type Body struct {
	mu       sync.Mutex
	source   io.Reader
	kept     []byte
	overflow bool
	failed   error // error of source, io.EOF included
	length   int64
}

// NewBody returns a body that reads from source. length is the number of bytes, or -1 when unknown.
// A nil source is an empty body.
func NewBody(source io.Reader, length int64) *Body {
	if source == nil {
		return &Body{failed: io.EOF}
	}
	return &Body{source: source, length: length}
}

// Length returns the number of bytes, or -1 when unknown.
func (b *Body) Length() int64 { return b.length }

// Attempt returns a reader over the whole body for one attempt. Only the newest attempt may read
// beyond the kept bytes.
func (b *Body) Attempt() (io.ReadCloser, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.overflow {
		return nil, ErrNotReplayable
	}
	return &attemptBody{body: b}, nil
}

// Buffer reads the whole body into the kept bytes and returns them. It is called before the first
// Attempt. The length must be known: Buffer panics when Length is -1. A longer body than ReplayLimit
// is ErrNotReplayable; other errors are those of the source, or
// io.ErrUnexpectedEOF when it ends early.
func (b *Body) Buffer() ([]byte, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.length > ReplayLimit {
		return nil, ErrNotReplayable
	}
	if b.source != nil && b.failed == nil {
		b.kept = make([]byte, b.length)
		n, err := io.ReadFull(b.source, b.kept)
		b.kept = b.kept[:n]
		b.failed = err
		if err == nil {
			b.failed = io.EOF
		}
	}
	if b.failed != io.EOF {
		return nil, b.failed
	}
	return b.kept, nil
}

// Err returns the error with which the source broke off, or nil.
func (b *Body) Err() error {
	if !b.mu.TryLock() {
		// A read of the source is under way, so that it has not broken off.
		return nil
	}
	defer b.mu.Unlock()
	if b.failed == io.EOF {
		return nil
	}
	return b.failed
}

// Replayable reports whether another attempt can read the whole body.
func (b *Body) Replayable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.overflow
}

// Shareable reports whether two attempts can read the whole body at the same time: it fits into the
// kept bytes.
func (b *Body) Shareable() bool { return b.length >= 0 && b.length <= ReplayLimit }

type attemptBody struct {
	body   *Body
	offset int64
	closed atomic.Bool // apart from the body's lock, since a read of the source may block for long
}

// Read implements io.Reader.
func (a *attemptBody) Read(p []byte) (int, error) {
	a.body.mu.Lock()
	defer a.body.mu.Unlock()
	if a.closed.Load() {
		return 0, io.ErrClosedPipe
	}
	if a.offset < int64(len(a.body.kept)) {
		n := copy(p, a.body.kept[a.offset:])
		a.offset += int64(n)
		return n, nil
	}
	n, err := a.body.readSource(p)
	a.offset += int64(n)
	return n, err
}

// Close implements io.Closer. The source stays open for the next attempt.
func (a *attemptBody) Close() error {
	a.closed.Store(true)
	return nil
}

func (b *Body) readSource(p []byte) (int, error) {
	if b.failed != nil {
		return 0, b.failed
	}
	n, err := b.source.Read(p)
	b.failed = err
	if len(b.kept)+n > ReplayLimit {
		b.overflow = true
	}
	if !b.overflow {
		b.kept = append(b.kept, p[:n]...)
	}
	return n, err
}
