package store

import (
	"bytes"
	"context"
	"log/slog"
	"time"

	"golang.org/x/time/rate"
)

const (
	// DefaultRate, in calls per second, and DefaultBurst, in calls, limit the calls of one node. 3,200 nodes share
	// about 2,000 reads and several hundred writes per second, and only border nodes and keepers call regularly.
	DefaultRate  = 5
	DefaultBurst = 20
	// maxResolveAttempts bounds the read and retry rounds that determine the outcome of one uncertain write.
	maxResolveAttempts = 6
	// keptRetryDelay is the maximum delay between two reads that check a key in a new era.
	keptRetryDelay = 2 * time.Second
)

// Client adds a rate limit per process to an adapter and determines the outcome of uncertain writes. It
// implements Store and is safe for concurrent use.
type Client struct {
	// MaxRetryDelay is the maximum delay between two attempts of Follow. 0 means 8 s. It is set before use.
	MaxRetryDelay time.Duration
	// Log records when Follow loses the store and when it reaches it again. The default
	// discards records. It is set before use and must not be nil.
	Log *slog.Logger
	// OnReachable is called by Follow when it loses the store, and with true whenever it has started a watch. It is set
	// before use and must not block.
	OnReachable func(reached bool)

	adapter Store
	limiter *rate.Limiter
}

var (
	_ Store    = (*Client)(nil)
	_ Verifier = (*Client)(nil)
)

// NewClient returns a client that makes at most perSecond calls per second on average, with bursts of
// up to burst calls. Values of 0 mean DefaultRate and DefaultBurst.
func NewClient(adapter Store, perSecond float64, burst int) *Client {
	if perSecond <= 0 {
		perSecond = DefaultRate
	}
	if burst <= 0 {
		burst = DefaultBurst
	}
	return &Client{Log: slog.New(slog.DiscardHandler), OnReachable: func(bool) {}, adapter: adapter, limiter: rate.NewLimiter(rate.Limit(perSecond), burst)}
}

// waitRateLimit blocks until the rate limit permits another call. operation names the call in the error.
func (c *Client) waitRateLimit(ctx context.Context, operation string) error {
	if err := c.limiter.Wait(ctx); err != nil {
		return ErrRateLimited.Wrap(err, "%s: wait for the rate limit of this process", operation).WithProperty(PropertyOperation, operation)
	}
	return nil
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	if err := c.waitRateLimit(ctx, "get "+key); err != nil {
		return Entry{}, err
	}
	return c.adapter.Get(ctx, key)
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) ([]Entry, error) {
	if err := c.waitRateLimit(ctx, "list "+prefix); err != nil {
		return nil, err
	}
	return c.adapter.List(ctx, prefix)
}

// ListStale implements StaleLister.
func (c *Client) ListStale(ctx context.Context, prefix string) ([]Entry, error) {
	if err := c.waitRateLimit(ctx, "list "+prefix); err != nil {
		return nil, err
	}
	return ListStale(ctx, c.adapter, prefix)
}

// Verify implements Verifier. It returns ErrEraEnded when the era changed before the call was answered.
func (c *Client) Verify(ctx context.Context, key string, revision int64) (bool, error) {
	bound := c.within(c.Era())
	if err := c.waitRateLimit(ctx, "verify "+key); err != nil {
		return false, err
	}
	return Verify(ctx, bound.adapter, key, revision)
}

// Swap implements Store. It determines the outcome of an uncertain swap by reading the key: when the key
// holds value at a revision other than the expected one, the swap has succeeded, so concurrent writers must
// write different values. It returns ErrUncertain when the key was overwritten in the meantime, the era of the
// store has changed, or the store does not recover in time, and ErrEraEnded when the era changed before the call was sent.
func (c *Client) Swap(ctx context.Context, key string, value []byte, revision int64, lease LeaseID) (int64, error) {
	era := c.Era()
	bound := c.within(era)
	written, err := bound.swapOnce(ctx, key, value, revision, lease)
	if !Is(err, ErrUncertain) || era.Ended() {
		return written, err
	}
	var backoff Backoff
	for range maxResolveAttempts {
		if backoff.Wait(ctx) != nil {
			return 0, err
		}
		current, readErr := c.Get(ctx, key)
		if era.Ended() {
			return 0, ErrUncertain.Wrap(err, "the era of the store changed before the write of %s was confirmed", key)
		}
		if readErr != nil && !Is(readErr, ErrNotFound) {
			continue
		}
		if current.Revision == revision {
			// The write has not taken effect, but may still do so. Repeating the same swap is safe,
			// because at most one of the two can find the expected revision.
			written, retryErr := bound.swapOnce(ctx, key, value, revision, lease)
			if retryErr == nil || Is(retryErr, ErrLeaseLapsed) {
				return written, retryErr
			}
			continue
		}
		if current.Revision != 0 && bytes.Equal(current.Value, value) {
			return current.Revision, nil
		}
		return 0, ErrUncertain.Wrap(err, "%s was overwritten before its write was confirmed", key)
	}
	return 0, err
}

