package idempotency

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/magnoliawharf/magnoliawharf/shard"
)

const (
	tableShards = 64
	// MaxAnswerBody is the longest body of an answer that is stored with its key, in bytes.
	MaxAnswerBody = 4 << 10
	// maxAnswerSize bounds a stored answer with its header fields, in bytes.
	maxAnswerSize = 2 * MaxAnswerBody
	// maxNotRun bounds the attempts remembered as not run under one key. An older attempt whose
	// claim arrives later still may take a free key, which only closes it.
	maxNotRun = 4
)

// Answer is the stored answer of a key that ran.
type Answer struct {
	Status   int // HTTP status code
	Header   map[string][]string
	Body     []byte
	Upstream string
}

func (a *Answer) size() int {
	if a == nil {
		return 0
	}
	total := len(a.Body) + len(a.Upstream)
	for name, values := range a.Header {
		total += len(name)
		for _, value := range values {
			total += len(value)
		}
	}
	return total
}

// Verdict is the answer of the key owner to a claim.
type Verdict uint8

// Verdicts. Only Granted allows the request to be dispatched. NotOwner, NoLease, HandingOver, Full
// and Future say that this claim changed nothing.
const (
	Granted     Verdict = iota + 1
	InProgress          // another attempt holds the key
	Done                // the key ran; its answer is attached
	AlreadyRun          // the key ran; its answer was too large to keep
	Closed              // the key may have run, or its history is not known here
	Expired             // the key is older than the key lifetime
	Future              // the key is stamped later than the clock margin allows
	Full                // the table has no room for another key
	NotOwner            // another member owns the key; the reply carries the group
	NoLease             // this member owns the key but may not accept claims now
	HandingOver         // the previous owner's table is still on its way
	verdictEnd
)

// Valid reports whether v is one of the verdicts.
func (v Verdict) Valid() bool { return v >= Granted && v < verdictEnd }

// Outcome is how an attempt ended.
type Outcome uint8

// Outcomes of an attempt.
const (
	OutcomeDone    Outcome = iota + 1 // the request ran and was answered
	OutcomeNotRun                     // the request certainly did not run and will not
	OutcomeUnknown                    // the request may have run
	outcomeEnd
)

// Valid reports whether o is one of the outcomes.
func (o Outcome) Valid() bool { return o >= OutcomeDone && o < outcomeEnd }

// state is what is known of a key, in rising order: merging two views takes the higher one.
type state uint8

const (
	free   state = iota // no attempt holds the key
	held                // an attempt holds the key
	closed              // the key may have run
	done                // the key ran
)

// entry is what a Table holds of one key.
type entry struct {
	state    state
	holder   Attempt
	deadline time.Duration // monotonic time of the deadline of the holder's call
	answer   *Answer
	notRun   []Attempt // attempts that settled as not run
}

func (e *entry) isNotRun(a Attempt) bool { return slices.Contains(e.notRun, a) }

func (e *entry) addNotRun(a Attempt) {
	if e.isNotRun(a) {
		return
	}
	if len(e.notRun) >= maxNotRun {
		e.notRun = slices.Clone(e.notRun[1:])
	}
	e.notRun = append(e.notRun, a)
}

// Bounds limits a Table.
type Bounds struct {
	Keys        int           // keys of one service
	AnswerBytes int64         // stored answers of one service
	Lifetime    time.Duration // time for which a key's outcome is remembered
	Margin      time.Duration // largest difference between the wall clocks of two nodes
}

// Table holds the outcome of every key that this node owns in one service. It is safe for
// concurrent use.
type Table struct {
	bounds      Bounds
	keys        *shard.Map[Key, entry]
	count       atomic.Int64
	answerBytes atomic.Int64
	highest     atomic.Int64 // latest time of issue of a granted key (ms, Unix)
	horizon     atomic.Int64 // keys issued at or before it may have been deleted (ms, Unix)
}

// NewTable returns an empty table.
func NewTable(bounds Bounds) *Table {
	return &Table{bounds: bounds, keys: shard.NewString[Key, entry](tableShards)}
}

// Len returns the number of keys held.
func (t *Table) Len() int { return int(t.count.Load()) }

// LatestIssued returns the latest time of issue of the keys granted so far, in milliseconds since the
// Unix epoch.
func (t *Table) LatestIssued() int64 { return t.highest.Load() }

func storeMax(value *atomic.Int64, to int64) {
	for {
		seen := value.Load()
		if to <= seen || value.CompareAndSwap(seen, to) {
			return
		}
	}
}

