package store

import (
	"context"
	"time"
)

// Snapshot is the entries below a prefix at one moment. A watch may skip changes, so a key that is missing from a snapshot was removed only
// if Removed says so, or if the holder of an earlier state had it before ReadAt.
type Snapshot struct {
	Entries []Entry   // ordered by key
	Removed []Entry   // keys whose removal led to this snapshot, with the revisions of the removals
	Era     Era       // of the store, 0 when it has none
	ReadAt  time.Time // the entries include all changes that the store had acknowledged then
}

// maxReads bounds the reads of one snapshot.
const maxReads = 3

// Read reads the entries below the prefix. It reads again when the era of the store changes meanwhile, since the entries
// may belong to either era.
func (c *Client) Read(ctx context.Context, prefix string) (Snapshot, error) {
	for range maxReads {
		era, readAt := c.Era(), time.Now()
		entries, err := c.List(ctx, prefix)
		if err != nil {
			return Snapshot{}, err
		}
		s := Snapshot{Entries: entries, Era: c.Era().Current, ReadAt: readAt}
		if !era.Ended() {
			return s, nil
		}
	}
	return Snapshot{}, ErrUnavailable.New("list %s: the era of the store changes", prefix)
}
