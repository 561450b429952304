// Package quarantine detects requests that crash the upstreams that run them, and refuses them for a
// limited time.
//
// The crash detector at the node beside an upstream detects crashes of the upstream and the requests that
// were in flight then. The list at each node holds the suspects of the whole fleet, identified by
// fingerprint. A fingerprint that was in flight at the crashes of two distinct upstream processes, with no
// success in between, is put in quarantine. When the quarantine ends, one request at a time is let through
// as a trial. Crashes, successes of suspects and trials are broadcast to all nodes, and records of suspects are
// sent to nodes that may have missed them. The state of a fingerprint is a set of crashes, each cleared or not,
// so that notices and records may arrive late, more than once and in any order.
//
// Layout: a CrashDetector represents one upstream, a List holds the suspects of the fleet. Concurrency: the list
// is a shard.Map by fingerprint; a crash detector has one lock for its upstream.
package quarantine

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/magnoliawharf/magnoliawharf/shard"
)

const (
	// Period is the duration of a quarantine.
	Period = 5 * time.Minute
	// Threshold is the number of distinct upstream processes that must have crashed to begin a quarantine.
	Threshold = 2
	// crashRetention is the time for which a crash counts against a fingerprint. It is longer than a
	// quarantine, so that the first request after it still finds the crashes that led to it.
	crashRetention = 3 * Period
	// trialTimeout is the time during a trial in which other requests with the fingerprint are refused.
	trialTimeout = 30 * time.Second
	// maxSuspects bounds the list to about 1 MB of memory.
	maxSuspects = 4096
	// maxCrashes bounds the crashes kept for one fingerprint; the oldest is evicted first.
	maxCrashes = 8
	listShards = 16
	// minSweepInterval is the minimum time between searches of a full list for suspects to remove.
	minSweepInterval = time.Second
)

// Fingerprint identifies the content of a request across retries by its caller.
type Fingerprint uint64

// Crash identifies the end of one upstream process.
type Crash uint64

// Kind is the type of a Notice.
type Kind uint8

// Kinds of notices.
const (
	Crashed      Kind = iota + 1 // the fingerprints were in flight at the crash Crashes[0]
	Cleared                      // a request with the fingerprint succeeded after Crashes
	TrialStarted                 // a node has started a trial of the fingerprint
)

// Notice is a message that is broadcast to all nodes.
type Notice struct {
	Kind         Kind
	Fingerprints []Fingerprint
	Crashes      []Crash
}

// Limits of a notice.
const (
	MaxNoticeFingerprints = 256
	MaxNoticeCrashes      = maxCrashes
)

// Valid reports whether the notice has a known kind and is within the limits.
func (n *Notice) Valid() bool {
	return n.Kind >= Crashed && n.Kind <= TrialStarted &&
		len(n.Fingerprints) > 0 && len(n.Fingerprints) <= MaxNoticeFingerprints &&
		len(n.Crashes) <= MaxNoticeCrashes && (n.Kind != Crashed || len(n.Crashes) == 1)
}

// Broadcaster broadcasts notices to all other nodes. It does not block; a notice that cannot be sent is
// dropped.
type Broadcaster interface{ Broadcast(n Notice) }

// Decision is the result of admission of a request.
type Decision uint8

// Decisions.
const (
	Pass   Decision = iota // not in quarantine: send it
	Trial                  // send it as a trial; cancel the trial if it did not run
	Refuse                 // in quarantine: refuse it
)

// crashRecord is a crash at which a fingerprint was in flight.
type crashRecord struct {
	crash   Crash
	at      time.Time // when this node learned of the crash
	cleared bool      // a request with the fingerprint has succeeded since
}

// suspect is the state of one fingerprint.
type suspect struct {
	crashes []crashRecord
	until   time.Time // end of the quarantine, zero if there was none
	trial   time.Time // end of the current trial, zero if there is none
}

// unclearedCrashes returns the number of crashes that are not cleared.
func (s *suspect) unclearedCrashes() int {
	count := 0
	for _, c := range s.crashes {
		if !c.cleared {
			count++
		}
	}
	return count
}

