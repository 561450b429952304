// Package quarantine recognises requests that crash each upstream that runs them, and keeps them
// away from upstreams for a while.
//
// A Watch stands at the node beside an upstream: it knows which requests were in flight when the
// upstream crashed. A List holds the suspects of the whole fleet: a fingerprint that was in flight
// at the crashes of two distinct upstream processes, with no success in between, is refused for
// Term. Each crash and each success of a suspect is told to all nodes. What a List knows of a
// fingerprint is a set of crashes, each cleared or not, so that notices may arrive late, twice and
// in any order.
//
// Layout: a Watch mirrors one upstream, a List the suspects of the fleet. Concurrency: a List is a
// shard.Map by fingerprint; a Watch has one lock for its upstream.
package quarantine

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/magnoliawharf/magnoliawharf/shard"
)

const (
	// Term is the time for which a fingerprint is refused.
	Term = 5 * time.Minute
	// Threshold is the number of distinct upstream processes that must have crashed.
	Threshold = 2
	// memory is the time for which a crash counts against a fingerprint. It is longer than Term, so
	// that a first request after the term still finds the crashes before it.
	memory = 3 * Term
	// trialTime bounds a trial: for so long no other request with the fingerprint is let through.
	trialTime = 30 * time.Second
	// maxSuspects bounds the list, about 1 MB of memory.
	maxSuspects = 4096
	// maxCrashes bounds the crashes kept for one fingerprint; the oldest is forgotten first.
	maxCrashes = 8
	listShards = 16
	// sweepPause bounds how often a full list is searched for suspects that no longer count.
	sweepPause = time.Second
)

// Fingerprint identifies the content of a request across resends by its caller.
type Fingerprint uint64

// Crash names the end of one upstream process.
type Crash uint64

// Kind is what a Notice says.
type Kind uint8

// Kinds of notices.
const (
	Crashed Kind = iota + 1 // the fingerprints were in flight at Crashes[0]
	Cleared                 // the fingerprint succeeded after Crashes
	Tried                   // a node lets one request with the fingerprint through
)

// Notice is told to all nodes.
type Notice struct {
	Kind         Kind
	Fingerprints []Fingerprint
	Crashes      []Crash
}

// Bounds of a notice.
const (
	MaxNoticeFingerprints = 256
	MaxNoticeCrashes      = maxCrashes
)

// Valid reports whether the notice is within its bounds.
func (n *Notice) Valid() bool {
	return n.Kind >= Crashed && n.Kind <= Tried &&
		len(n.Fingerprints) > 0 && len(n.Fingerprints) <= MaxNoticeFingerprints &&
		len(n.Crashes) <= MaxNoticeCrashes && (n.Kind != Crashed || len(n.Crashes) == 1)
}

// Spreader tells all other nodes. It does not block, and a notice that can't be sent is lost.
type Spreader interface{ Spread(n Notice) }

// Decision says what is to happen to a request.
type Decision uint8

// Decisions.
const (
	Pass   Decision = iota // nothing is held against it
	Trial                  // let it through alone and report its end by TrialEnded
	Refuse                 // refuse it as quarantined
)

type crashNote struct {
	crash   Crash
	at      time.Time // when this node learned of it
	cleared bool
}

// suspect is what is known of one fingerprint.
type suspect struct {
	crashes []crashNote
	until   time.Time // end of the quarantine, zero before there was one
	trial   time.Time // end of the trial under way, zero without one
}

// against counts the crashes that were not cleared.
func (s *suspect) against() int {
	count := 0
	for _, c := range s.crashes {
		if !c.cleared {
			count++
		}
	}
	return count
}

// forget drops the crashes that no longer count and reports whether any is left.
func (s *suspect) forget(now time.Time) bool {
	s.crashes = slices.DeleteFunc(s.crashes, func(c crashNote) bool { return now.Sub(c.at) > memory })
	return len(s.crashes) > 0
}

// List holds the suspects. It is safe for concurrent use.
type List struct {
	spread   Spreader
	suspects *shard.Map[Fingerprint, suspect]
	count    atomic.Int64
	dropped  atomic.Int64
	swept    atomic.Int64 // time of the last sweep (ns, Unix)
}

// NewList returns an empty list. A nil spreader keeps its notices on this node.
func NewList(spread Spreader) *List {
	return &List{spread: spread, suspects: shard.NewUint64[Fingerprint, suspect](listShards)}
}

// Len returns the number of suspects.
func (l *List) Len() int { return int(l.count.Load()) }

// Dropped returns the number of suspects for which there was no room.
func (l *List) Dropped() int { return int(l.dropped.Load()) }

// Admit rules on a request at its entry node. With Refuse it returns the time after which a resend
// may help.
func (l *List) Admit(now time.Time, f Fingerprint) (Decision, time.Duration) {
	if l.count.Load() == 0 {
		return Pass, 0
	}
	decision, after := Pass, time.Duration(0)
	l.update(f, func(s suspect, found bool) (suspect, bool) {
		if !found || !s.forget(now) {
			return s, false
		}
		switch {
		case s.against() == 0 || s.until.IsZero():
		case now.Before(s.until):
			decision, after = Refuse, s.until.Sub(now)
		case now.Before(s.trial):
			decision, after = Refuse, s.trial.Sub(now)
		default:
			decision, s.trial = Trial, now.Add(trialTime)
		}
		return s, true
	})
	if decision == Trial {
		l.tell(Notice{Kind: Tried, Fingerprints: []Fingerprint{f}})
	}
	return decision, after
}

