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

// modelRequest is a request of the model. Its goroutine sets the fields from results to refusal before it ends.
type modelRequest struct {
	class   bundle.Class
	arrived time.Time
	cancel  context.CancelFunc
	results int // number of times that Admit returned
	granted time.Time
	release func()
	refusal *caller.Refusal
}

// model is the test oracle of admission: it counts running and waiting requests independently of the upstream.
type model struct {
	upstream *upstream.Upstream
	mu       sync.Mutex // guards the results that the goroutines of requests write
	slots    int
	requests []*modelRequest
}

func (m *model) arrive(class bundle.Class, timeout time.Duration) {
	ctx, cancel := context.WithCancel(context.Background())
	r := &modelRequest{class: class, arrived: time.Now(), cancel: cancel}
	m.requests = append(m.requests, r)
	req := upstream.AdmitRequest{Class: class, Deadline: r.arrived.Add(timeout)}
	go func() {
		release, err := m.upstream.Admit(ctx, req)
		m.mu.Lock()
		defer m.mu.Unlock()
		r.results++
		if err != nil {
			r.refusal = err.(*caller.Refusal)
			return
		}
		r.granted, r.release = time.Now(), release
	}()
}

func (m *model) filter(match func(*modelRequest) bool) []*modelRequest {
	m.mu.Lock()
	defer m.mu.Unlock()
	var found []*modelRequest
	for _, r := range m.requests {
		if match(r) {
			found = append(found, r)
		}
	}
	return found
}

// A fixed seed makes CI runs repeatable; -rapid.seed overrides it.
func init() { _ = flag.Set("rapid.seed", "20261204") }

// noDeadlineT hides testing.T.Deadline, which rapid would call and synctest forbids within a bubble.
type noDeadlineT struct{ testing.TB }

func isRunning(r *modelRequest) bool { return r.release != nil }
func isWaiting(r *modelRequest) bool { return r.results == 0 }

func (m *model) check(t *rapid.T) {
	run := m.filter(isRunning)
	long := m.filter(func(r *modelRequest) bool { return isRunning(r) && r.class.Long })
	report := m.upstream.Report()
	if report.InUse != len(run) || report.LongInUse != len(long) {
		t.Fatalf("report says %d slots in use, %d long; oracle counts %d, %d", report.InUse, report.LongInUse, len(run), len(long))
	}
	wait := m.filter(isWaiting)
	if report.Queued+report.QueuedLong != len(wait) {
		t.Fatalf("report says %d queued, oracle counts %d", report.Queued+report.QueuedLong, len(wait))
	}
	for _, r := range wait {
		if waited := time.Since(r.arrived); waited > r.class.MaxWait {
			t.Fatalf("%s waits for %v, more than %v", r.class.Name, waited, r.class.MaxWait)
		}
		if r.class.Name == "short" && len(run) < (m.slots+1)/2 {
			t.Fatalf("short work waits although only %d of %d slots are in use", len(run), m.slots)
		}
	}
	for _, r := range m.requests {
		if r.results > 1 || (r.refusal != nil && (r.refusal.Ran != caller.NotRun || !r.granted.IsZero())) {
			t.Fatalf("%s ended %d times, refusal %v, granted %v", r.class.Name, r.results, r.refusal, r.granted)
		}
	}
}

// checkGrantLimits checks that no grant since before, when grantsBefore requests had been granted, exceeded a limit.
func (m *model) checkGrantLimits(t *rapid.T, before time.Time, grantsBefore int) {
	run := m.filter(isRunning)
	granted := len(m.filter(func(r *modelRequest) bool { return !r.granted.IsZero() }))
	if granted > grantsBefore && len(run) > m.slots {
		t.Fatalf("%d requests run in %d slots after a grant", len(run), m.slots)
	}
	newLong := m.filter(func(r *modelRequest) bool { return isRunning(r) && r.class.Long && !r.granted.Before(before) })
	long := m.filter(func(r *modelRequest) bool { return isRunning(r) && r.class.Long })
	if most := (upstream.Rules{}).LongSlots(m.slots); len(newLong) > 0 && len(long) > most {
		t.Fatalf("%d long requests run after a grant, at most %d may", len(long), most)
	}
}

func (m *model) step(t *rapid.T, step func()) {
	before := time.Now()
	granted := len(m.filter(func(r *modelRequest) bool { return !r.granted.IsZero() }))
	time.Sleep(time.Microsecond) // separates grants of this step from earlier ones
	step()
	synctest.Wait()
	m.checkGrantLimits(t, before.Add(time.Microsecond), granted)
}

func (m *model) announce(state instance.State) {
	m.upstream.Announce(time.Now(), upstream.Announcement{
		State: state, Slots: m.slots, TimeToLive: upstream.MaxTimeToLive,
	})
}

// Guards against lost or duplicate wake-ups, leaked slots, exceeded limits, requests that wait
// forever and refusals of requests that ran, over random sequences of events.
func TestAdmissionAgainstOracle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(noDeadlineT{t}, func(rt *rapid.T) {
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
					if run := m.filter(isRunning); len(run) > 0 {
						r := rapid.SampledFrom(run).Draw(rt, "job")
						m.step(rt, func() { r.release(); r.release(); r.release = nil })
					}
				},
				"cancel": func(rt *rapid.T) {
					if wait := m.filter(isWaiting); len(wait) > 0 {
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
			m.checkFinalState(rt)
		})
	})
}

// checkFinalState ends all requests, and checks that each has one result and that all slots are free.
func (m *model) checkFinalState(t *rapid.T) {
	m.announce(instance.Draining)
	synctest.Wait()
	for _, r := range m.filter(isRunning) {
		r.release()
		r.release = nil
	}
	m.check(t)
	for _, r := range m.requests {
		r.cancel()
		if r.results != 1 {
			t.Fatalf("%s has %d results at the end", r.class.Name, r.results)
		}
	}
}