// removeExpired removes the crashes older than crashRetention and reports whether any are left.
func (s *suspect) removeExpired(now time.Time) bool {
	s.crashes = slices.DeleteFunc(s.crashes, func(c crashRecord) bool { return now.Sub(c.at) > crashRetention })
	return len(s.crashes) > 0
}

// List holds the suspects of the fleet as known to this node. It is safe for concurrent use.
type List struct {
	broadcaster Broadcaster
	suspects    *shard.Map[Fingerprint, suspect]
	count       atomic.Int64
	dropped     atomic.Int64 // suspects for which there was no room
	lastSweep   atomic.Int64 // time of the last sweep, ns since the Unix epoch
}

// NewList returns an empty list. With a nil broadcaster, notices are not sent to other nodes.
func NewList(broadcaster Broadcaster) *List {
	return &List{broadcaster: broadcaster, suspects: shard.NewUint64[Fingerprint, suspect](listShards)}
}

// Len returns the number of suspects.
func (l *List) Len() int { return int(l.count.Load()) }

// Dropped returns the number of suspects that were dropped because the list was full.
func (l *List) Dropped() int { return int(l.dropped.Load()) }

// Admit decides on a request at its entry node. With Refuse it returns the delay after which a retry may
// succeed.
func (l *List) Admit(now time.Time, f Fingerprint) (Decision, time.Duration) {
	if l.count.Load() == 0 {
		return Pass, 0
	}
	decision, after := Pass, time.Duration(0)
	l.update(f, func(s suspect, found bool) (suspect, bool) {
		if !found || !s.removeExpired(now) {
			return s, false
		}
		if decision, after = s.decide(now); decision == Trial {
			s.trial = now.Add(trialTimeout)
		}
		return s, true
	})
	if decision == Trial {
		l.broadcast(Notice{Kind: TrialStarted, Fingerprints: []Fingerprint{f}})
	}
	return decision, after
}

// Preview returns what Admit would decide. It starts no trial.
func (l *List) Preview(now time.Time, f Fingerprint) (Decision, time.Duration) {
	s, found := l.suspects.Get(f)
	s.crashes = slices.Clone(s.crashes) // removeExpired modifies them
	if !found || !s.removeExpired(now) {
		return Pass, 0
	}
	return s.decide(now)
}

// decide decides on a request with the fingerprint. With Refuse it returns the delay after which a retry may succeed.
func (s *suspect) decide(now time.Time) (Decision, time.Duration) {
	switch {
	case s.unclearedCrashes() == 0 || s.until.IsZero():
		return Pass, 0
	case now.Before(s.until):
		return Refuse, s.until.Sub(now)
	case now.Before(s.trial):
		return Refuse, s.trial.Sub(now)
	}
	return Trial, 0
}

// Quarantined reports whether the fingerprint is in quarantine. The node beside an upstream checks it
// just before sending, since it may have received notices that the entry node has not.
func (l *List) Quarantined(now time.Time, f Fingerprint) bool {
	if l.count.Load() == 0 {
		return false
	}
	s, ok := l.suspects.Get(f)
	return ok && s.unclearedCrashes() > 0 && now.Before(s.until)
}

// CancelTrial cancels a trial whose request did not run, so that the next request becomes the trial.
func (l *List) CancelTrial(f Fingerprint) {
	l.update(f, func(s suspect, found bool) (suspect, bool) {
		s.trial = time.Time{}
		return s, found
	})
}

// Succeeded clears a suspect after an upstream has sent a complete response to it.
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
		return s, found && s.removeExpired(now)
	})
	if len(cleared) > 0 {
		l.broadcast(Notice{Kind: Cleared, Fingerprints: []Fingerprint{f}, Crashes: cleared})
	}
}

// Report records the fingerprints that were in flight at a crash of this node's upstream, and broadcasts
// them.
func (l *List) Report(now time.Time, crash Crash, inFlight []Fingerprint) {
	for start := 0; start < len(inFlight); start += MaxNoticeFingerprints {
		part := inFlight[start:min(len(inFlight), start+MaxNoticeFingerprints)]
		n := Notice{Kind: Crashed, Fingerprints: part, Crashes: []Crash{crash}}
		l.Receive(now, n)
		l.broadcast(n)
	}
}

