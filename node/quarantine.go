package node

import (
	"context"
	"io"
	"time"

	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/quarantine"
)

const quarantineStep = "quarantine"

// Guard refuses requests in quarantine at the entry node and passes all others on. It implements
// CallDispatcher.
type Guard struct {
	Suspects *quarantine.List
	Next     CallDispatcher
}

// Dispatch implements CallDispatcher.
func (g *Guard) Dispatch(ctx context.Context, req *caller.Request) (*caller.Answer, error) {
	fingerprint := quarantine.Fingerprint(req.Fingerprint)
	decision, after := g.Suspects.Admit(time.Now(), fingerprint)
	if decision == quarantine.Refuse {
		refusal := caller.Refuse(caller.Quarantined, quarantineStep, "")
		refusal.RetryAfter = after
		return nil, refusal
	}
	answer, err := g.Next.Dispatch(ctx, req)
	if decision == quarantine.Trial && err != nil && asRefusal(ctx, err).Ran == caller.NotRun {
		g.Suspects.TrialEnded(fingerprint)
	}
	return answer, err
}

// Crashes is what the node beside an upstream learns of crashes, and asks about requests.
type Crashes struct {
	Suspects *quarantine.List
	Watch    *quarantine.Watch
}

// check refuses a request that the whole fleet keeps away from upstreams. A nil Crashes refuses none.
func (c *Crashes) check(req *caller.Request) *caller.Refusal {
	if c == nil || !c.Suspects.Quarantined(time.Now(), quarantine.Fingerprint(req.Fingerprint)) {
		return nil
	}
	return caller.Refuse(caller.Quarantined, quarantineStep, "")
}

// sent takes the result of sending a request to the upstream at began. An answer is watched to its
// end.
func (c *Crashes) sent(ctx context.Context, req *caller.Request, began time.Time, answer *caller.Answer, err error) {
	if c == nil {
		return
	}
	watched := &watchedBody{crashes: c, ctx: ctx, began: began, fingerprint: quarantine.Fingerprint(req.Fingerprint)}
	if err == nil {
		watched.ReadCloser, watched.left = answer.Body, answer.Length
		answer.Body = watched
		return
	}
	refusal := asRefusal(ctx, err)
	switch {
	case refusal.Reason == caller.UpstreamUnreachable:
		c.Watch.Ended(time.Now())
	case refusal.Reason == caller.UpstreamLost && refusal.Ran == caller.Unknown:
		watched.finish(quarantine.Lost)
	}
}

// watchedBody tells how the answer of an upstream ended. One goroutine reads and closes it.
type watchedBody struct {
	io.ReadCloser
	crashes     *Crashes
	ctx         context.Context
	began       time.Time
	fingerprint quarantine.Fingerprint
	left        int64 // bytes to come, negative when unknown
	done        bool
}

// Read implements io.Reader.
func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.left -= int64(n)
	switch {
	case err == io.EOF || b.left == 0:
		b.finish(quarantine.Answered)
	case err != nil:
		b.finish(quarantine.Lost)
	}
	return n, err
}

// Close implements io.Closer.
func (b *watchedBody) Close() error {
	if b.left == 0 {
		b.finish(quarantine.Answered)
	}
	b.finish(quarantine.Abandoned)
	return b.ReadCloser.Close()
}

func (b *watchedBody) finish(end quarantine.End) {
	if b.done {
		return
	}
	b.done = true
	if end == quarantine.Lost && b.ctx.Err() != nil {
		end = quarantine.Abandoned // the caller's end broke the connection
	}
	b.crashes.Watch.Finished(time.Now(), b.began, b.fingerprint, end)
}
