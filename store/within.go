package store

import "context"

// Within returns a view of s that is bound to an era, for calls that name a revision or a lease which was obtained after era
// was read. Once the era has ended, Swap, Delete, RenewLease, RevokeLease and Verify return ErrEraEnded and are not sent. A write that
// is confirmed after the end of the era returns ErrUncertain: its condition may have compared revisions of two eras, or the store
// may have lost it. A Verify that is answered after the end of the era returns ErrEraEnded too. A view of a Client
// shares its rate limit, and a call checks the era after the wait for it.
func Within(s Store, era EraStatus) Store {
	if client, ok := s.(*Client); ok {
		return client.within(era)
	}
	return eraBound{s, era}
}

// within returns a copy of the client whose calls are bound to the era.
func (c *Client) within(era EraStatus) *Client {
	bound := *c
	bound.adapter = Within(c.adapter, era)
	return &bound
}

// eraBound is a Store whose conditional calls are bound to an era.
type eraBound struct {
	Store
	era EraStatus
}

// checkBefore returns an error when the era has ended, so that the call must not be sent.
func (b eraBound) checkBefore(operation string) error {
	if !b.era.Ended() {
		return nil
	}
	return ErrEraEnded.New("%s: not sent, the store has returned from an older copy", operation).WithProperty(PropertyOperation, operation)
}

// checkAfter returns err, or an error when the era has ended before a write without an error was confirmed.
func (b eraBound) checkAfter(operation string, err error) error {
	if err != nil || !b.era.Ended() {
		return err
	}
	return ErrUncertain.New("%s: the store has returned from an older copy before the write was confirmed", operation).
		WithProperty(PropertyOperation, operation)
}

// Swap implements Store.
func (b eraBound) Swap(ctx context.Context, key string, value []byte, revision int64, lease LeaseID) (int64, error) {
	operation := "swap " + key
	if err := b.checkBefore(operation); err != nil {
		return 0, err
	}
	written, err := b.Store.Swap(ctx, key, value, revision, lease)
	return written, b.checkAfter(operation, err)
}

// Delete implements Store.
func (b eraBound) Delete(ctx context.Context, key string, revision int64) error {
	operation := "delete " + key
	if err := b.checkBefore(operation); err != nil {
		return err
	}
	return b.checkAfter(operation, b.Store.Delete(ctx, key, revision))
}

// RenewLease implements Store.
func (b eraBound) RenewLease(ctx context.Context, id LeaseID) error {
	if err := b.checkBefore("renew lease"); err != nil {
		return err
	}
	return b.Store.RenewLease(ctx, id)
}

// RevokeLease implements Store.
func (b eraBound) RevokeLease(ctx context.Context, id LeaseID) error {
	if err := b.checkBefore("revoke lease"); err != nil {
		return err
	}
	return b.Store.RevokeLease(ctx, id)
}

// ListStale implements StaleLister.
func (b eraBound) ListStale(ctx context.Context, prefix string) ([]Entry, error) {
	return ListStale(ctx, b.Store, prefix)
}

// Verify implements Verifier.
func (b eraBound) Verify(ctx context.Context, key string, revision int64) (bool, error) {
	operation := "verify " + key
	if err := b.checkBefore(operation); err != nil {
		return false, err
	}
	unchanged, err := Verify(ctx, b.Store, key, revision)
	if err == nil && b.era.Ended() {
		return false, ErrEraEnded.New("%s: the store has returned from an older copy before the answer", operation).
			WithProperty(PropertyOperation, operation)
	}
	return unchanged, err
}
