package quarantine

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/magnoliawharf/magnoliawharf/caller"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// Guards against a crashing request that is not refused, a harmless one that is, a quarantine that
// never ends, and one after which all requests with the fingerprint are let through at once.
func TestListRules(t *testing.T) {
	const crashing, other = Fingerprint(1), Fingerprint(2)
	crash := func(l *List, seconds float64, c Crash, in ...Fingerprint) { l.Report(at(seconds), c, in) }
	for _, test := range []struct {
		name  string
		steps func(l *List)
		at    float64
		f     Fingerprint
		want  Decision
	}{
		{"one crash", func(l *List) { crash(l, 0, 1, crashing) }, 1, crashing, Pass},
		{"two crashes", func(l *List) { crash(l, 0, 1, crashing); crash(l, 1, 2, crashing) }, 2, crashing, Refuse},
		{"one crash reported twice", func(l *List) { crash(l, 0, 1, crashing); crash(l, 1, 1, crashing) }, 2, crashing, Pass},
		{"other of one crash", func(l *List) { crash(l, 0, 1, crashing, other); crash(l, 1, 2, crashing) }, 2, other, Pass},
		{"other cleared between", func(l *List) {
			crash(l, 0, 1, crashing, other)
			l.Succeeded(at(0.5), other)
			crash(l, 1, 2, crashing, other)
		}, 2, other, Pass},
		{"success elsewhere after the second crash", func(l *List) {
			crash(l, 0, 1, other)
			crash(l, 1, 2, other)
			l.Receive(at(1.1), Notice{Kind: Cleared, Fingerprints: []Fingerprint{other}, Crashes: []Crash{1, 2}})
		}, 2, other, Pass},
		{"clearance arrives before its crash", func(l *List) {
			l.Receive(at(0), Notice{Kind: Cleared, Fingerprints: []Fingerprint{other}, Crashes: []Crash{1}})
			crash(l, 0.5, 1, other)
			crash(l, 1, 2, other)
		}, 2, other, Pass},
		{"end of the term", func(l *List) { crash(l, 0, 1, crashing); crash(l, 1, 2, crashing) }, 302, crashing, Trial},
		{"second request during a trial", func(l *List) {
			crash(l, 0, 1, crashing)
			crash(l, 1, 2, crashing)
			l.Admit(at(302), crashing)
		}, 303, crashing, Refuse},
		{"trial of another node", func(l *List) {
			crash(l, 0, 1, crashing)
			crash(l, 1, 2, crashing)
			l.Receive(at(302), Notice{Kind: TrialStarted, Fingerprints: []Fingerprint{crashing}})
		}, 303, crashing, Refuse},
		{"trial that did not run", func(l *List) {
			crash(l, 0, 1, crashing)
			crash(l, 1, 2, crashing)
			l.Admit(at(302), crashing)
			l.CancelTrial(crashing)
		}, 303, crashing, Trial},
		{"trial that crashed", func(l *List) {
			crash(l, 0, 1, crashing)
			crash(l, 1, 2, crashing)
			l.Admit(at(302), crashing)
			crash(l, 303, 3, crashing)
		}, 340, crashing, Refuse},
		{"crashes long ago", func(l *List) { crash(l, 0, 1, crashing); crash(l, 1, 2, crashing) }, 1000, crashing, Pass},
	} {
		t.Run(test.name, func(t *testing.T) {
			l := NewList(nil)
			test.steps(l)
			decision, _ := l.Admit(at(test.at), test.f)
			assert.Equal(t, decision, test.want)
			assert.Equal(t, l.Quarantined(at(test.at), test.f), test.want == Refuse && test.at < 301 || test.name == "trial that crashed")
		})
	}
}

