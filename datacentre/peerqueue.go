package datacentre

import (
	"maps"
	"slices"
	"sync"

	"github.com/magnoliawharf/magnoliawharf/instance"
)

// peerQueue holds the updates that wait for one peer.
type peerQueue struct {
	mu         sync.Mutex
	peer       instance.Record
	draining   bool
	records    map[instance.ID]instance.Record
	broadcasts []Broadcast

	// The updates of the push in flight.
	sentRecords    []instance.Record
	sentBroadcasts []Broadcast
}

// add queues updates and reports whether the caller must start draining the queue.
func (q *peerQueue) add(peer instance.Record, records []instance.Record, broadcasts []Broadcast) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.peer = peer
	for _, r := range records {
		q.records[r.ID] = r
	}
	q.appendBroadcasts(broadcasts)
	start := !q.draining
	q.draining = true
	return start
}

func (q *peerQueue) appendBroadcasts(broadcasts []Broadcast) {
	q.broadcasts = append(q.broadcasts, broadcasts...)
	if excess := len(q.broadcasts) - maxBroadcasts; excess > 0 {
		broadcastsDropped.Add(excess)
		q.broadcasts = slices.Delete(q.broadcasts, 0, excess)
	}
}

// dequeue returns the next updates to push. The caller reports the outcome by confirm, requeue or clear.
func (q *peerQueue) dequeue() (instance.Record, []instance.Record, []Broadcast, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.records) == 0 && len(q.broadcasts) == 0 {
		q.draining = false
		return instance.Record{}, nil, nil, false
	}
	records := slices.Collect(maps.Values(q.records))
	records = records[:min(len(records), maxPushRecords)]
	for _, r := range records {
		delete(q.records, r.ID)
	}
	broadcasts := q.broadcasts
	q.broadcasts = nil
	q.sentRecords, q.sentBroadcasts = records, broadcasts
	return q.peer, records, broadcasts, true
}

// confirm drops the updates of the push in flight, which the peer has acknowledged.
func (q *peerQueue) confirm() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.sentRecords, q.sentBroadcasts = nil, nil
}

// requeue returns the updates of the push in flight to the queue, unless a newer record is queued.
func (q *peerQueue) requeue() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.requeueSent()
}

func (q *peerQueue) requeueSent() {
	for _, r := range q.sentRecords {
		if held, ok := q.records[r.ID]; !ok || r.Newer(held) {
			q.records[r.ID] = r
		}
	}
	newer := q.broadcasts
	q.broadcasts = slices.Clone(q.sentBroadcasts)
	q.appendBroadcasts(newer)
	q.sentRecords, q.sentBroadcasts = nil, nil
}

// takeUnacknowledged removes and returns all updates that the peer has not acknowledged, including those of the
// push in flight.
func (q *peerQueue) takeUnacknowledged() ([]instance.Record, []Broadcast) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.requeueSent()
	records, broadcasts := slices.Collect(maps.Values(q.records)), q.broadcasts
	clear(q.records)
	q.broadcasts = nil
	return records, broadcasts
}

// clear drops all updates and ends the draining of the queue.
func (q *peerQueue) clear() {
	q.mu.Lock()
	defer q.mu.Unlock()
	clear(q.records)
	q.broadcasts, q.draining = nil, false
	q.sentRecords, q.sentBroadcasts = nil, nil
}

func (q *peerQueue) idle() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return !q.draining
}