// Quarantined reports whether the fingerprint is refused now. The node beside an upstream asks it
// last, since it may know more than the entry node.
func (l *List) Quarantined(now time.Time, f Fingerprint) bool {
	if l.count.Load() == 0 {
		return false
	}
	s, ok := l.suspects.Get(f)
	return ok && s.against() > 0 && now.Before(s.until)
}

// TrialEnded gives a trial back that did not run, so that the next request may take it.
func (l *List) TrialEnded(f Fingerprint) {
	l.update(f, func(s suspect, found bool) (suspect, bool) {
		s.trial = time.Time{}
		return s, found
	})
}

// Succeeded clears a suspect: the upstream has answered it whole and lives on.
func (l *List) Succeeded(now time.Time, f Fingerprint) {
	if l.count.Load() == 0 {
		return
	}
	var cleared []Crash
	l.update(f, func(s suspect, found bool) (suspect, bool) {
		for i, c := range s.crashes {
			if !c.cleared {
				cleared = append(cleared, c.crash)
				s.crashes[i].cleared = true
			}
		}
		s.until, s.trial = time.Time{}, time.Time{}
		return s, found && s.forget(now)
	})
	if len(cleared) > 0 {
		l.tell(Notice{Kind: Cleared, Fingerprints: []Fingerprint{f}, Crashes: cleared})
	}
}

// Report takes the fingerprints that were in flight at a crash beside this node.
func (l *List) Report(now time.Time, crash Crash, in []Fingerprint) {
	for start := 0; start < len(in); start += MaxNoticeFingerprints {
		part := in[start:min(len(in), start+MaxNoticeFingerprints)]
		n := Notice{Kind: Crashed, Fingerprints: part, Crashes: []Crash{crash}}
		l.Receive(now, n)
		l.tell(n)
	}
}

// Receive takes a notice of another node.
func (l *List) Receive(now time.Time, n Notice) {
	for _, f := range n.Fingerprints {
		switch n.Kind {
		case Crashed:
			l.note(now, f, n.Crashes, false)
		case Cleared:
			l.note(now, f, n.Crashes, true)
		case Tried:
			l.update(f, func(s suspect, found bool) (suspect, bool) {
				s.trial = now.Add(trialTime)
				return s, found
			})
		}
	}
}

// note merges crashes into the set of the fingerprint and begins a quarantine when one that counts
// is new and the threshold is reached. A suspect that was in quarantine before needs one crash.
func (l *List) note(now time.Time, f Fingerprint, crashes []Crash, cleared bool) {
	if l.count.Load() >= maxSuspects {
		last := l.swept.Load()
		if now.UnixNano()-last >= int64(sweepPause) && l.swept.CompareAndSwap(last, now.UnixNano()) {
			l.sweep(now)
		}
	}
	l.update(f, func(s suspect, found bool) (suspect, bool) {
		if !found && l.count.Load() >= maxSuspects {
			l.dropped.Add(1)
			return s, false
		}
		fresh := false
		for _, crash := range crashes {
			fresh = s.add(crashNote{crash: crash, at: now, cleared: cleared}) || fresh
		}
		switch {
		case s.against() == 0:
			s.until, s.trial = time.Time{}, time.Time{}
		case fresh && (s.against() >= Threshold || !s.until.IsZero()):
			s.until, s.trial = now.Add(Term), time.Time{}
		}
		return s, true
	})
}

// add merges one crash and reports whether it is new and counts. Cleared is final.
func (s *suspect) add(note crashNote) bool {
	i := slices.IndexFunc(s.crashes, func(c crashNote) bool { return c.crash == note.crash })
	if i >= 0 {
		s.crashes[i].cleared = s.crashes[i].cleared || note.cleared
		return false
	}
	if len(s.crashes) >= maxCrashes {
		s.crashes = slices.Delete(s.crashes, 0, 1)
	}
	s.crashes = append(s.crashes, note)
	return !note.cleared
}

func (l *List) sweep(now time.Time) {
	l.suspects.Range(func(f Fingerprint, s suspect) bool {
		l.update(f, func(s suspect, found bool) (suspect, bool) {
			return s, found && s.forget(now) && s.against() > 0
		})
		return true
	})
}

func (l *List) update(f Fingerprint, change func(suspect, bool) (suspect, bool)) {
	l.suspects.Update(f, func(s suspect, found bool) (suspect, bool) {
		next, keep := change(s, found)
		switch {
		case keep && !found:
			l.count.Add(1)
		case !keep && found:
			l.count.Add(-1)
		}
		return next, keep
	})
}

func (l *List) tell(n Notice) {
	if l.spread != nil {
		l.spread.Spread(n)
	}
}
