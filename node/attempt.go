package node

import (
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/link"
)

// try sends the request to the chosen upstream, with a hedge when the route allows one.
func (c *call) try(ctx context.Context, chosen *link.Link) (*caller.Answer, *caller.Refusal) {
	if c.kind == link.Short && caller.MayHedge(c.route, c.req.Body, c.retried) {
		if after := chosen.HedgeAfter(); after > 0 {
			return c.tryWithHedge(ctx, chosen, after)
		}
	}
	return c.attempt(ctx, chosen, len(c.tried), nil)
}

// attempt sends the request over one link. number is the number of the attempt within the call. done,
// which may be nil, is called when the attempt ends: when it is refused, or when the body of its
// response is closed.
func (c *call) attempt(ctx context.Context, over *link.Link, number int, done func()) (*caller.Answer, *caller.Refusal) {
	// Each attempt has its own copy, since a hedge runs concurrently with the first attempt.
	req := *c.req
	req.Attempt += number - 1
	token := over.Begin(time.Now(), c.kind)
	answer, report, err := c.Forward.Forward(ctx, &req, over.Record())
	if err != nil {
		refusal := asRefusal(ctx, err)
		over.End(time.Now(), token, resultOf(ctx, refusal), report)
		if done != nil {
			done()
		}
		return nil, refusal
	}
	result := link.Served
	if answer.Failed() {
		result = link.ServerError
	}
	over.RecordAnswer(time.Now(), token, result, report)
	body := &attemptBody{ReadCloser: answer.Body}
	body.onClose = func() {
		if body.broken.Load() && ctx.Err() == nil {
			result = link.ConnectionLost
		}
		over.End(time.Now(), token, result, nil)
		if done != nil {
			done()
		}
	}
	answer.Body = body
	return answer, nil
}

// resultOf returns the result of a refused attempt for the statistics of its link.
func resultOf(ctx context.Context, refusal *caller.Refusal) link.Result {
	switch {
	case refusal.Ran == caller.NotRun && refusal.Reason == caller.PeerUnreachable && ctx.Err() == nil:
		return link.Unreachable
	case refusal.Ran == caller.NotRun:
		return link.Refused
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return link.TimedOut
	case ctx.Err() != nil:
		return link.Cancelled
	default:
		return link.ConnectionLost
	}
}

// attemptBody calls onClose once, when the body of the response is closed.
type attemptBody struct {
	io.ReadCloser
	onClose func()
	once    sync.Once
	broken  atomic.Bool // a Read failed before the end of the body
}

// Read implements io.Reader.
func (b *attemptBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && err != io.EOF {
		b.broken.Store(true)
	}
	return n, err
}

// Close implements io.Closer.
func (b *attemptBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(b.onClose)
	return err
}