// Guards against a lost connection that is counted as a crash, and a crash that is missed or counted
// twice.
func TestWatchRecognisesCrashes(t *testing.T) {
	const f = Fingerprint(9)
	sign := ProcessInfo{Process: "a", Addr: "127.0.0.1:80"}
	for _, test := range []struct {
		name    string
		steps   func(w *CrashDetector)
		crashes int
	}{
		{"lost connection only", func(w *CrashDetector) { w.RequestFinished(at(1), at(0), f, ConnectionLost); w.ProcessSeen(at(2), sign) }, 0},
		{"refused next", func(w *CrashDetector) { w.RequestFinished(at(1), at(0), f, ConnectionLost); w.ProcessEnded(at(1.1)) }, 1},
		{"new process", func(w *CrashDetector) {
			w.RequestFinished(at(1), at(0), f, ConnectionLost)
			w.ProcessSeen(at(2), ProcessInfo{Process: "b", Addr: sign.Addr})
		}, 1},
		{"cold again without process name", func(w *CrashDetector) {
			w.ProcessSeen(at(0), ProcessInfo{Addr: sign.Addr})
			w.RequestFinished(at(1), at(0), f, ConnectionLost)
			w.ProcessSeen(at(2), ProcessInfo{Addr: sign.Addr, Cold: true})
		}, 1},
		{"refused and then a new process", func(w *CrashDetector) {
			w.RequestFinished(at(1), at(0), f, ConnectionLost)
			w.ProcessEnded(at(1.1))
			w.ProcessSeen(at(1.5), ProcessInfo{Process: "b", Addr: sign.Addr})
		}, 1},
		{"loss found after the refusal", func(w *CrashDetector) {
			w.RequestFinished(at(1), at(0), 8, ConnectionLost)
			w.ProcessEnded(at(1.1))
			w.RequestFinished(at(1.2), at(0.5), f, ConnectionLost)
		}, 1},
		{"request of the new process", func(w *CrashDetector) {
			w.RequestFinished(at(1), at(0), 8, ConnectionLost)
			w.ProcessEnded(at(1.1))
			w.RequestFinished(at(1.4), at(1.3), f, ConnectionLost)
		}, 0},
		{"planned restart", func(w *CrashDetector) { w.ProcessEnded(at(1)); w.ProcessSeen(at(2), ProcessInfo{Process: "b"}) }, 0},
		{"long before", func(w *CrashDetector) { w.RequestFinished(at(1), at(0), f, ConnectionLost); w.ProcessEnded(at(9)) }, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			l := NewList(nil)
			w := NewCrashDetector(l, "n")
			w.ProcessSeen(at(0), sign)
			test.steps(w)
			s, _ := l.suspects.Get(f)
			assert.Equal(t, s.unclearedCrashes(), test.crashes)
		})
	}
}

// Guards against a request that is not suspected although the connection that carried it was lost in a crash, whether the
// connection was new or kept, and against a suspected one that did not run.
func TestLostRequestsAreSuspected(t *testing.T) {
	const f = Fingerprint(9)
	for _, test := range []struct {
		refusal *caller.Refusal
		crashes int
	}{
		{caller.RefuseUncertain(caller.UpstreamLost, "send", "", nil), 1},
		{caller.RefuseUncertain(caller.KeptConnectionLost, "send", "", nil), 1},
		{caller.Refuse(caller.UpstreamRejected, "send", ""), 0},
	} {
		l := NewList(nil)
		monitor := &CrashMonitor{Suspects: l, Detector: NewCrashDetector(l, "n")}
		now := time.Now()
		monitor.Detector.ProcessSeen(now, ProcessInfo{Process: "a"})
		monitor.RecordResult(t.Context(), &caller.Request{Fingerprint: uint64(f)}, now, nil, test.refusal)
		monitor.Detector.ProcessEnded(time.Now())
		s, _ := l.suspects.Get(f)
		assert.Equal(t, s.unclearedCrashes(), test.crashes, "%v", test.refusal)
	}
}

// fleet simulates nodes with a list each. Notices reach the other nodes late, twice and out of order.
type fleet struct {
	t       *rapid.T
	now     time.Time
	lists   []*List
	pending []pendingNotice
	delay   int // longest delay in steps of 100 ms
}

type pendingNotice struct {
	at     time.Time
	to     int
	notice Notice
}

type nodeSpreader struct {
	f    *fleet
	node int
}

func (s nodeSpreader) Broadcast(n Notice) {
	for to := range s.f.lists {
		if to == s.node {
			continue
		}
		if s.f.delay == 0 {
			s.f.lists[to].Receive(s.f.now, n)
			continue
		}
		for range 1 + rapid.IntRange(0, 1).Draw(s.f.t, "copies") {
			wait := time.Duration(rapid.IntRange(0, s.f.delay).Draw(s.f.t, "delay")) * 100 * time.Millisecond
			s.f.pending = append(s.f.pending, pendingNotice{s.f.now.Add(wait), to, n})
		}
	}
}

