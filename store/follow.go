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

// RereadEvery is the longest time between two reads of followed keys. A watch may be silent because
// nothing changes or because it is stalled or has skipped a change; only a read tells. With 34
// followers it costs 1.1 reads a second.
const RereadEvery = 30 * time.Second

// rereadJitter spreads the reads of followers that began together.
const rereadJitter = 3 * time.Second

// Follow keeps up with the keys that begin with prefix until ctx ends. It calls update with the
// entries, ordered by key, after the first read and after each change. It watches before it reads, so
// that no change between the two is missed, reads again at least every RereadEvery, and after a
// break watches and reads anew with jittered back-off. While the store is away, what update last
// received stands.
func (c *Client) Follow(ctx context.Context, prefix string, update func([]Entry)) error {
	f := follower{client: c, prefix: prefix, update: update, backoff: Backoff{Longest: c.LongestWait}}
	for ctx.Err() == nil {
		f.watch(ctx)
		if err := f.backoff.Wait(ctx); err != nil {
			return err
		}
	}
	return ctx.Err()
}

type follower struct {
	client  *Client
	prefix  string
	update  func([]Entry)
	held    map[string]Entry // nil before the first read
	backoff Backoff
	lost    bool // the last try failed, and a line said so
}

// lose notes that the store cannot be followed.
func (f *follower) lose(cause string) {
	if !f.lost {
		f.client.Log.Warn("store lost", "prefix", f.prefix, "cause", cause)
		f.client.Reached(false)
	}
	f.lost = true
}

// watch follows one watch until it breaks or a read shows that it has missed a change.
func (f *follower) watch(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	events, err := f.client.Watch(ctx, f.prefix, 0)
	if err == nil {
		_, err = f.read(ctx)
	}
	if err != nil {
		f.lose(err.Error())
		return
	}
	f.backoff.Reset()
	f.client.Reached(true)
	if f.lost {
		f.lost = false
		f.client.Log.Info("store regained", "prefix", f.prefix)
	}
	timer := time.NewTimer(nextReread())
	defer timer.Stop()
	for {
		select {
		case event, ok := <-events:
			if !ok {
				f.lose("the watch broke")
				return
			}
			f.apply(event)
		case <-timer.C:
			if changed, err := f.read(ctx); err != nil || changed {
				return
			}
			timer.Reset(nextReread())
		}
	}
}

func nextReread() time.Duration { return RereadEvery - rand.N(rereadJitter) }

// read replaces what is held and reports whether it differed.
func (f *follower) read(ctx context.Context) (changed bool, err error) {
	entries, err := f.client.List(ctx, f.prefix)
	if err != nil {
		return false, err
	}
	found := make(map[string]Entry, len(entries))
	for _, entry := range entries {
		found[entry.Key] = entry
	}
	if f.held != nil && maps.EqualFunc(found, f.held, sameEntry) {
		return false, nil
	}
	f.held = found
	f.publish()
	return true, nil
}

func sameEntry(a, b Entry) bool { return a.Revision == b.Revision && bytes.Equal(a.Value, b.Value) }

// apply takes a change unless a read has brought a later one.
func (f *follower) apply(event Event) {
	key := event.Entry.Key
	held, ok := f.held[key]
	switch {
	case ok && held.Revision >= event.Entry.Revision:
		return
	case event.Deleted && !ok:
		return
	case event.Deleted:
		delete(f.held, key)
	default:
		f.held[key] = event.Entry
	}
	f.publish()
}

func (f *follower) publish() {
	entries := slices.SortedFunc(maps.Values(f.held), func(a, b Entry) int { return strings.Compare(a.Key, b.Key) })
	f.update(entries)
}
