package datacentre

import (
	"context"
	"log/slog"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/magnoliawharf/magnoliawharf/instance"
)

func TestMain(m *testing.M) {
	slog.SetLogLoggerLevel(slog.LevelWarn)
	os.Exit(m.Run())
}

const (
	statefulCentres = 2
	statefulSize    = 4 // members of a data centre
	// statefulLimit covers the slowest repair, the merge of a separate group: contactCheckInterval, the delay
	// before the check, and repairDelay.
	statefulLimit = 90 * time.Second
)

// oracle runs a small fleet and checks the records of every table against the changes that its members made.
type oracle struct {
	n            *network
	issued       map[instance.ID]map[uint64]uint64 // highest state version of each incarnation
	seen         map[*member]map[instance.ID]instance.Record
	blockedLinks map[[2]instance.ID]bool
}

func newOracle(t *rapid.T) *oracle {
	o := &oracle{
		n: newNetwork(), issued: make(map[instance.ID]map[uint64]uint64),
		seen: make(map[*member]map[instance.ID]instance.Record), blockedLinks: make(map[[2]instance.ID]bool),
	}
	o.n.t = t
	o.n.blocked = func(a, b *member) bool { return o.blockedLinks[[2]instance.ID{a.config.Self.ID, b.config.Self.ID}] }
	for _, c := range dataCentreNames(statefulCentres, 1) {
		for i := range statefulSize {
			o.n.seeds = append(o.n.seeds, record(c[0], c[1], i).PeerAddr)
		}
	}
	o.n.fill(statefulSize, dataCentreNames(statefulCentres, 1)...)
	return o
}

// drawMember draws a member. With removing it skips a draw that is gone already or the last member of its
// data centre, because no node declares the loss of a whole data centre.
func (o *oracle) drawMember(t *rapid.T, removing bool) *member {
	dataCentre, index := rapid.IntRange(0, statefulCentres-1).Draw(t, "centre"), rapid.IntRange(0, statefulSize-1).Draw(t, "index")
	c := dataCentreNames(statefulCentres, 1)[dataCentre]
	m := o.n.members[record(c[0], c[1], index).PeerAddr]
	live := 0
	for _, other := range o.n.live() {
		if other.local.Name == c[0] {
			live++
		}
	}
	if removing && (live < 2 || m.down || m.Self().State.Gone()) {
		t.Skip("the last member of a data centre is not removed")
	}
	return m
}

// check guards against records that are replaced by older ones, and against state versions that their member
// never issued, such as those of a gone incarnation that serves again.
func (o *oracle) check(t *rapid.T) {
	synctest.Wait()
	for _, m := range o.n.all() {
		self := m.Self()
		if o.issued[self.ID] == nil {
			o.issued[self.ID] = make(map[uint64]uint64)
		}
		o.issued[self.ID][self.Incarnation] = max(o.issued[self.ID][self.Incarnation], self.StateVersion)
	}
	for _, m := range o.n.live() {
		if o.seen[m] == nil {
			o.seen[m] = make(map[instance.ID]instance.Record)
		}
		for id, before := range o.seen[m] {
			now, ok := m.fleet.Get(id)
			if !ok || before.Newer(now) {
				t.Fatalf("%s replaced %+v by the older %+v", m.Self().ID, before, now)
			}
		}
		for _, r := range m.fleet.Select(func(instance.Record) bool { return true }) {
			o.seen[m][r.ID] = r
			if issued := o.issued[r.ID][r.Incarnation]; !r.State.Gone() && r.StateVersion > issued {
				t.Fatalf("%s holds %+v, but the member issued state versions only up to %d", m.Self().ID, r, issued)
			}
		}
	}
}

// Guards against sequences of crashes, restarts, leaves, freezes, partitions and message losses after which
// the live members disagree, a record is replaced by an older one, or a gone incarnation serves again.
func TestTablesConvergeAfterFaults(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		// The wrapper hides the deadline of the test, which must not be read in virtual time.
		rapid.Check(struct{ testing.TB }{t}, func(r *rapid.T) {
			o := newOracle(r)
			defer o.n.stopAll()
			withLock := func(change func(m *member)) func(*rapid.T) {
				return func(r *rapid.T) {
					m := o.drawMember(r, false)
					o.n.mu.Lock()
					defer o.n.mu.Unlock()
					change(m)
				}
			}
			r.Repeat(map[string]func(*rapid.T){
				"": func(r *rapid.T) {
					time.Sleep(time.Duration(rapid.IntRange(1, 4000).Draw(r, "ms")) * time.Millisecond)
					o.check(r)
				},
				"crash":  func(r *rapid.T) { o.n.kill(o.drawMember(r, true), rapid.Bool().Draw(r, "silent")) },
				"freeze": withLock(func(m *member) { m.thaw(); m.freeze() }),
				"thaw":   withLock(func(m *member) { m.thaw() }),
				"announce": func(r *rapid.T) {
					o.drawMember(r, false).Announce("catalogue", instance.Ready, rapid.IntRange(1, 9).Draw(r, "slots"))
				},
				"leave": func(r *rapid.T) {
					m := o.drawMember(r, true)
					ctx, cancel := context.WithTimeout(context.Background(), time.Second)
					defer cancel()
					o.n.mu.Lock()
					m.thaw()
					o.n.mu.Unlock()
					m.Leave(ctx)
					o.n.kill(m, false)
				},
				"restart": func(r *rapid.T) {
					if m := o.drawMember(r, false); m.down {
						o.n.mu.Lock()
						m.thaw()
						o.n.mu.Unlock()
						<-m.done
						o.n.start(m.config.Self, nil)
					}
				},
				"cut":  func(r *rapid.T) { o.setBlocked(o.drawMember(r, false), o.drawMember(r, false), true) },
				"mend": func(r *rapid.T) { o.setBlocked(o.drawMember(r, false), o.drawMember(r, false), false) },
				"loss": func(r *rapid.T) {
					o.n.mu.Lock()
					defer o.n.mu.Unlock()
					o.n.loss = rapid.SampledFrom([]float64{0, 0.1, 0.3}).Draw(r, "share")
				},
			})
			o.clearFaults()
			o.n.agreeWithin(statefulLimit)
			o.check(r)
		})
	})
}

func (o *oracle) setBlocked(a, b *member, blocked bool) {
	o.n.mu.Lock()
	defer o.n.mu.Unlock()
	o.blockedLinks[[2]instance.ID{a.config.Self.ID, b.config.Self.ID}] = blocked
}

func (o *oracle) clearFaults() {
	o.n.mu.Lock()
	defer o.n.mu.Unlock()
	clear(o.blockedLinks)
	o.n.loss = 0
	for _, m := range o.n.members {
		m.thaw()
	}
}