// Claim asks for the right to run key. known says whether the whole history of the key is in this
// table; a key that is absent from an incomplete history may have run elsewhere. timeLeft is the
// time until the call's deadline.
func (t *Table) Claim(now Instant, key Key, attempt Attempt, timeLeft time.Duration, known bool) (Verdict, *Answer) {
	issued := key.Issued()
	if issued > now.Wall.Add(t.bounds.Margin).UnixMilli() {
		return Future, nil
	}
	verdict, answer := Closed, (*Answer)(nil)
	t.update(key, func(e entry, found bool) (entry, bool) {
		switch {
		// Checked under the lock of the shard: Expire raises the horizon before it deletes keys.
		case issued <= t.horizon.Load() || issued <= t.expiry(now):
			verdict = Expired
		case found && e.state != free:
			verdict, answer = e.claimVerdict(now, attempt)
		case !known || e.isNotRun(attempt):
			verdict = Closed
		case !found && t.count.Load() >= int64(t.bounds.Keys):
			verdict = Full
		default:
			verdict = Granted
			storeMax(&t.highest, issued)
			e.state, e.holder, e.deadline = held, attempt, now.Mono+timeLeft
			return e, true
		}
		return e, found
	})
	return verdict, answer
}

func (e *entry) claimVerdict(now Instant, attempt Attempt) (Verdict, *Answer) {
	switch {
	case e.state == done && e.answer != nil:
		return Done, e.answer
	case e.state == done:
		return AlreadyRun, nil
	case e.state == held && e.holder == attempt:
		return Granted, nil
	case e.state == held && now.Mono < e.deadline:
		return InProgress, nil
	default:
		return Closed, nil
	}
}

// Settle records how an attempt ended. Repeated and late messages change nothing that another
// attempt decided: only the holder frees a key, and a key that ran stays so.
func (t *Table) Settle(now Instant, key Key, attempt Attempt, outcome Outcome, answer *Answer) {
	t.update(key, func(e entry, found bool) (entry, bool) {
		issued := key.Issued()
		if issued <= t.horizon.Load() || issued <= t.expiry(now) || e.state == done {
			return e, found
		}
		if !found && t.count.Load() >= int64(t.bounds.Keys) {
			return e, false
		}
		switch outcome {
		case OutcomeNotRun:
			e.addNotRun(attempt)
			if e.state == held && e.holder == attempt {
				e.state, e.holder = free, Attempt{}
			}
		case OutcomeUnknown:
			if e.state != held || e.holder == attempt {
				e.state = closed
			}
		case OutcomeDone:
			e.state, e.holder, e.notRun = done, attempt, nil
			e.answer = t.storeAnswer(answer)
		}
		return e, true
	})
}

// storeAnswer reserves room for the answer and returns it, or nil when it is too large or there is no
// room.
func (t *Table) storeAnswer(answer *Answer) *Answer {
	size := int64(answer.size())
	if answer == nil || len(answer.Body) > MaxAnswerBody || size > maxAnswerSize {
		return nil
	}
	if t.answerBytes.Add(size) > t.bounds.AnswerBytes {
		t.answerBytes.Add(-size)
		return nil
	}
	return answer
}

// update changes one entry and counts keys.
func (t *Table) update(key Key, change func(entry, bool) (entry, bool)) {
	t.keys.Update(key, func(e entry, found bool) (entry, bool) {
		next, keep := change(e, found)
		switch {
		case keep && !found:
			t.count.Add(1)
		case !keep && found:
			t.count.Add(-1)
			t.answerBytes.Add(-int64(e.answer.size()))
		}
		return next, keep
	})
}

func (t *Table) expiry(now Instant) int64 { return now.Wall.Add(-t.bounds.Lifetime).UnixMilli() }

// Expire deletes the keys older than the key lifetime. The horizon never goes back, so that a wall
// clock that steps back doesn't reopen a deleted key.
func (t *Table) Expire(now Instant) {
	expiry := t.expiry(now)
	storeMax(&t.horizon, expiry)
	t.keys.Range(func(key Key, _ entry) bool {
		if key.Issued() <= expiry {
			t.update(key, func(e entry, _ bool) (entry, bool) { return e, false })
		}
		return true
	})
}

// Valid reports whether the answer is within the bounds of a stored answer.
func (a *Answer) Valid() bool {
	return a == nil || len(a.Body) <= MaxAnswerBody && a.size() <= maxAnswerSize
}
