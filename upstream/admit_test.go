package upstream_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/bundle"
	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/instance"
	"github.com/magnoliawharf/magnoliawharf/upstream"
)

var (
	short   = bundle.Class{Name: "short", MaxQueue: 20, MaxWait: 5 * time.Second}
	long    = bundle.Class{Name: "long", Priority: 1, Long: true, MaxQueue: 20}
	history = bundle.Class{Name: "history", Priority: 3, MayWait: true, MaxQueue: 20}
)

// admissionRecorder sends requests to one upstream and records the order of grants and the refusals.
type admissionRecorder struct {
	t        *testing.T
	mu       sync.Mutex // guards order, refused and releases, which the goroutines of requests write
	upstream *upstream.Upstream
	order    []string
	refused  map[string]caller.Reason
	releases map[string]func()
}

func newAdmissionRecorder(t *testing.T, slots int) *admissionRecorder {
	a := &admissionRecorder{t: t, upstream: upstream.New(), refused: map[string]caller.Reason{}, releases: map[string]func(){}}
	a.announce(instance.Ready, slots)
	return a
}

func (a *admissionRecorder) announce(state instance.State, slots int) {
	a.upstream.Announce(time.Now(), upstream.Announcement{State: state, Slots: slots, TimeToLive: time.Hour})
}

// arrive sends a request that holds its slot until release is called.
func (a *admissionRecorder) arrive(id string, class bundle.Class, timeout time.Duration) {
	req := upstream.AdmitRequest{ID: id, Class: class, Deadline: time.Now().Add(timeout)}
	go func() {
		release, err := a.upstream.Admit(a.t.Context(), req)
		a.mu.Lock()
		defer a.mu.Unlock()
		var refusal *caller.Refusal
		if errors.As(err, &refusal) {
			assert.Equal(a.t, refusal.Ran, caller.NotRun)
			a.refused[id] = refusal.Reason
			return
		}
		a.order = append(a.order, id)
		a.releases[id] = release
	}()
	synctest.Wait()
}

func (a *admissionRecorder) release(id string) {
	a.mu.Lock()
	release := a.releases[id]
	delete(a.releases, id)
	a.mu.Unlock()
	release()
	synctest.Wait()
}

// releaseAll releases each request as soon as it is granted and returns the order of grants.
func (a *admissionRecorder) releaseAll() []string {
	for len(a.releases) > 0 {
		for id := range a.releases {
			a.release(id)
			break
		}
	}
	return a.order
}

// Guards against short work that waits behind downloads, and against long work that never gets a slot.
func TestLongWorkLeavesSlotsForShortWork(t *testing.T) {
	for _, slots := range []int{2, 6, 12} {
		synctest.Test(t, func(t *testing.T) {
			a := newAdmissionRecorder(t, slots)
			for i := range slots {
				a.arrive("long"+string(rune('a'+i)), long, time.Hour)
			}
			assert.Equal(t, len(a.order), slots/2, "long requests in flight")
			a.arrive("short", short, time.Second)
			assert.Equal(t, a.order[len(a.order)-1], "short")
			a.announce(instance.Draining, slots)
			a.releaseAll()
		})
	}
}

// Guards against waiting requests that are granted in any order but priority first, then earliest deadline.
func TestWaitingRequestsAreGrantedByPriorityThenDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAdmissionRecorder(t, 1)
		a.arrive("running", short, time.Hour)
		a.arrive("history", history, time.Hour)
		a.arrive("late", short, 4*time.Second)
		a.arrive("early", short, 3*time.Second)
		assert.DeepEqual(t, a.releaseAll(), []string{"running", "early", "late", "history"})
	})
}

// Guards against work that may wait being starved by a steady stream of urgent work, and against
// aged work that takes every slot from then on.
func TestWorkThatMayWaitIsNotStarved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAdmissionRecorder(t, 1)
		a.arrive("running", short, time.Hour)
		for _, id := range []string{"h1", "h2", "h3", "h4", "h5", "h6"} {
			a.arrive(id, history, time.Hour)
		}
		arrivals := 0
		historyRuns := func() (n int) {
			for _, id := range a.order {
				if id[0] == 'h' {
					n++
				}
			}
			return n
		}
		previous := "running"
		// For 13 s an urgent request is always waiting. The history class needs three aging steps to reach priority 0 and
		// one more to precede it, so it gets one grant every 4 s.
		for range 130 {
			arrivals++
			a.announce(instance.Ready, 1)
			a.arrive("s"+string(rune(1000+arrivals)), short, 4*time.Second)
			time.Sleep(100 * time.Millisecond)
			a.release(previous)
			previous = a.order[len(a.order)-1]
		}
		assert.Equal(t, historyRuns(), 3)
		assert.Assert(t, len(a.order) > 120)
		a.announce(instance.Draining, 1)
		a.releaseAll()
	})
}