func (f *fleet) step(d time.Duration) {
	f.now = f.now.Add(d)
	var later []pendingNotice
	for _, p := range f.pending {
		if p.at.After(f.now) {
			later = append(later, p)
			continue
		}
		f.lists[p.to].Receive(f.now, p.notice)
	}
	f.pending = later
}

// Guards against crashing requests that crash more upstreams than the threshold and the delay of notices
// allow, and against harmless requests that are refused although they succeeded after the crash at which
// they were in flight.
func TestFuzzCrashingAndOtherRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{t: t, now: start, delay: rapid.SampledFrom([]int{0, 5}).Draw(t, "delay bound")}
		for range rapid.IntRange(2, 6).Draw(t, "nodes") {
			f.lists = append(f.lists, NewList(nodeSpreader{f, len(f.lists)}))
		}
		crashing := rapid.IntRange(1, 3).Draw(t, "crashing")
		crashes, admittedLate := map[Fingerprint]int{}, map[Fingerprint]int{}
		lastCrash, lastSuccess := map[Fingerprint]time.Time{}, map[Fingerprint]time.Time{}
		serial := Crash(0)
		for range rapid.IntRange(5, 60).Draw(t, "rounds") {
			f.step(time.Duration(rapid.IntRange(1, 20).Draw(t, "pause")) * 100 * time.Millisecond)
			list := f.lists[rapid.IntRange(0, len(f.lists)-1).Draw(t, "node")]
			var running []Fingerprint
			crashed := false
			wanted := rapid.SliceOfNDistinct(rapid.IntRange(1, 12), 1, 6, rapid.ID[int]).Draw(t, "in flight")
			for _, id := range wanted {
				g := Fingerprint(id)
				decision, _ := list.Admit(f.now, g)
				harmless := id > crashing
				spread := time.Duration(f.delay) * 100 * time.Millisecond
				if harmless && decision == Refuse && lastSuccess[g].After(lastCrash[g].Add(spread)) && f.now.Sub(lastSuccess[g]) > spread {
					t.Fatalf("harmless request %d is refused %v after a success", id, f.now.Sub(lastSuccess[g]))
				}
				if decision == Refuse {
					continue
				}
				running = append(running, g)
				if !harmless {
					crashed = true
					if crashes[g] >= Threshold && f.now.Sub(lastCrash[g]) <= spread {
						admittedLate[g]++ // admitted before the notice of the last crash arrived
					}
				}
			}
			if crashed {
				serial++
				list.Report(f.now, serial, running)
				for _, g := range running {
					lastCrash[g] = f.now
					crashes[g]++
				}
				continue
			}
			for _, g := range running {
				list.Succeeded(f.now, g)
				lastSuccess[g] = f.now
			}
		}
		for id := 1; id <= crashing; id++ {
			// All rounds last at most 120 s in total, less than a quarantine, so no trial takes place.
			if most := Threshold + admittedLate[Fingerprint(id)]; crashes[Fingerprint(id)] > most {
				t.Fatal(fmt.Sprintf("request %d crashed %d upstreams, more than %d", id, crashes[Fingerprint(id)], most))
			}
		}
	})
}

// Guards against a list that grows without bound, or that evicts a crashing request to make room.
func TestListIsBounded(t *testing.T) {
	l := NewList(nil)
	l.Report(at(0), 1, []Fingerprint{1})
	l.Report(at(0), 2, []Fingerprint{1})
	for i := range 3 * maxSuspects {
		l.Report(at(1), 3, []Fingerprint{Fingerprint(100 + i)})
	}
	assert.Assert(t, l.Len() <= maxSuspects)
	assert.Equal(t, l.Dropped(), 2*maxSuspects+1)
	assert.Assert(t, l.Quarantined(at(2), 1))
	l.Report(at(2000), 4, []Fingerprint{2})
	assert.Equal(t, l.Len(), 1)
}

func BenchmarkList(b *testing.B) {
	for _, suspects := range []int{0, 100, 4000} {
		l := NewList(nil)
		for i := range suspects {
			l.Report(at(0), 1, []Fingerprint{Fingerprint(i)})
		}
		b.Run(fmt.Sprintf("admit/suspects=%d", suspects), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				l.Admit(at(1), Fingerprint(1_000_000+i))
			}
		})
		b.Run(fmt.Sprintf("succeeded/suspects=%d", suspects), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				l.Succeeded(at(1), Fingerprint(1_000_000+i))
			}
		})
	}
}