func (c *Client) swapOnce(ctx context.Context, key string, value []byte, revision int64, lease LeaseID) (int64, error) {
	if err := c.waitRateLimit(ctx, "swap "+key); err != nil {
		return 0, err
	}
	return c.adapter.Swap(ctx, key, value, revision, lease)
}

// Put writes a key that no other process writes, whatever its revision.
func Put(ctx context.Context, s Store, key string, value []byte, lease LeaseID) error {
	_, err := s.Swap(ctx, key, value, 0, lease)
	if !Is(err, ErrConflict) {
		return err
	}
	current, err := s.Get(ctx, key)
	if err != nil && !Is(err, ErrNotFound) {
		return err
	}
	_, err = s.Swap(ctx, key, value, current.Revision, lease)
	return err
}

// IsKept reports whether the store has the key with the value under the lease. It asks again until the store answers or ctx
// ends.
func IsKept(ctx context.Context, s Store, key string, value []byte, lease LeaseID) bool {
	backoff := Backoff{MaxDelay: keptRetryDelay}
	for {
		current, err := s.Get(ctx, key)
		switch {
		case err == nil:
			return current.Lease == lease && bytes.Equal(current.Value, value)
		case Is(err, ErrNotFound) || backoff.Wait(ctx) != nil:
			return false
		}
	}
}

// Delete implements Store. It determines the outcome of an uncertain delete by reading the key: the delete
// has succeeded when the key does not exist or has been written again. It returns ErrUncertain when the era of the store
// has changed or the store does not recover in time, and ErrEraEnded when the era changed before the call was sent.
func (c *Client) Delete(ctx context.Context, key string, revision int64) error {
	era := c.Era()
	bound := c.within(era)
	err := bound.deleteOnce(ctx, key, revision)
	if !Is(err, ErrUncertain) || era.Ended() {
		return err
	}
	var backoff Backoff
	for range maxResolveAttempts {
		if backoff.Wait(ctx) != nil {
			return err
		}
		current, readErr := c.Get(ctx, key)
		switch {
		case era.Ended():
			return ErrUncertain.Wrap(err, "the era of the store changed before the delete of %s was confirmed", key)
		case readErr != nil && !Is(readErr, ErrNotFound):
		case current.Revision != revision:
			return nil
		case bound.deleteOnce(ctx, key, revision) == nil:
			return nil
		}
	}
	return err
}

func (c *Client) deleteOnce(ctx context.Context, key string, revision int64) error {
	if err := c.waitRateLimit(ctx, "delete "+key); err != nil {
		return err
	}
	return c.adapter.Delete(ctx, key, revision)
}

// GrantLease implements Store. A lease whose response was lost lapses by itself.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	if err := c.waitRateLimit(ctx, "grant lease"); err != nil {
		return 0, err
	}
	return c.adapter.GrantLease(ctx, ttl)
}

// RenewLease implements Store. It returns ErrEraEnded when the era changed before the call was sent.
func (c *Client) RenewLease(ctx context.Context, id LeaseID) error {
	bound := c.within(c.Era())
	if err := c.waitRateLimit(ctx, "renew lease"); err != nil {
		return err
	}
	return bound.adapter.RenewLease(ctx, id)
}

// RevokeLease implements Store. It returns ErrEraEnded when the era changed before the call was sent.
func (c *Client) RevokeLease(ctx context.Context, id LeaseID) error {
	bound := c.within(c.Era())
	if err := c.waitRateLimit(ctx, "revoke lease"); err != nil {
		return err
	}
	return bound.adapter.RevokeLease(ctx, id)
}

// Era implements Store.
func (c *Client) Era() EraStatus { return c.adapter.Era() }

// Watch implements Store. It does not reconnect when the watch breaks; Follow does.
func (c *Client) Watch(ctx context.Context, prefix string, after int64) (<-chan Event, error) {
	if err := c.waitRateLimit(ctx, "watch "+prefix); err != nil {
		return nil, err
	}
	return c.adapter.Watch(ctx, prefix, after)
}