// Guards against admission that misses a refusal or gives the wrong reason.
func TestRefusals(t *testing.T) {
	tight := bundle.Class{Name: "short", MaxQueue: 1, MaxWait: 50 * time.Millisecond}
	cases := []struct {
		name  string
		setup func(a *admissionRecorder)
		id    string
		want  caller.Reason
	}{
		{"deadline passed on arrival", func(a *admissionRecorder) { a.arrive("x", short, 0) }, "x", caller.DeadlinePassed},
		{"drain refuses the waiting", func(a *admissionRecorder) {
			a.arrive("x", short, time.Second)
			a.announce(instance.Draining, 1)
			synctest.Wait()
		}, "x", caller.Draining},
		{"drain refuses the new", func(a *admissionRecorder) {
			a.announce(instance.Draining, 1)
			a.arrive("x", short, time.Second)
		}, "x", caller.Draining},
		{"expiry refuses the waiting", func(a *admissionRecorder) {
			a.arrive("x", short, time.Hour)
			time.Sleep(upstream.MaxTimeToLive)
			synctest.Wait()
		}, "x", caller.NotReady},
		{"longest wait", func(a *admissionRecorder) {
			a.arrive("x", tight, time.Second)
			time.Sleep(tight.MaxWait)
			synctest.Wait()
		}, "x", caller.Overload},
		{"deadline while waiting", func(a *admissionRecorder) {
			a.arrive("x", short, time.Second)
			time.Sleep(time.Second)
			synctest.Wait()
		}, "x", caller.DeadlinePassed},
		{"full queue refuses the new with the later deadline", func(a *admissionRecorder) {
			a.arrive("kept", tight, time.Second)
			a.arrive("x", tight, 2*time.Second)
		}, "x", caller.QueueFull},
		{"full queue sheds the waiting with the later deadline", func(a *admissionRecorder) {
			a.arrive("x", tight, 2*time.Second)
			a.arrive("kept", tight, time.Second)
		}, "x", caller.QueueFull},
		{"deadline that cannot be met", func(a *admissionRecorder) {
			time.Sleep(100 * time.Millisecond)
			a.release("running")
			a.arrive("running", short, time.Hour)
			a.arrive("x", short, 150*time.Millisecond)
		}, "x", caller.DeadlineUnmeetable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := newAdmissionRecorder(t, 1)
				a.arrive("running", short, time.Hour)
				c.setup(a)
				assert.Equal(t, a.refused[c.id], c.want)
				_, keptRefused := a.refused["kept"]
				assert.Assert(t, !keptRefused)
				a.announce(instance.Draining, 1)
				a.releaseAll()
			})
		})
	}
}

// Guards against a slot that leaks when a waiting request is cancelled at the moment of its grant.
func TestCancelledWaitLeaksNoSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAdmissionRecorder(t, 1)
		a.arrive("running", short, time.Hour)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error)
		go func() {
			_, err := a.upstream.Admit(ctx, upstream.AdmitRequest{Class: short, Deadline: time.Now().Add(time.Second)})
			ended <- err
		}()
		synctest.Wait()
		cancel()
		a.releases["running"]()
		<-ended
		synctest.Wait()
		assert.Equal(t, a.upstream.Report().InUse, 0)
	})
}

// Guards against a limit that is not lowered when service times grow with concurrency, and against one that
// collapses when all requests slow down regardless of concurrency.
func TestAdaptiveLimit(t *testing.T) {
	cases := []struct {
		name    string
		service func(concurrency, round int) time.Duration
		low     int
		high    int
	}{
		{"constant", func(int, int) time.Duration { return 10 * time.Millisecond }, 12, 12},
		{"contended", func(n, _ int) time.Duration { return time.Duration(n*n) * time.Millisecond }, 6, 9},
		{"general slow-down", func(_, round int) time.Duration {
			return time.Duration(10+min(round, 400)/4) * time.Millisecond
		}, 6, 12},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := newAdmissionRecorder(t, 12)
				for round := range 1000 {
					if round%10 == 0 {
						a.announce(instance.Ready, 12)
					}
					n := 3 + 9*(round%2) // alternates low and high concurrency
					var releases []func()
					for range n {
						ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
						release, err := a.upstream.Admit(ctx, upstream.AdmitRequest{Class: short, Deadline: time.Now().Add(time.Hour)})
						cancel()
						if err == nil {
							releases = append(releases, release)
						}
					}
					time.Sleep(c.service(len(releases), round))
					for _, release := range releases {
						release()
					}
				}
				got := a.upstream.Report().Slots
				assert.Assert(t, got >= c.low && got <= c.high, "limit is %d, want %d to %d", got, c.low, c.high)
			})
		})
	}
}

// Guards against short requests that are refused for an expected wait which includes requests with later deadlines:
// among equal priorities the earliest deadline goes first.
func TestExpectedWaitIgnoresLaterDeadlines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		heavy := bundle.Class{Name: "heavy", MaxQueue: 20}
		light := bundle.Class{Name: "light", MaxQueue: 20}
		a := newAdmissionRecorder(t, 2)
		for i := range 4 { // establishes the service times of both classes
			id := string(rune('a' + i))
			a.arrive("heavy-"+id, heavy, time.Minute)
			time.Sleep(400 * time.Millisecond)
			a.release("heavy-" + id)
			a.arrive("light-"+id, light, time.Minute)
			time.Sleep(20 * time.Millisecond)
			a.release("light-" + id)
		}
		for i := range 6 { // two run, four wait
			a.arrive("later-"+string(rune('a'+i)), heavy, time.Minute)
		}
		a.arrive("first", light, 500*time.Millisecond)
		assert.Equal(t, a.refused["first"], caller.Reason(""))
		a.release("later-a")
		assert.Assert(t, a.releases["first"] != nil, "granted: %v", a.order)
		a.releaseAll()
	})
}
