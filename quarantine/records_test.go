package quarantine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a node that was started again and sends a request to its upstream which all others refuse, as it knows nothing of
// the crashes before, and against one that refuses it for longer than they do, or lets it through at once after the quarantine.
func TestRestartedNodeLearnsTheQuarantine(t *testing.T) {
	const crashing, other, harmless = Fingerprint(1), Fingerprint(2), Fingerprint(3)
	old := NewList(nil)
	old.Report(at(0), 1, []Fingerprint{crashing, other, harmless})
	old.Report(at(10), 2, []Fingerprint{crashing, harmless})
	old.Succeeded(at(11), harmless)
	for name, test := range map[string]struct {
		learned, at float64
		f           Fingerprint
		want        Decision
	}{
		"in quarantine":          {learned: 100, at: 309, f: crashing, want: Refuse},
		"end of the quarantine":  {learned: 100, at: 311, f: crashing, want: Trial},
		"learned after its end":  {learned: 400, at: 401, f: crashing, want: Trial},
		"one crash":              {learned: 100, at: 101, f: other, want: Pass},
		"cleared":                {learned: 100, at: 101, f: harmless, want: Pass},
		"crashes of long ago":    {learned: 880, at: 881, f: crashing, want: Pass},
		"crashes long ago since": {learned: 100, at: 911, f: crashing, want: Pass},
	} {
		t.Run(name, func(t *testing.T) {
			restarted := NewList(nil)
			for range 2 {
				restarted.Merge(at(test.learned), old.Records(at(test.learned), maxSuspects))
			}
			decision, _ := restarted.Admit(at(test.at), test.f)
			assert.Equal(t, decision, test.want)
		})
	}
}

// Guards against a request that crashes one upstream more for each node which missed a notice: two nodes know one crash each.
func TestRecordsOfTwoNodesAddUp(t *testing.T) {
	a, b := NewList(nil), NewList(nil)
	a.Report(at(0), 1, []Fingerprint{1})
	b.Report(at(1), 2, []Fingerprint{1})
	assert.Equal(t, a.Merge(at(2), b.Records(at(2), maxSuspects)), 1)
	assert.Equal(t, b.Merge(at(3), a.Records(at(3), maxSuspects)), 1)
	for _, l := range []*List{a, b} {
		assert.Assert(t, l.Quarantined(at(4), 1))
	}
	// A success at one of them ends it at the other.
	a.Succeeded(at(5), 1)
	b.Merge(at(6), a.Records(at(6), maxSuspects))
	assert.Assert(t, !b.Quarantined(at(7), 1))
	a.Merge(at(8), b.Records(at(8), maxSuspects))
	assert.Assert(t, !a.Quarantined(at(9), 1))
}

// Guards against crashes that nodes keep alive for each other for ever, each taking it for a new one when it has forgotten it.
func TestPassedOnCrashesExpire(t *testing.T) {
	lists := []*List{NewList(nil), NewList(nil), NewList(nil)}
	lists[0].Report(at(0), 1, []Fingerprint{1})
	const delay = 2 * time.Second
	now := start
	for now.Sub(start) <= crashRetention+time.Minute {
		for i := range lists {
			records := lists[i].Records(now, maxSuspects)
			now = now.Add(delay)
			lists[(i+1)%len(lists)].Merge(now, records)
		}
	}
	for _, l := range lists {
		l.Admit(now, 1)
		assert.Equal(t, l.Len(), 0)
	}
}

// Guards against a full set of crashes in which an old one, passed on late, takes the place of a newer one.
func TestOldestCrashIsEvicted(t *testing.T) {
	l := NewList(nil)
	for crash := range Crash(maxCrashes) {
		l.Report(at(10+float64(crash)), crash, []Fingerprint{1})
	}
	late := Record{Fingerprint: 1, Crashes: []RecordedCrash{{Crash: 99, Age: 15 * time.Second}}}
	l.Merge(at(20), []Record{late})
	s, _ := l.suspects.Get(1)
	for _, c := range s.crashes {
		assert.Assert(t, c.crash != 99)
	}
	l.Report(at(21), 100, []Fingerprint{1})
	s, _ = l.suspects.Get(1)
	assert.Equal(t, len(s.crashes), maxCrashes)
	for _, c := range s.crashes {
		assert.Assert(t, c.crash != 0, "the oldest crash is kept")
	}
}
