package upstream_test

import (
	"context"
	"flag"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/magnoliawharf/magnoliawharf/bundle"
	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/instance"
	"github.com/magnoliawharf/magnoliawharf/upstream"
)

var modelClasses = []bundle.Class{
	{Name: "short", MaxQueue: 4, MaxWait: 2 * time.Second},
	{Name: "staff", Priority: 1, MaxQueue: 4, MaxWait: 3 * time.Second},
	{Name: "long", Priority: 1, Long: true, MaxQueue: 4, MaxWait: 3 * time.Second},
	{Name: "history", Priority: 3, MayWait: true, MaxQueue: 4, MaxWait: 5 * time.Second},
}

// job is one request of the model. Its goroutine writes ended and the results before it ends.
type job struct {
	class   bundle.Class
	arrived time.Time
	cancel  context.CancelFunc
	ended   int // results of Admit
	granted time.Time
	release func()
	refusal *caller.Refusal
}

// model is the oracle of admission: it counts what runs and what waits by itself.
type model struct {
	upstream *upstream.Upstream
	mu       sync.Mutex // guards the results that the goroutines of jobs write
	slots    int
	jobs     []*job
}

func (m *model) arrive(class bundle.Class, timeout time.Duration) {
	ctx, cancel := context.WithCancel(context.Background())
	j := &job{class: class, arrived: time.Now(), cancel: cancel}
	m.jobs = append(m.jobs, j)
	ticket := upstream.Ticket{Class: class, Deadline: j.arrived.Add(timeout)}
	go func() {
		release, err := m.upstream.Admit(ctx, ticket)
		m.mu.Lock()
		defer m.mu.Unlock()
		j.ended++
		if err != nil {
			j.refusal = err.(*caller.Refusal)
			return
		}
		j.granted, j.release = time.Now(), release
	}()
}

func (m *model) where(match func(*job) bool) []*job {
	m.mu.Lock()
	defer m.mu.Unlock()
	var found []*job
	for _, j := range m.jobs {
		if match(j) {
			found = append(found, j)
		}
	}
	return found
}

// A fixed seed makes the runs of CI repeatable; -rapid.seed overrides it.
func init() { _ = flag.Set("rapid.seed", "20261204") }

// bubbleT hides testing.T.Deadline, which rapid would call and a synctest bubble forbids.
type bubbleT struct{ testing.TB }

func running(j *job) bool { return j.release != nil }
func waiting(j *job) bool { return j.ended == 0 }

func (m *model) check(t *rapid.T) {
	run := m.where(running)
	long := m.where(func(j *job) bool { return running(j) && j.class.Long })
	report := m.upstream.Report()
	if report.InUse != len(run) || report.Long != len(long) {
		t.Fatalf("report says %d slots in use, %d long; oracle counts %d, %d", report.InUse, report.Long, len(run), len(long))
	}
	wait := m.where(waiting)
	if report.Queued+report.QueuedLong != len(wait) {
		t.Fatalf("report says %d queued, oracle counts %d", report.Queued+report.QueuedLong, len(wait))
	}
	for _, j := range wait {
		if waited := time.Since(j.arrived); waited > j.class.MaxWait {
			t.Fatalf("%s waits for %v, more than %v", j.class.Name, waited, j.class.MaxWait)
		}
		if j.class.Name == "short" && len(run) < (m.slots+1)/2 {
			t.Fatalf("short work waits although only %d of %d slots are in use", len(run), m.slots)
		}
	}
	for _, j := range m.jobs {
		if j.ended > 1 || (j.refusal != nil && (j.refusal.Ran != caller.NotRun || !j.granted.IsZero())) {
			t.Fatalf("%s ended %d times, refusal %v, granted %v", j.class.Name, j.ended, j.refusal, j.granted)
		}
	}
}

// grantsKeepLimits checks that the requests granted since before did not exceed a limit.
func (m *model) grantsKeepLimits(t *rapid.T, before time.Time, grantsBefore int) {
	run := m.where(running)
	granted := len(m.where(func(j *job) bool { return !j.granted.IsZero() }))
	if granted > grantsBefore && len(run) > m.slots {
		t.Fatalf("%d requests run in %d slots after a grant", len(run), m.slots)
	}
	newLong := m.where(func(j *job) bool { return running(j) && j.class.Long && !j.granted.Before(before) })
	long := m.where(func(j *job) bool { return running(j) && j.class.Long })
	if most := (upstream.Rules{}).LongSlots(m.slots); len(newLong) > 0 && len(long) > most {
		t.Fatalf("%d long requests run after a grant, at most %d may", len(long), most)
	}
}

func (m *model) step(t *rapid.T, step func()) {
	before := time.Now()
	granted := len(m.where(func(j *job) bool { return !j.granted.IsZero() }))
	time.Sleep(time.Microsecond) // tells grants of this step from earlier ones
	step()
	synctest.Wait()
	m.grantsKeepLimits(t, before.Add(time.Microsecond), granted)
}

func (m *model) announce(state instance.State) {
	m.upstream.Announce(time.Now(), upstream.Announcement{
		State: state, Slots: m.slots, TimeToLive: upstream.MaxTimeToLive,
	})
}

// Guards against lost or doubled wake-ups, leaked slots, exceeded limits, requests that wait for
// ever and refusals of requests that ran, over random sequences of events.
func TestAdmissionAgainstOracle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(bubbleT{t}, func(rt *rapid.T) {
			m := &model{upstream: upstream.New(), slots: rapid.IntRange(1, 12).Draw(rt, "slots")}
			m.announce(instance.Ready)
			rt.Repeat(map[string]func(*rapid.T){
				"": m.check,
				"arrive": func(rt *rapid.T) {
					class := rapid.SampledFrom(modelClasses).Draw(rt, "class")
					timeout := time.Duration(rapid.IntRange(1, 6000).Draw(rt, "timeout ms")) * time.Millisecond
					m.step(rt, func() { m.arrive(class, timeout) })
				},
				"finish": func(rt *rapid.T) {
					if run := m.where(running); len(run) > 0 {
						j := rapid.SampledFrom(run).Draw(rt, "job")
						m.step(rt, func() { j.release(); j.release(); j.release = nil })
					}
				},
				"cancel": func(rt *rapid.T) {
					if wait := m.where(waiting); len(wait) > 0 {
						m.step(rt, rapid.SampledFrom(wait).Draw(rt, "job").cancel)
					}
				},
				"advance": func(rt *rapid.T) {
					pass := time.Duration(rapid.IntRange(1, 1500).Draw(rt, "ms")) * time.Millisecond
					m.step(rt, func() { time.Sleep(pass) })
				},
				"announce": func(rt *rapid.T) {
					state := rapid.SampledFrom([]instance.State{instance.Ready, instance.Ready, instance.Ready, instance.Cold, instance.Draining}).Draw(rt, "state")
					m.slots = rapid.IntRange(1, 12).Draw(rt, "slots")
					m.step(rt, func() { m.announce(state) })
				},
			})
			m.end(rt)
		})
	})
}

// end finishes everything: each request must have one result and each slot must be free.
func (m *model) end(t *rapid.T) {
	m.announce(instance.Draining)
	synctest.Wait()
	for _, j := range m.where(running) {
		j.release()
		j.release = nil
	}
	m.check(t)
	for _, j := range m.jobs {
		j.cancel()
		if j.ended != 1 {
			t.Fatalf("%s has %d results at the end", j.class.Name, j.ended)
		}
	}
}
