package quarantine

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/magnoliawharf/magnoliawharf/caller"
)

const checkStep = "quarantine"

// Crashes is what the node beside an upstream learns of crashes, and asks about requests.
type Crashes struct {
	Suspects *List
	Watch    *Watch
}

// Check refuses a request that the whole fleet keeps away from upstreams. A nil Crashes refuses none.
func (c *Crashes) Check(req *caller.Request) *caller.Refusal {
	if c == nil || !c.Suspects.Quarantined(time.Now(), Fingerprint(req.Fingerprint)) {
		return nil
	}
	return caller.Refuse(caller.Quarantined, checkStep, "")
}

// Sent takes the result of sending a request to the upstream at began. An answer is watched to its
// end.
func (c *Crashes) Sent(ctx context.Context, req *caller.Request, began time.Time, answer *caller.Answer, err error) {
	if c == nil {
		return
	}
	watched := &watchedBody{crashes: c, ctx: ctx, began: began, fingerprint: Fingerprint(req.Fingerprint)}
	if err == nil {
		watched.ReadCloser, watched.left = answer.Body, answer.Length
		answer.Body = watched
		return
	}
	var refusal *caller.Refusal
	if !errors.As(err, &refusal) {
		watched.finish(Lost)
		return
	}
	switch {
	case refusal.Reason == caller.UpstreamUnreachable:
		c.Watch.Ended(time.Now())
	case refusal.Reason == caller.UpstreamLost && refusal.Ran == caller.Unknown:
		watched.finish(Lost)
	}
}

// watchedBody tells how the answer of an upstream ended. One goroutine reads and closes it.
type watchedBody struct {
	io.ReadCloser
	crashes     *Crashes
	ctx         context.Context
	began       time.Time
	fingerprint Fingerprint
	left        int64 // bytes to come, negative when unknown
	done        bool
}

// Read implements io.Reader.
func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.left -= int64(n)
	switch {
	case err == io.EOF || b.left == 0:
		b.finish(Answered)
	case err != nil:
		b.finish(Lost)
	}
	return n, err
}

// Close implements io.Closer.
func (b *watchedBody) Close() error {
	if b.left == 0 {
		b.finish(Answered)
	}
	b.finish(Abandoned)
	return b.ReadCloser.Close()
}

func (b *watchedBody) finish(end End) {
	if b.done {
		return
	}
	b.done = true
	if end == Lost && b.ctx.Err() != nil {
		end = Abandoned // the caller's end broke the connection
	}
	b.crashes.Watch.Finished(time.Now(), b.began, b.fingerprint, end)
}
