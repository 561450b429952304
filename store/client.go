package store

import (
	"bytes"
	"context"
	"log/slog"
	"time"

	"golang.org/x/time/rate"
)

const (
	// DefaultRate, in calls a second, and DefaultBurst, in calls, bound the calls of one node. 3,200 nodes share about 2,000 reads
	// and several hundred writes a second, and only border nodes and keepers call regularly.
	DefaultRate  = 5
	DefaultBurst = 20
	// settleTries bounds the reads and repeats that settle one uncertain write.
	settleTries = 6
)

// Client wraps an adapter with a rate limit for this process and settles uncertain writes. It is a
// Store itself and safe for concurrent use.
type Client struct {
	// LongestWait bounds the waits of Follow between two tries. 0 stands for 8 s. It is set before use.
	LongestWait time.Duration
	// Log gets a line when a follower loses the store and when it is back. It is set before use; nil logs nothing.
	Log *slog.Logger
	// Reached is told whether a follower reaches the store, at each change. It is set before use and must not block.
	Reached func(reached bool)

	adapter Store
	limiter *rate.Limiter
}

var _ Store = (*Client)(nil)

// NewClient returns a client that makes at most perSecond calls a second on average, with bursts of
// up to burst calls. Values of 0 stand for DefaultRate and DefaultBurst.
func NewClient(adapter Store, perSecond float64, burst int) *Client {
	if perSecond <= 0 {
		perSecond = DefaultRate
	}
	if burst <= 0 {
		burst = DefaultBurst
	}
	return &Client{Log: slog.New(slog.DiscardHandler), Reached: func(bool) {}, adapter: adapter, limiter: rate.NewLimiter(rate.Limit(perSecond), burst)}
}

// admit waits for the rate limit.
func (c *Client) admit(ctx context.Context, step string) error {
	if err := c.limiter.Wait(ctx); err != nil {
		return ErrUnavailable.Wrap(err, "%s: rate limit of this process", step).WithProperty(PropertyStep, step)
	}
	return nil
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	if err := c.admit(ctx, "get "+key); err != nil {
		return Entry{}, err
	}
	return c.adapter.Get(ctx, key)
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) ([]Entry, error) {
	if err := c.admit(ctx, "list "+prefix); err != nil {
		return nil, err
	}
	return c.adapter.List(ctx, prefix)
}

// Swap implements Store. An uncertain swap is settled: when the key holds value at another revision
// than the expected one, the swap has succeeded, so racing writers must write different values.
// ErrUncertain remains when the key was overwritten since or the store does not come back in time.
func (c *Client) Swap(ctx context.Context, key string, value []byte, revision int64, lease LeaseID) (int64, error) {
	written, err := c.swap(ctx, key, value, revision, lease)
	if !Is(err, ErrUncertain) {
		return written, err
	}
	var backoff Backoff
	for range settleTries {
		if backoff.Wait(ctx) != nil {
			return 0, err
		}
		held, readErr := c.Get(ctx, key)
		if readErr != nil && !Is(readErr, ErrNotFound) {
			continue
		}
		if held.Revision == revision {
			// The write has not arrived, and may still do so. Repeating the same swap settles it,
			// because at most one of the two can find the expected revision.
			written, again := c.swap(ctx, key, value, revision, lease)
			if again == nil || Is(again, ErrLeaseLapsed) {
				return written, again
			}
			continue
		}
		if held.Revision != 0 && bytes.Equal(held.Value, value) {
			return held.Revision, nil
		}
		return 0, ErrUncertain.Wrap(err, "%s was overwritten before its write was confirmed", key)
	}
	return 0, err
}

func (c *Client) swap(ctx context.Context, key string, value []byte, revision int64, lease LeaseID) (int64, error) {
	if err := c.admit(ctx, "swap "+key); err != nil {
		return 0, err
	}
	return c.adapter.Swap(ctx, key, value, revision, lease)
}

// Delete implements Store. An uncertain delete is settled: it has succeeded when the key is gone or
// has been written anew.
func (c *Client) Delete(ctx context.Context, key string, revision int64) error {
	err := c.remove(ctx, key, revision)
	if !Is(err, ErrUncertain) {
		return err
	}
	var backoff Backoff
	for range settleTries {
		if backoff.Wait(ctx) != nil {
			return err
		}
		held, readErr := c.Get(ctx, key)
		switch {
		case readErr != nil && !Is(readErr, ErrNotFound):
		case held.Revision != revision:
			return nil
		case c.remove(ctx, key, revision) == nil:
			return nil
		}
	}
	return err
}

func (c *Client) remove(ctx context.Context, key string, revision int64) error {
	if err := c.admit(ctx, "delete "+key); err != nil {
		return err
	}
	return c.adapter.Delete(ctx, key, revision)
}

// GrantLease implements Store. A lease whose answer was lost lapses by itself.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	if err := c.admit(ctx, "grant lease"); err != nil {
		return 0, err
	}
	return c.adapter.GrantLease(ctx, ttl)
}

// RenewLease implements Store.
func (c *Client) RenewLease(ctx context.Context, id LeaseID) error {
	if err := c.admit(ctx, "renew lease"); err != nil {
		return err
	}
	return c.adapter.RenewLease(ctx, id)
}

// RevokeLease implements Store.
func (c *Client) RevokeLease(ctx context.Context, id LeaseID) error {
	if err := c.admit(ctx, "revoke lease"); err != nil {
		return err
	}
	return c.adapter.RevokeLease(ctx, id)
}

// Watch implements Store. Follow is the way to keep up with keys over breaks.
func (c *Client) Watch(ctx context.Context, prefix string, after int64) (<-chan Event, error) {
	if err := c.admit(ctx, "watch "+prefix); err != nil {
		return nil, err
	}
	return c.adapter.Watch(ctx, prefix, after)
}
