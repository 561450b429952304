package caller

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// ReplayLimit is the number of bytes of a request body that are buffered for another attempt.
const ReplayLimit = 64 << 10

// ErrNotReplayable is returned by Attempt after more than ReplayLimit bytes were read, and by Buffer
// for a body longer than that.
var ErrNotReplayable = errors.New("request body is larger than the replay buffer")

// Body is the streamed body of a request. It buffers the first ReplayLimit bytes, so that the
// request can be retried at another upstream. Reads of a closed attempt return an error.
type Body struct {
	mu        sync.Mutex
	limit     int64 // bytes that are buffered
	source    io.Reader
	buffered  []byte
	overflow  bool
	sourceErr error // last error of source, including io.EOF
	length    int64
	read      int64 // bytes read from source
	digest    xxhash.Digest
	checkEnd  atomic.Pointer[func() error] // nil for none
	hash      atomic.Pointer[uint64]       // of the whole body, nil until it was read to its end
}

// NewBody returns a body that reads from source. length is its size in bytes, -1 when unknown. A nil
// source is an empty body.
func NewBody(source io.Reader, length int64) *Body {
	b := &Body{source: source, length: length, limit: ReplayLimit}
	b.digest.Reset()
	if source == nil {
		b.sourceErr, b.length = io.EOF, 0
		b.recordEnd()
	}
	return b
}

// Length returns the size in bytes, -1 when unknown.
func (b *Body) Length() int64 { return b.length }

// Hash returns the hash of the whole body. known is false until it was read to its end. It does not block.
func (b *Body) Hash() (hash uint64, known bool) {
	if end := b.hash.Load(); end != nil {
		return *end, true
	}
	return 0, false
}

// CheckEnd calls check when the body has been read to its end, before an attempt gets the last bytes of it or the end of one of unknown
// length. An error of check is that of the read, so that the upstream never gets the whole request. It has no effect once the
// end was read.
func (b *Body) CheckEnd(check func() error) { b.checkEnd.Store(&check) }

// Attempt returns a reader of the whole body for one attempt. Only the latest attempt may read
// beyond the buffered bytes.
func (b *Body) Attempt() (io.ReadCloser, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.overflow {
		return nil, ErrNotReplayable
	}
	return &attemptBody{body: b}, nil
}

// Buffer reads the whole body into the buffer and returns it. It must be called before the first
// Attempt. The length must be known: Buffer panics when Length is -1. The error is ErrNotReplayable
// for a body longer than ReplayLimit, io.ErrUnexpectedEOF when the source ends early, or the error
// of the source.
func (b *Body) Buffer() ([]byte, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.length > ReplayLimit {
		return nil, ErrNotReplayable
	}
	if b.source != nil && b.sourceErr == nil {
		b.buffered = make([]byte, b.length)
		n, err := io.ReadFull(b.source, b.buffered)
		b.buffered = b.buffered[:n]
		b.sourceErr = err
		_, _ = b.digest.Write(b.buffered)
		if err == nil {
			b.sourceErr = io.EOF
			b.recordEnd()
		}
	}
	if b.sourceErr != io.EOF {
		return nil, b.sourceErr
	}
	return b.buffered, nil
}

// Err returns the error that ended reading of the source early, or nil. It does not block.
func (b *Body) Err() error {
	if !b.mu.TryLock() {
		// A read of the source is in progress, so the source has not failed.
		return nil
	}
	defer b.mu.Unlock()
	if b.sourceErr == io.EOF {
		return nil
	}
	return b.sourceErr
}

// Replayable reports whether another attempt can read the whole body.
func (b *Body) Replayable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.overflow
}

// Shareable reports whether two attempts can read the whole body concurrently: its length is known and
// fits into the replay buffer.
func (b *Body) Shareable() bool { return b.length >= 0 && b.length <= ReplayLimit }

// attemptBody reads the body for one attempt: the buffered bytes first, then the source.
type attemptBody struct {
	body   *Body
	offset int64
	closed atomic.Bool // not under the body's lock, which is held while a read of the source blocks
}

// Read implements io.Reader.
func (a *attemptBody) Read(p []byte) (int, error) {
	a.body.mu.Lock()
	defer a.body.mu.Unlock()
	if a.closed.Load() {
		return 0, io.ErrClosedPipe
	}
	if a.offset < int64(len(a.body.buffered)) {
		n := copy(p, a.body.buffered[a.offset:])
		a.offset += int64(n)
		return n, nil
	}
	n, err := a.body.readSource(p)
	a.offset += int64(n)
	return n, err
}

// Close implements io.Closer. It leaves the source open for the next attempt.
func (a *attemptBody) Close() error {
	a.closed.Store(true)
	return nil
}

// readSource reads from the source and buffers what it returns. The caller holds the lock.
func (b *Body) readSource(p []byte) (int, error) {
	if b.sourceErr != nil {
		return 0, b.sourceErr
	}
	n, err := b.source.Read(p)
	b.read += int64(n)
	_, _ = b.digest.Write(p[:n])
	if err == nil && b.read == b.length {
		err = io.EOF
	}
	if err == io.EOF {
		b.recordEnd()
		if refused := b.refuseEnd(); refused != nil {
			n, err = 0, refused
		}
	}
	b.sourceErr = err
	if int64(len(b.buffered)+n) > b.limit {
		b.overflow = true
	}
	if !b.overflow {
		b.buffered = append(b.buffered, p[:n]...)
	}
	return n, err
}

// recordEnd records the hash of the body, which has been read to its end.
func (b *Body) recordEnd() {
	hash := b.digest.Sum64()
	b.hash.Store(&hash)
}

// refuseEnd returns the error of checkEnd.
func (b *Body) refuseEnd() error {
	check := b.checkEnd.Load()
	if check == nil {
		return nil
	}
	return (*check)()
}
