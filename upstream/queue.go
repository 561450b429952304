package upstream

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"github.com/magnoliawharf/magnoliawharf/bundle"
	"github.com/magnoliawharf/magnoliawharf/caller"
)

// maxClasses is the number of classes from which on those without waiting requests are forgotten. The name of a class may hold a
// priority that another node has sent, so that their number has no other bound.
const maxClasses = 256

// waiter is a request that waits for a slot. Exactly one of grant, refusal and cancellation ends the wait.
type waiter struct {
	request AdmitRequest
	queue   *classQueue
	arrived time.Time
	// answerBy is the time by which the request is to be answered, at the latest its deadline. The queue is in this order.
	answerBy time.Time
	refuseBy time.Time     // at which the request is refused when it has not started; not before answerBy
	index    int           // position in the heap of the queue, -1 when it no longer waits
	done     chan struct{} // closed when granted or refused
	refusal  *caller.Refusal
	lease    *lease
}

// finish ends the wait: with a grant when refusal is nil, else with the refusal.
func (w *waiter) finish(refusal *caller.Refusal) {
	w.refusal = refusal
	close(w.done)
}

// classQueue holds the waiting requests of one class, earliest deadline first.
type classQueue struct {
	class       bundle.Class
	waiting     deadlineHeap
	agingSince  time.Time // last grant, or arrival of the first request into the empty queue
	serviceTime serviceTimeEstimate
	recentShare float64 // share of the class in the recently finished requests that are not long
}

// agedPriority returns the priority number of the class, less the steps gained through waiting; the smaller
// number goes first. Steps are counted from the last grant, so that a long queue of low priority gets regular
// grants but never all of them.
func (q *classQueue) agedPriority(now time.Time, aging time.Duration) int {
	return q.class.Priority - int(now.Sub(q.agingSince)/aging)
}

// countAhead returns how many waiting requests are to be answered no later than the given time.
func (q *classQueue) countAhead(answerBy time.Time) int {
	n := 0
	for _, w := range q.waiting {
		if !w.answerBy.After(answerBy) {
			n++
		}
	}
	return n
}

// latestDeadline returns the waiting request with the latest deadline.
func (q *classQueue) latestDeadline() *waiter {
	var last *waiter
	for _, w := range q.waiting {
		if last == nil || w.answerBy.After(last.answerBy) {
			last = w
		}
	}
	return last
}

// queueSet holds the queues of all classes of the service.
type queueSet struct {
	perClass []*classQueue // few; searched in order
	waiting  int
}

// forClass returns the queue of the class and updates its attributes, which a newer bundle may have changed.
func (s *queueSet) forClass(class bundle.Class) *classQueue {
	for _, q := range s.perClass {
		if q.class.Name == class.Name {
			q.class = class
			return q
		}
	}
	if len(s.perClass) >= maxClasses {
		s.perClass = slices.DeleteFunc(s.perClass, func(q *classQueue) bool { return len(q.waiting) == 0 })
	}
	q := &classQueue{class: class}
	s.perClass = append(s.perClass, q)
	return q
}

func (s *queueSet) add(w *waiter) {
	if len(w.queue.waiting) == 0 {
		w.queue.agingSince = w.arrived
	}
	heap.Push(&w.queue.waiting, w)
	s.waiting++
}

// remove removes the request from its queue and reports whether it was still waiting.
func (s *queueSet) remove(w *waiter) bool {
	if w.index < 0 {
		return false
	}
	heap.Remove(&w.queue.waiting, w.index)
	s.waiting--
	return true
}

// countFinished counts a finished request of the class in the mix of recent work.
func (s *queueSet) countFinished(finished *classQueue) {
	for _, q := range s.perClass {
		q.recentShare -= q.recentShare * recentWorkWeight
	}
	finished.recentShare += recentWorkWeight
}

// occupyingTime returns the typical service time of the work that holds a slot at a random moment, 0 when unknown: the median service times
// of the classes, weighted by the slots that each class holds. Long classes are left out.
func (s *queueSet) occupyingTime() time.Duration {
	held, weighted := 0.0, 0.0
	for _, q := range s.perClass {
		median := q.serviceTime.median.value
		held += q.recentShare * median
		weighted += q.recentShare * median * median
	}
	if held == 0 {
		return 0
	}
	return time.Duration(weighted / held * float64(time.Second))
}

// anyWaiting returns an arbitrary waiting request, or nil.
func (s *queueSet) anyWaiting() *waiter {
	for _, q := range s.perClass {
		if len(q.waiting) > 0 {
			return q.waiting[0]
		}
	}
	return nil
}

// counts returns the number of waiting requests of short and of long classes.
func (s *queueSet) counts() (short, long int) {
	for _, q := range s.perClass {
		if q.class.Long {
			long += len(q.waiting)
		} else {
			short += len(q.waiting)
		}
	}
	return short, long
}

// next returns the request to start next among the classes for which canStart reports true: highest
// priority first, then earliest deadline.
func (s *queueSet) next(now time.Time, aging time.Duration, canStart func(bundle.Class) bool) *waiter {
	var best *waiter
	var bestPriority int
	for _, q := range s.perClass {
		if len(q.waiting) == 0 || !canStart(q.class) {
			continue
		}
		priority, head := q.agedPriority(now, aging), q.waiting[0]
		if best == nil || cmp.Or(cmp.Compare(priority, bestPriority), head.answerBy.Compare(best.answerBy)) < 0 {
			best, bestPriority = head, priority
		}
	}
	return best
}

// leastValuable returns the waiting request of the lowest priority and the latest deadline.
func (s *queueSet) leastValuable() *waiter {
	var least *waiter
	for _, q := range s.perClass {
		if len(q.waiting) == 0 || (least != nil && q.class.Priority < least.queue.class.Priority) {
			continue
		}
		last := q.latestDeadline()
		if least == nil || q.class.Priority > least.queue.class.Priority || last.answerBy.After(least.answerBy) {
			least = last
		}
	}
	return least
}

// deadlineHeap is a heap of waiting requests, earliest deadline first.
type deadlineHeap []*waiter

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(i, j int) bool { return h[i].answerBy.Before(h[j].answerBy) }
func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) {
	w := x.(*waiter)
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	w.index = -1
	return w
}
