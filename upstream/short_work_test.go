package upstream_test

import (
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/bundle"
	"github.com/magnoliawharf/magnoliawharf/instance"
	"github.com/magnoliawharf/magnoliawharf/upstream"
)

// classLoad is the load of one class: requests that arrive at random and take between half and one and a half times the mean.
type classLoad struct {
	class     bundle.Class
	perSecond float64
	mean      time.Duration
	objective time.Duration
	timeout   time.Duration
	retried   bool
}

// playClasses sends the loads to one upstream for the duration, in virtual time, and returns the outcomes by class.
func playClasses(t *testing.T, seed uint64, slots int, duration time.Duration, loads ...classLoad) map[string]served {
	t.Helper()
	outcomes := make(map[string]served)
	synctest.Test(t, func(t *testing.T) {
		u := upstream.NewWithOptions(upstream.Options{TimeToLive: time.Hour, SlotShare: 1})
		u.Announce(time.Now(), upstream.Announcement{State: instance.Ready, Slots: slots, TimeToLive: time.Hour})
		var mu sync.Mutex
		var work sync.WaitGroup
		send := func(l classLoad, took time.Duration) {
			arrived := time.Now()
			release, err := u.Admit(t.Context(), upstream.AdmitRequest{Class: l.class, Deadline: arrived.Add(l.timeout), Objective: arrived.Add(l.objective), Retried: l.retried})
			if err == nil {
				time.Sleep(took)
				release()
			}
			mu.Lock()
			defer mu.Unlock()
			s := outcomes[l.class.Name]
			s.total++
			switch {
			case err != nil:
				s.refused++
			case time.Since(arrived) <= l.objective:
				s.onTime++
			default:
				s.late++
			}
			outcomes[l.class.Name] = s
		}
		for i, l := range loads {
			random := rand.New(rand.NewPCG(seed, uint64(i)))
			work.Go(func() {
				for start := time.Now(); time.Since(start) < duration; {
					time.Sleep(time.Duration(random.ExpFloat64() / l.perSecond * float64(time.Second)))
					took := time.Duration((0.5 + random.Float64()) * float64(l.mean))
					work.Go(func() { send(l, took) })
				}
			})
		}
		work.Wait()
	})
	return outcomes
}

// Guards against the pattern "short look-ups among long work, more than fits": look-ups with an objective of a few service times are
// refused whenever no slot is free, and the requests that wait for their answers at other upstreams fail after they have held a slot.
func TestShortWorkIsNotRefusedBesideLongWork(t *testing.T) {
	const (
		maxRefusedShare = 0.02 // of the short work
		minOnTimeShare  = 0.8  // of the slots that the short work leaves
		slots           = 7
		duration        = time.Minute
	)
	short := classLoad{
		class: bundle.Class{Name: "look-up", MaxQueue: 2 * slots, Priority: 1}, perSecond: 12, mean: 60 * time.Millisecond,
		objective: 150 * time.Millisecond, timeout: 600 * time.Millisecond, retried: true,
	}
	long := classLoad{
		class: bundle.Class{Name: "order", MaxQueue: 2 * slots, Priority: 1}, perSecond: 26, mean: 340 * time.Millisecond,
		objective: time.Second, timeout: 2500 * time.Millisecond,
	}
	for seed := range uint64(5) {
		outcomes := playClasses(t, seed, slots, duration, short, long)
		lookups, orders := outcomes["look-up"], outcomes["order"]
		t.Logf("look-ups %+v, orders %+v", lookups, orders)
		assert.Check(t, float64(lookups.refused) <= maxRefusedShare*float64(lookups.total), "%d of %d look-ups refused", lookups.refused, lookups.total)
		first := short
		first.retried = false
		refusedFirst := playClasses(t, seed, slots, duration, first, long)["look-up"].refused
		assert.Check(t, refusedFirst > lookups.refused, "%d refused at the first attempt, when another upstream may have room", refusedFirst)
		left := duration.Seconds() * (slots - short.perSecond*short.mean.Seconds()) / long.mean.Seconds()
		assert.Check(t, float64(orders.onTime) >= minOnTimeShare*left, "%d orders in time, %.0f fit", orders.onTime, left)
	}
}

// Guards against work that is taken for short because it is the fastest of similar classes, and then waits beyond its objective.
func TestSimilarWorkIsRefusedAtItsObjective(t *testing.T) {
	const slots = 7
	load := func(name string, mean time.Duration) classLoad {
		return classLoad{
			class: bundle.Class{Name: name, MaxQueue: 2 * slots}, perSecond: 18, mean: mean, objective: 600 * time.Millisecond, timeout: 1500 * time.Millisecond, retried: true,
		}
	}
	outcomes := playClasses(t, 1, slots, time.Minute, load("view", 250*time.Millisecond), load("edit", 340*time.Millisecond))
	for name, s := range outcomes {
		assert.Check(t, float64(s.late) <= 0.15*float64(s.onTime+s.late), "%s: %+v", name, s)
		assert.Check(t, s.refused > 0, "%s: the load is no overload", name)
	}
}
