package store

import (
	"bytes"
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// ResyncInterval is the maximum time between two full reads of the followed keys. A watch that delivers nothing
// may have nothing to deliver, be stalled or have skipped a change; only a read distinguishes these. 34
// followers cause 1.1 reads per second.
const ResyncInterval = 30 * time.Second

// resyncJitter spreads the reads of followers that started at the same time.
const resyncJitter = 3 * time.Second

// Follow tracks the keys that begin with prefix until ctx ends. It calls update with all entries, ordered
// by key, after the first read and after each change. It starts the watch before it reads, so that no change
// between the two is missed, reads all keys again periodically in case the watch skipped one, and after a failure or in a
// new era of the store starts over with jittered backoff. While the store is unreachable update is not called, and the
// last entries stay valid.
func (c *Client) Follow(ctx context.Context, prefix string, update func([]Entry)) error {
	return c.FollowSnapshots(ctx, prefix, func(s Snapshot) { update(s.Entries) })
}

// FollowSnapshots is Follow with what is known of the moment to which the entries belong.
func (c *Client) FollowSnapshots(ctx context.Context, prefix string, update func(Snapshot)) error {
	f := follower{client: c, prefix: prefix, update: update, backoff: Backoff{MaxDelay: c.MaxRetryDelay}}
	for ctx.Err() == nil {
		f.watch(ctx)
		if err := f.backoff.Wait(ctx); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// follower is the state of one call of Follow.
type follower struct {
	client      *Client
	prefix      string
	update      func(Snapshot)
	era         Era              // of current
	readAt      time.Time        // when the last full read was sent
	current     map[string]Entry // nil before the first read
	backoff     Backoff
	unreachable bool // the last attempt failed and was reported
}

// markUnreachable reports the first of a series of failures. The end of ctx is none.
func (f *follower) markUnreachable(ctx context.Context, cause string) {
	if ctx.Err() != nil {
		return
	}
	if !f.unreachable {
		f.client.Log.Warn("store unreachable, retrying", "prefix", f.prefix, "cause", cause)
		f.client.OnReachable(false)
	}
	f.unreachable = true
}

// watch applies the events of one watch until it breaks, a full read shows that it has missed a change, or the era of the
// store has changed, since revisions of different eras cannot be compared.
func (f *follower) watch(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	era := f.client.Era() // before the first call, so that no change during the calls is missed
	events, err := f.client.Watch(ctx, f.prefix, 0)
	if err == nil {
		_, err = f.read(ctx)
	}
	if err != nil {
		f.markUnreachable(ctx, err.Error())
		return
	}
	f.backoff.Reset()
	f.client.OnReachable(true)
	if f.unreachable {
		f.unreachable = false
		f.client.Log.Info("store reachable again", "prefix", f.prefix)
	}
	timer := time.NewTimer(nextResyncDelay())
	defer timer.Stop()
	for {
		select {
		case event, ok := <-events:
			if !ok {
				f.markUnreachable(ctx, "the watch broke")
				return
			}
			f.apply(event)
		case <-era.Changed:
			return
		case <-timer.C:
			if changed, err := f.read(ctx); err != nil || changed {
				return
			}
			timer.Reset(nextResyncDelay())
		}
	}
}

func nextResyncDelay() time.Duration { return ResyncInterval - rand.N(resyncJitter) }

// read replaces the current entries by those in the store and reports whether they, or the era of the store, differed.
func (f *follower) read(ctx context.Context) (changed bool, err error) {
	read, err := f.client.Read(ctx, f.prefix)
	if err != nil {
		return false, err
	}
	found := make(map[string]Entry, len(read.Entries))
	for _, entry := range read.Entries {
		found[entry.Key] = entry
	}
	sameEra := f.era == read.Era
	f.era, f.readAt = read.Era, read.ReadAt
	if f.current != nil && sameEra && maps.EqualFunc(found, f.current, sameEntry) {
		return false, nil
	}
	f.current = found
	f.publish(nil)
	return true, nil
}

func sameEntry(a, b Entry) bool { return a.Revision == b.Revision && bytes.Equal(a.Value, b.Value) }

// apply applies an event unless a read has already returned a later revision of the key.
func (f *follower) apply(event Event) {
	key := event.Entry.Key
	known, ok := f.current[key]
	switch {
	case ok && known.Revision >= event.Entry.Revision:
		return
	case event.Deleted && !ok:
		return
	case event.Deleted:
		delete(f.current, key)
		f.publish([]Entry{event.Entry})
	default:
		f.current[key] = event.Entry
		f.publish(nil)
	}
}

func (f *follower) publish(removed []Entry) {
	entries := slices.SortedFunc(maps.Values(f.current), func(a, b Entry) int { return strings.Compare(a.Key, b.Key) })
	f.update(Snapshot{Entries: entries, Removed: removed, Era: f.era, ReadAt: f.readAt})
}
