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
	// statefulBound covers the slowest repair, which is a group that formed apart: contactCheck, the
	// wait before it, and settleTime.
	statefulBound = 90 * time.Second
)

// oracle runs a small fleet and checks what every table holds against what its members did.
type oracle struct {
	n      *network
	issued map[instance.ID]map[uint64]uint64 // highest state version of each incarnation
	seen   map[*member]map[instance.ID]instance.Record
	cuts   map[[2]instance.ID]bool
}

func newOracle(t *rapid.T) *oracle {
	o := &oracle{
		n: newNetwork(), issued: make(map[instance.ID]map[uint64]uint64),
		seen: make(map[*member]map[instance.ID]instance.Record), cuts: make(map[[2]instance.ID]bool),
	}
	o.n.t = t
	o.n.cut = func(a, b *member) bool { return o.cuts[[2]instance.ID{a.config.Self.ID, b.config.Self.ID}] }
	for _, c := range centres(statefulCentres, 1) {
		for i := range statefulSize {
			o.n.seeds = append(o.n.seeds, record(c[0], c[1], i).PeerAddr)
		}
	}
	o.n.fill(statefulSize, centres(statefulCentres, 1)...)
	return o
}

// pick draws a member that may be taken away: each data centre keeps one, because the loss of a
// whole data centre is declared by nobody.
func (o *oracle) pick(t *rapid.T, away bool) *member {
	centre, index := rapid.IntRange(0, statefulCentres-1).Draw(t, "centre"), rapid.IntRange(0, statefulSize-1).Draw(t, "index")
	c := centres(statefulCentres, 1)[centre]
	m := o.n.members[record(c[0], c[1], index).PeerAddr]
	live := 0
	for _, other := range o.n.live() {
		if other.home.Name == c[0] {
			live++
		}
	}
	if away && (live < 2 || m.down || m.Self().State.Gone()) {
		t.Skip("the last member stays")
	}
	return m
}

// check guards against records that go back, and against state versions that their member never
// issued: a gone incarnation that serves again would have one.
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
				t.Fatalf("%s went back from %+v to %+v", m.Self().ID, before, now)
			}
		}
		for _, r := range m.fleet.Select(func(instance.Record) bool { return true }) {
			o.seen[m][r.ID] = r
			if issued := o.issued[r.ID][r.Incarnation]; !r.State.Gone() && r.StateVersion > issued {
				t.Fatalf("%s holds %+v, of which only version %d was issued", m.Self().ID, r, issued)
			}
		}
	}
}

// Guards against any sequence of crashes, restarts, leaves, freezes, cuts and losses after which
// the live members do not agree, or in which a record goes back or a gone incarnation serves again.
func TestAnySequenceOfFaultsEndsInAgreement(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		// The wrapper hides the deadline of the test, which must not be read in virtual time.
		rapid.Check(struct{ testing.TB }{t}, func(r *rapid.T) {
			o := newOracle(r)
			defer o.n.stopAll()
			locked := func(change func(m *member)) func(*rapid.T) {
				return func(r *rapid.T) {
					m := o.pick(r, false)
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
				"crash":  func(r *rapid.T) { o.n.kill(o.pick(r, true), rapid.Bool().Draw(r, "silent")) },
				"freeze": locked(func(m *member) { m.thaw(); m.freeze() }),
				"thaw":   locked(func(m *member) { m.thaw() }),
				"announce": func(r *rapid.T) {
					o.pick(r, false).Announce("catalogue", instance.Ready, rapid.IntRange(1, 9).Draw(r, "slots"))
				},
				"leave": func(r *rapid.T) {
					m := o.pick(r, true)
					ctx, cancel := context.WithTimeout(context.Background(), time.Second)
					defer cancel()
					o.n.mu.Lock()
					m.thaw()
					o.n.mu.Unlock()
					m.Leave(ctx)
					o.n.kill(m, false)
				},
				"restart": func(r *rapid.T) {
					if m := o.pick(r, false); m.down {
						o.n.mu.Lock()
						m.thaw()
						o.n.mu.Unlock()
						<-m.done
						o.n.start(m.config.Self, nil)
					}
				},
				"cut":  func(r *rapid.T) { o.setCut(o.pick(r, false), o.pick(r, false), true) },
				"mend": func(r *rapid.T) { o.setCut(o.pick(r, false), o.pick(r, false), false) },
				"loss": func(r *rapid.T) {
					o.n.mu.Lock()
					defer o.n.mu.Unlock()
					o.n.loss = rapid.SampledFrom([]float64{0, 0.1, 0.3}).Draw(r, "share")
				},
			})
			o.mendAll()
			o.n.agreeWithin(statefulBound)
			o.check(r)
		})
	})
}

func (o *oracle) setCut(a, b *member, cut bool) {
	o.n.mu.Lock()
	defer o.n.mu.Unlock()
	o.cuts[[2]instance.ID{a.config.Self.ID, b.config.Self.ID}] = cut
}

func (o *oracle) mendAll() {
	o.n.mu.Lock()
	defer o.n.mu.Unlock()
	clear(o.cuts)
	o.n.loss = 0
	for _, m := range o.n.members {
		m.thaw()
	}
}
