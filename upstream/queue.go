package upstream

import (
	"cmp"
	"container/heap"
	"time"

	"github.com/magnoliawharf/magnoliawharf/bundle"
	"github.com/magnoliawharf/magnoliawharf/caller"
)

// waiter is a request that waits for a slot. Exactly one of grant, refusal and cancellation ends it.
type waiter struct {
	ticket  Ticket
	queue   *classQueue
	arrived time.Time
	index   int           // position in the heap of the queue, -1 when it no longer waits
	done    chan struct{} // closed when granted or refused
	refusal *caller.Refusal
	lease   *lease
}

// finish wakes the request, refused unless refusal is nil.
func (w *waiter) finish(refusal *caller.Refusal) {
	w.refusal = refusal
	close(w.done)
}

// classQueue holds the waiting requests of one class, earliest deadline first.
type classQueue struct {
	class   bundle.Class
	waiting waiters
	since   time.Time // last grant, or arrival of the first request into the empty queue
	service estimate
}

// priority returns the priority with the steps gained by waiting. A class gains steps since its
// last grant, so that a long queue of low priority gets regular grants but never all of them.
func (q *classQueue) priority(now time.Time, aging time.Duration) int {
	return q.class.Priority - int(now.Sub(q.since)/aging)
}

// ahead returns how many waiting requests have a deadline no later than the given one.
func (q *classQueue) ahead(deadline time.Time) int {
	n := 0
	for _, w := range q.waiting {
		if !w.ticket.Deadline.After(deadline) {
			n++
		}
	}
	return n
}

// last returns the waiting request with the latest deadline.
func (q *classQueue) last() *waiter {
	var last *waiter
	for _, w := range q.waiting {
		if last == nil || w.ticket.Deadline.After(last.ticket.Deadline) {
			last = w
		}
	}
	return last
}

// queueSet holds the queues of all classes of the service.
type queueSet struct {
	classes []*classQueue // few; searched in order
	waiting int
}

// of returns the queue of the class, with the class as the newest bundle has it.
func (s *queueSet) of(class bundle.Class) *classQueue {
	for _, q := range s.classes {
		if q.class.Name == class.Name {
			q.class = class
			return q
		}
	}
	q := &classQueue{class: class}
	s.classes = append(s.classes, q)
	return q
}

func (s *queueSet) add(w *waiter) {
	if len(w.queue.waiting) == 0 {
		w.queue.since = w.arrived
	}
	heap.Push(&w.queue.waiting, w)
	s.waiting++
}

// remove takes the request out of its queue and reports whether it still waited.
func (s *queueSet) remove(w *waiter) bool {
	if w.index < 0 {
		return false
	}
	heap.Remove(&w.queue.waiting, w.index)
	s.waiting--
	return true
}

// any returns some waiting request, or nil.
func (s *queueSet) any() *waiter {
	for _, q := range s.classes {
		if len(q.waiting) > 0 {
			return q.waiting[0]
		}
	}
	return nil
}

// counts returns the waiting requests of short and of long classes.
func (s *queueSet) counts() (short, long int) {
	for _, q := range s.classes {
		if q.class.Long {
			long += len(q.waiting)
		} else {
			short += len(q.waiting)
		}
	}
	return short, long
}

// next returns the request to start next among the classes for which fits reports true: highest
// priority first, then earliest deadline.
func (s *queueSet) next(now time.Time, aging time.Duration, fits func(bundle.Class) bool) *waiter {
	var best *waiter
	var bestPriority int
	for _, q := range s.classes {
		if len(q.waiting) == 0 || !fits(q.class) {
			continue
		}
		priority, head := q.priority(now, aging), q.waiting[0]
		if best == nil || cmp.Or(cmp.Compare(priority, bestPriority), head.ticket.Deadline.Compare(best.ticket.Deadline)) < 0 {
			best, bestPriority = head, priority
		}
	}
	return best
}

// leastValuable returns the waiting request of the lowest priority and the latest deadline.
func (s *queueSet) leastValuable() *waiter {
	var worst *waiter
	for _, q := range s.classes {
		if len(q.waiting) == 0 || (worst != nil && q.class.Priority < worst.queue.class.Priority) {
			continue
		}
		last := q.last()
		if worst == nil || q.class.Priority > worst.queue.class.Priority || last.ticket.Deadline.After(worst.ticket.Deadline) {
			worst = last
		}
	}
	return worst
}

// waiters is a heap of waiting requests by deadline.
type waiters []*waiter

func (h waiters) Len() int           { return len(h) }
func (h waiters) Less(i, j int) bool { return h[i].ticket.Deadline.Before(h[j].ticket.Deadline) }
func (h waiters) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *waiters) Push(x any) {
	w := x.(*waiter)
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *waiters) Pop() any {
	old := *h
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	w.index = -1
	return w
}