// Receive applies a notice from another node.
func (l *List) Receive(now time.Time, n Notice) {
	for _, f := range n.Fingerprints {
		switch n.Kind {
		case Crashed:
			l.mergeCrashes(now, f, recordsOf(now, n.Crashes, false), time.Time{})
		case Cleared:
			l.mergeCrashes(now, f, recordsOf(now, n.Crashes, true), time.Time{})
		case TrialStarted:
			l.update(f, func(s suspect, found bool) (suspect, bool) {
				s.trial = now.Add(trialTimeout)
				return s, found
			})
		}
	}
}

// recordsOf returns the records of crashes that this node learns of now.
func recordsOf(now time.Time, crashes []Crash, cleared bool) []crashRecord {
	records := make([]crashRecord, 0, len(crashes))
	for _, crash := range crashes {
		records = append(records, crashRecord{crash: crash, at: now, cleared: cleared})
	}
	return records
}

// mergeCrashes adds crashes to the set of the fingerprint. It begins a quarantine when one of them is new
// and not cleared, and the threshold is reached. For a suspect that was in quarantine before, one new
// crash is enough. A quarantine that another node has begun, with the given end, begins here too; the end is zero
// when there is none.
func (l *List) mergeCrashes(now time.Time, f Fingerprint, crashes []crashRecord, until time.Time) {
	if l.count.Load() >= maxSuspects {
		last := l.lastSweep.Load()
		if now.UnixNano()-last >= int64(minSweepInterval) && l.lastSweep.CompareAndSwap(last, now.UnixNano()) {
			l.sweep(now)
		}
	}
	l.update(f, func(s suspect, found bool) (suspect, bool) {
		if !found && l.count.Load() >= maxSuspects {
			l.dropped.Add(1)
			return s, false
		}
		isNew := false
		for _, crash := range crashes {
			isNew = s.mergeCrash(crash) || isNew
		}
		switch {
		case s.unclearedCrashes() == 0:
			s.until, s.trial = time.Time{}, time.Time{}
		case !until.IsZero():
			s.until = later(s.until, until)
		case isNew && (s.unclearedCrashes() >= Threshold || !s.until.IsZero()):
			s.until, s.trial = now.Add(Period), time.Time{}
		}
		return s, true
	})
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// mergeCrash adds a crash to the set and reports whether it is new and not cleared. A cleared crash stays
// cleared.
func (s *suspect) mergeCrash(record crashRecord) bool {
	i := slices.IndexFunc(s.crashes, func(c crashRecord) bool { return c.crash == record.crash })
	if i >= 0 {
		s.crashes[i].cleared = s.crashes[i].cleared || record.cleared
		if record.at.Before(s.crashes[i].at) {
			s.crashes[i].at = record.at
		}
		return false
	}
	if len(s.crashes) >= maxCrashes {
		oldest := slices.MinFunc(s.crashes, func(a, b crashRecord) int { return a.at.Compare(b.at) })
		if !record.at.After(oldest.at) {
			return false
		}
		s.crashes = slices.DeleteFunc(s.crashes, func(c crashRecord) bool { return c.crash == oldest.crash })
	}
	s.crashes = append(s.crashes, record)
	return !record.cleared
}

// sweep removes the suspects without crashes that count.
func (l *List) sweep(now time.Time) {
	l.suspects.Range(func(f Fingerprint, s suspect) bool {
		l.update(f, func(s suspect, found bool) (suspect, bool) {
			return s, found && s.removeExpired(now) && s.unclearedCrashes() > 0
		})
		return true
	})
}

// update replaces the suspect by the result of change, or removes it when change returns false, and keeps
// the count.
func (l *List) update(f Fingerprint, change func(suspect, bool) (suspect, bool)) {
	l.suspects.Update(f, func(s suspect, found bool) (suspect, bool) {
		s.crashes = slices.Clone(s.crashes) // others may read the previous value outside the lock
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

// broadcast sends the notice to all other nodes.
func (l *List) broadcast(n Notice) {
	if l.broadcaster != nil {
		l.broadcaster.Broadcast(n)
	}
}
