package kvhttp

import (
	"context"
	"fmt"
	"time"

	"github.com/magnoliawharf/magnoliawharf/store"
	"github.com/magnoliawharf/magnoliawharf/store/kvhttp/wire"
)

// Get implements store.Store.
func (c *Client) Get(ctx context.Context, key string) (store.Entry, error) {
	op := operation{name: "get " + key, path: wire.PathRange}
	var out wire.RangeResponse
	if err := c.do(ctx, op, wire.RangeRequest{Key: []byte(key)}, &out); err != nil {
		return store.Entry{}, err
	}
	if len(out.KVs) == 0 {
		return store.Entry{}, store.ErrNotFound.New("%s at %s", op.name, c.endpoint)
	}
	return entryOf(out.KVs[0]), nil
}

// List implements store.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]store.Entry, error) {
	op := operation{name: "list " + prefix, path: wire.PathRange}
	if prefix == "" {
		return nil, c.callError(op, false, errEmptyPrefix)
	}
	var out wire.RangeResponse
	in := wire.RangeRequest{Key: []byte(prefix), RangeEnd: wire.PrefixEnd([]byte(prefix))}
	if err := c.do(ctx, op, in, &out); err != nil {
		return nil, err
	}
	entries := make([]store.Entry, len(out.KVs))
	for i, kv := range out.KVs {
		entries[i] = entryOf(kv)
	}
	return entries, nil
}

// Swap implements store.Store.
func (c *Client) Swap(ctx context.Context, key string, value []byte, revision int64, lease store.LeaseID) (int64, error) {
	put := &wire.Put{Key: []byte(key), Value: value, Lease: int64(lease)}
	return c.txn(ctx, "swap "+key, key, revision, wire.Operation{Put: put})
}

// Delete implements store.Store.
func (c *Client) Delete(ctx context.Context, key string, revision int64) error {
	if revision == 0 {
		return store.ErrConflict.New("delete %s at revision 0", key)
	}
	_, err := c.txn(ctx, "delete "+key, key, revision, wire.Operation{DeleteRange: &wire.DeleteRange{Key: []byte(key)}})
	return err
}

// txn executes write if the key is at revision, and returns the revision of the write.
func (c *Client) txn(ctx context.Context, name, key string, revision int64, write wire.Operation) (int64, error) {
	in := wire.TxnRequest{
		Compare: []wire.Compare{{Result: "EQUAL", Target: "MOD", Key: []byte(key), ModRevision: revision}},
		Success: []wire.Operation{write},
	}
	var out wire.TxnResponse
	if err := c.do(ctx, operation{name: name, path: wire.PathTxn, writes: true}, in, &out); err != nil {
		return 0, err
	}
	if !out.Succeeded {
		return 0, store.ErrConflict.New("%s at revision %d at %s", name, revision, c.endpoint)
	}
	return out.Header.Revision, nil
}

// GrantLease implements store.Store. The ttl is rounded up to whole seconds.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	seconds := int64((ttl + time.Second - 1) / time.Second)
	var out wire.Lease
	op := operation{name: "grant lease", path: wire.PathLeaseGrant, writes: true}
	if err := c.do(ctx, op, wire.Lease{TTL: seconds}, &out); err != nil {
		return 0, err
	}
	return store.LeaseID(out.ID), nil
}

// RenewLease implements store.Store.
func (c *Client) RenewLease(ctx context.Context, id store.LeaseID) error {
	op := operation{name: fmt.Sprintf("renew lease %d", id), path: wire.PathLeaseKeepAlive}
	var out wire.KeepAliveResponse
	if err := c.do(ctx, op, wire.Lease{ID: int64(id)}, &out); err != nil {
		return err
	}
	if out.Error != nil {
		return c.callError(op, false, fmt.Errorf("error in stream: %s", out.Error.Message))
	}
	if out.Result.TTL <= 0 {
		return store.ErrLeaseLapsed.New("%s at %s", op.name, c.endpoint)
	}
	return nil
}

// RevokeLease implements store.Store. A lease that no longer exists counts as revoked.
func (c *Client) RevokeLease(ctx context.Context, id store.LeaseID) error {
	op := operation{name: fmt.Sprintf("revoke lease %d", id), path: wire.PathLeaseRevoke, writes: true}
	var out struct{}
	err := c.do(ctx, op, wire.Lease{ID: int64(id)}, &out)
	if store.Is(err, store.ErrLeaseLapsed) {
		return nil
	}
	return err
}

// Watch implements store.Store.
func (c *Client) Watch(ctx context.Context, prefix string, after int64) (<-chan store.Event, error) {
	op := operation{name: "watch " + prefix, path: wire.PathWatch}
	if prefix == "" {
		return nil, c.callError(op, false, errEmptyPrefix)
	}
	create := wire.WatchCreate{Key: []byte(prefix), RangeEnd: wire.PrefixEnd([]byte(prefix))}
	if after > 0 {
		create.StartRevision = after + 1
	}
	ctx, cancel := context.WithCancel(ctx)
	createTimer := time.AfterFunc(c.timeout, cancel)
	response, err := c.send(ctx, op, wire.WatchRequest{Create: create})
	if err != nil {
		cancel()
		return nil, err
	}
	stream := newMessageDecoder(response.Body)
	var first wire.WatchResponse
	err = stream.Decode(&first)
	if err == nil && !first.Result.Created {
		err = fmt.Errorf("gateway did not confirm the watch")
	}
	if !createTimer.Stop() && err == nil {
		err = context.DeadlineExceeded
	}
	if err != nil {
		cancel()
		response.Body.Close()
		return nil, c.callError(op, false, err)
	}
	events := make(chan store.Event)
	go func() {
		defer cancel()
		defer close(events)
		defer response.Body.Close()
		forwardEvents(ctx, stream, events)
	}()
	return events, nil
}

// forwardEvents sends the changes in stream to events until the stream or ctx ends.
func forwardEvents(ctx context.Context, stream *messageDecoder, events chan<- store.Event) {
	for {
		var message wire.WatchResponse
		if err := stream.Decode(&message); err != nil || message.Error != nil || message.Result.Canceled {
			return
		}
		for _, event := range message.Result.Events {
			select {
			case events <- store.Event{Entry: entryOf(event.KV), Deleted: event.Type == wire.EventDelete}:
			case <-ctx.Done():
				return
			}
		}
	}
}

func entryOf(kv wire.KeyValue) store.Entry {
	return store.Entry{Key: string(kv.Key), Value: kv.Value, Revision: kv.ModRevision, Lease: store.LeaseID(kv.Lease)}
}
