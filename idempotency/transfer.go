package idempotency

import (
	"slices"
	"time"
)

const (
	// chunkKeys and chunkBytes bound one message of a hand-over.
	chunkKeys  = 512
	chunkBytes = 256 << 10
	// entryOverhead estimates the bytes of one key in a chunk besides its answer.
	entryOverhead = 64
)

// HandOverItem is one key of a table in a hand-over.
type HandOverItem struct {
	Key      Key
	State    uint8
	Holder   Attempt
	TimeLeft time.Duration // of the holder's call
	Answer   *Answer
	NotRun   []Attempt // attempts that settled as not run
}

// Valid reports whether the item is within its bounds.
func (i *HandOverItem) Valid() bool {
	return i.Key.Valid() && i.State <= uint8(done) && len(i.NotRun) <= maxNotRun &&
		i.TimeLeft >= 0 && i.TimeLeft <= MaxTimeLeft && i.Answer.size() <= maxAnswerSize
}

// MaxTimeLeft bounds the time to a call's deadline in messages.
const MaxTimeLeft = 24 * time.Hour

// HandOverChunk is one bounded message of a hand-over: keys that From owned in the ended epoch.
type HandOverChunk struct {
	Service     string
	From        Identity
	To          Identity
	Epoch       uint64 // epoch that ended
	TargetEpoch uint64 // epoch in which To owns the keys
	Number      uint32 // from 0
	Last        bool
	Horizon     int64 // keys issued at or before it may be missing (ms, Unix)
	Items       []HandOverItem
}

// export returns the keys for which match reports true, in chunks. The caller must keep claims from
// being granted meanwhile.
func (t *Table) export(now Instant, match func(Key) bool) []HandOverChunk {
	chunks := []HandOverChunk{{}}
	size := 0
	t.keys.Range(func(key Key, e entry) bool {
		if !match(key) {
			return true
		}
		last := &chunks[len(chunks)-1]
		if len(last.Items) >= chunkKeys || size > chunkBytes {
			chunks = append(chunks, HandOverChunk{})
			last, size = &chunks[len(chunks)-1], 0
		}
		last.Items = append(last.Items, HandOverItem{
			Key: key, State: uint8(e.state), Holder: e.holder, TimeLeft: max(0, e.deadline-now.Mono),
			Answer: e.answer, NotRun: slices.Clone(e.notRun),
		})
		size += entryOverhead + e.answer.size()
		return true
	})
	for i := range chunks {
		chunks[i].Number, chunks[i].Horizon = uint32(i), t.horizon.Load()
	}
	chunks[len(chunks)-1].Last = true
	return chunks
}

// importChunk merges the items of a chunk into the table and reports whether there was room for all
// of them.
func (t *Table) importChunk(now Instant, chunk HandOverChunk) bool {
	storeMax(&t.horizon, chunk.Horizon)
	room := true
	for _, item := range chunk.Items {
		t.update(item.Key, func(e entry, found bool) (entry, bool) {
			if !found && t.count.Load() >= int64(t.bounds.Keys) {
				room = false
				return e, false
			}
			return t.merge(now, e, item), true
		})
	}
	return room
}

// merge combines two views of one key: the higher state wins, except that a holder that settled as
// not run no longer holds the key.
func (t *Table) merge(now Instant, e entry, item HandOverItem) entry {
	for _, attempt := range item.NotRun {
		e.addNotRun(attempt)
	}
	if e.state == held && e.isNotRun(e.holder) {
		e.state, e.holder = free, Attempt{}
	}
	incoming := state(item.State)
	if incoming == held && e.isNotRun(item.Holder) {
		incoming = free
	}
	if incoming <= e.state {
		return e
	}
	e.state, e.holder, e.deadline = incoming, item.Holder, now.Mono+item.TimeLeft
	if incoming == done {
		e.answer = t.storeAnswer(item.Answer)
		e.notRun = nil
	}
	return e
}
