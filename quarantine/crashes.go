package quarantine

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/magnoliawharf/magnoliawharf/caller"
)

const checkStep = "quarantine"

// CrashMonitor is used by the node beside an upstream to refuse requests in quarantine and to record the
// results of the requests that it sends.
type CrashMonitor struct {
	Suspects *List
	Detector *CrashDetector
}

// Check returns the refusal of a request that is in quarantine, else nil. A nil receiver refuses nothing.
func (c *CrashMonitor) Check(req *caller.Request) *caller.Refusal {
	if c == nil || !c.Suspects.Quarantined(time.Now(), Fingerprint(req.Fingerprint)) {
		return nil
	}
	return caller.Refuse(caller.Quarantined, checkStep, "")
}

// RecordResult records the result of a request that was sent to the upstream at began. It wraps the body of a
// response to record how the response ends. A nil receiver records nothing.
func (c *CrashMonitor) RecordResult(ctx context.Context, req *caller.Request, began time.Time, answer *caller.Answer, err error) {
	if c == nil {
		return
	}
	watched := &watchedBody{crashes: c, ctx: ctx, began: began, fingerprint: Fingerprint(req.Fingerprint)}
	if err == nil {
		watched.ReadCloser, watched.remaining = answer.Body, answer.Length
		answer.Body = watched
		return
	}
	var refusal *caller.Refusal
	if !errors.As(err, &refusal) {
		watched.finish(ConnectionLost)
		return
	}
	switch {
	case refusal.Reason == caller.UpstreamUnreachable:
		c.Detector.ProcessEnded(time.Now())
	case (refusal.Reason == caller.UpstreamLost || refusal.Reason == caller.KeptConnectionLost) && refusal.Ran == caller.Unknown:
		watched.finish(ConnectionLost)
	}
}

// watchedBody records how the response of an upstream ended. One goroutine reads and closes it.
type watchedBody struct {
	io.ReadCloser
	crashes     *CrashMonitor
	ctx         context.Context
	began       time.Time
	fingerprint Fingerprint
	remaining   int64 // bytes not yet read, negative when unknown
	finished    bool
}

// Read implements io.Reader.
func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.remaining -= int64(n)
	switch {
	case err == io.EOF || b.remaining == 0:
		b.finish(Answered)
	case err != nil:
		b.finish(ConnectionLost)
	}
	return n, err
}

// Close implements io.Closer.
func (b *watchedBody) Close() error {
	if b.remaining == 0 {
		b.finish(Answered)
	}
	b.finish(Abandoned)
	return b.ReadCloser.Close()
}

func (b *watchedBody) finish(end Outcome) {
	if b.finished {
		return
	}
	b.finished = true
	if end == ConnectionLost && b.ctx.Err() != nil {
		end = Abandoned // the connection was closed because the call was given up
	}
	b.crashes.Detector.RequestFinished(time.Now(), b.began, b.fingerprint, end)
}
