package quarantine

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/magnoliawharf/magnoliawharf/caller"
)

const (
	checkStep = "quarantine"
	// restTimeout is how long the rest of a body is read whose upstream was lost, to tell the request from others.
	restTimeout = 500 * time.Millisecond
	// maxBodyReadFirst is the size in bytes of the largest body that is read to its end before the request is sent. A node holds one
	// for each slot of its upstream at most.
	maxBodyReadFirst = 1 << 20
)

// CrashMonitor is used by the node beside an upstream to refuse requests in quarantine and to record the
// results of the requests that it sends.
type CrashMonitor struct {
	Suspects *List
	Detector *CrashDetector
}

// Check returns the refusal of a request that is in quarantine, else nil. A request whose body has not been read is checked when its body
// ends: the upstream then does not get the end. When requests with its head have crashed upstreams, which an incomplete one may do as
// well, its body is read first. A nil receiver refuses nothing.
func (c *CrashMonitor) Check(ctx context.Context, req *caller.Request) *caller.Refusal {
	if c == nil {
		return nil
	}
	if !req.OpenFingerprint {
		return c.check(req)
	}
	if c.Suspects.Quarantined(time.Now(), Fingerprint(req.Fingerprint)) {
		req.Body.ReadFirst(ctx, maxBodyReadFirst)
	}
	req.Body.CheckEnd(func() error {
		if refusal := c.check(req); refusal != nil {
			return refusal
		}
		return nil
	})
	if _, known := req.Identity(); known {
		return c.check(req)
	}
	return nil
}

// check returns the refusal of a request whose identity is known.
func (c *CrashMonitor) check(req *caller.Request) *caller.Refusal {
	if fingerprint, _ := req.Identity(); c.Suspects.Quarantined(time.Now(), Fingerprint(fingerprint)) {
		return caller.Refuse(caller.Quarantined, checkStep, "")
	}
	return nil
}

// RecordResult records the result of a request that was sent to the upstream at began. It wraps the body of a
// response to record how the response ends. A nil receiver records nothing.
func (c *CrashMonitor) RecordResult(ctx context.Context, req *caller.Request, began time.Time, answer *caller.Answer, err error) {
	if c == nil {
		return
	}
	watched := &watchedBody{crashes: c, ctx: ctx, began: began, req: req}
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
	crashes   *CrashMonitor
	ctx       context.Context
	began     time.Time
	req       *caller.Request
	remaining int64 // bytes not yet read, negative when unknown
	finished  bool
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
	_, known := b.req.Identity()
	if mayResend := b.req.Placement == nil || b.req.Placement.Repeatable; !known && end == ConnectionLost && !mayResend {
		b.req.Body.ReadRest(min(restTimeout, time.Until(b.req.Deadline)))
	}
	if b.req.OpenFingerprint && end == ConnectionLost {
		b.crashes.Detector.RequestFinished(time.Now(), b.began, Fingerprint(b.req.Fingerprint), end) // of its head, see Check
	}
	fingerprint, known := b.req.Identity()
	if known {
		b.crashes.Detector.RequestFinished(time.Now(), b.began, Fingerprint(fingerprint), end)
		return
	}
	b.crashes.Detector.UnidentifiedFinished(b.began, end)
}

// AdmitRequest decides as Admit does on a request at its entry node. One whose body has not been read passes: the node beside the upstream
// checks it at the end of its body.
func (l *List) AdmitRequest(now time.Time, req *caller.Request) (Decision, time.Duration) {
	return decideOn(req, func(f Fingerprint) (Decision, time.Duration) { return l.Admit(now, f) })
}

// PreviewRequest returns what AdmitRequest would decide. It starts no trial.
func (l *List) PreviewRequest(now time.Time, req *caller.Request) (Decision, time.Duration) {
	return decideOn(req, func(f Fingerprint) (Decision, time.Duration) { return l.Preview(now, f) })
}

func decideOn(req *caller.Request, decide func(Fingerprint) (Decision, time.Duration)) (Decision, time.Duration) {
	if fingerprint, known := req.Identity(); known {
		return decide(Fingerprint(fingerprint))
	}
	return Pass, 0
}
