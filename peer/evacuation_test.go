package peer_test

import (
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/peer"
)

// keys returns what a read of the store shows: evacuated zones with the revisions of their keys.
func keys(era int64, readAt time.Time, zones map[string]int64) peer.EvacuationKeys {
	return peer.EvacuationKeys{Zones: zones, Era: era, ReadAt: readAt}
}

func newEvacuations(log *strings.Builder) *peer.Evacuations {
	return peer.NewEvacuations(peer.EvacuationOptions{Zone: "own", Log: slog.New(slog.NewTextHandler(log, nil))})
}

// Guards against an older state that replaces a later one: from a late datagram, from a read that began before a change, or from before a
// return of the store to an older copy.
func TestLaterStateOfAnEvacuationWins(t *testing.T) {
	start := time.Now()
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	told := func(active bool, era, revision int64) peer.Evacuation {
		return peer.Evacuation{Zone: "z", Active: active, Era: era, Revision: revision}
	}
	removed := func(era, revision int64) peer.EvacuationKeys {
		return peer.EvacuationKeys{Era: era, ReadAt: at(0), Removed: map[string]int64{"z": revision}}
	}
	key := func(revision int64) map[string]int64 { return map[string]int64{"z": revision} }
	// Step i happens at second 10 times i.
	for name, test := range map[string]struct {
		steps []any // peer.Evacuation from a node, or peer.EvacuationKeys from the store
		want  bool
	}{
		"begins":                                    {[]any{keys(1, at(0), key(10))}, true},
		"a late end of an earlier evacuation":       {[]any{told(true, 1, 10), told(false, 1, 9)}, true},
		"ends":                                      {[]any{told(true, 1, 10), told(false, 1, 12)}, false},
		"a late beginning":                          {[]any{told(true, 1, 10), told(false, 1, 12), told(true, 1, 10)}, false},
		"begins again":                              {[]any{told(true, 1, 10), told(false, 1, 11), told(true, 1, 12)}, true},
		"removal seen by a watch":                   {[]any{keys(1, at(0), key(10)), removed(1, 11)}, false},
		"late removal of an earlier key":            {[]any{keys(1, at(0), key(10)), removed(1, 9)}, true},
		"missing from a later read":                 {[]any{keys(1, at(0), key(10)), keys(1, at(9), nil)}, false},
		"missing from a read that began before":     {[]any{told(true, 1, 10), keys(1, at(0).Add(-1), nil)}, true},
		"missing, then written again":               {[]any{keys(1, at(0), key(10)), keys(1, at(9), nil), keys(1, at(19), key(12))}, true},
		"missing, then a late beginning":            {[]any{keys(1, at(0), key(10)), keys(1, at(9), nil), told(true, 1, 10)}, false},
		"missing in an earlier era":                 {[]any{told(true, 2, 10), keys(1, at(9), nil)}, true},
		"missing in a copy that has just come back": {[]any{keys(1, at(0), key(10)), keys(2, at(9), nil), keys(2, at(19), nil)}, true},
		"missing in a copy for long":                {[]any{keys(1, at(0), key(10)), keys(2, at(9), nil), keys(2, at(19), nil), keys(2, at(40), nil)}, false},
		"removed after a return of the store":       {[]any{keys(1, at(0), key(10)), keys(2, at(9), key(8)), removed(2, 9)}, false},
		"removed after a return, the key not read":  {[]any{keys(1, at(0), key(10)), removed(2, 9)}, false},
		"ended, and back with an older copy":        {[]any{keys(1, at(0), key(10)), removed(1, 11), keys(2, at(9), key(10))}, true},
		"late message of an earlier era":            {[]any{keys(2, at(0), key(5)), told(false, 1, 90)}, true},
		"a store without eras":                      {[]any{keys(0, at(0), key(10)), keys(0, at(9), nil)}, false},
	} {
		t.Run(name, func(t *testing.T) {
			e := newEvacuations(&strings.Builder{})
			for i, step := range test.steps {
				switch now := at(10 * i); s := step.(type) {
				case peer.Evacuation:
					e.Merge(now, []peer.Evacuation{s})
				case peer.EvacuationKeys:
					e.ApplyKeys(now, s)
				}
			}
			assert.Equal(t, e.IsActive("z"), test.want, "%+v", e.States())
		})
	}
}

// Guards against keys with odd names, or far too many, that take up the memory or fill the log, or that hide the evacuation of the own zone.
func TestOddAndManyEvacuations(t *testing.T) {
	log := &strings.Builder{}
	e := newEvacuations(log)
	zones := map[string]int64{"": 1, strings.Repeat("x", 129): 2, "\xff": 3, "a/b": 4}
	for i := range 10_000 {
		zones[fmt.Sprintf("zone-%05d", i)] = int64(i + 10)
	}
	for range 5 {
		e.ApplyKeys(time.Now(), keys(1, time.Now(), zones))
	}
	assert.Check(t, len(e.States()) <= 64, "%d zones", len(e.States()))
	assert.Check(t, e.IsActive("a/b") && !e.IsActive("") && !e.IsActive("\xff"))
	assert.Equal(t, strings.Count(log.String(), "evacuations ignored"), 1)
	assert.Check(t, e.Merge(time.Now(), []peer.Evacuation{{Zone: "own", Active: true, Era: 1, Revision: 5}}))
	assert.Check(t, e.IsActive("own"), "the own zone was not recorded")
	e.ApplyKeys(time.Now(), keys(1, time.Now(), nil))
	assert.Check(t, e.Merge(time.Now(), []peer.Evacuation{{Zone: "later", Active: true, Era: 1, Revision: 20_000}}), "ended evacuations leave no room")
	for _, s := range []peer.Evacuation{{Zone: "z", Era: -1, Revision: 1}, {Zone: "z", Era: 1}, {Era: 1, Revision: 1}} {
		assert.Check(t, !s.Valid(), "%+v", s)
	}
}

// Guards against a change of the own zone that is not applied, or applied without need.
func TestOwnZoneIsReported(t *testing.T) {
	changes := 0
	e := peer.NewEvacuations(peer.EvacuationOptions{Zone: "own", OnChange: func() { changes++ }, Log: slog.New(slog.DiscardHandler)})
	for i, states := range [][]peer.Evacuation{
		{{Zone: "other", Active: true, Revision: 1}}, {{Zone: "own", Active: true, Revision: 2}}, {{Zone: "own", Active: true, Revision: 3}}, {{Zone: "own", Revision: 4}},
	} {
		e.Merge(time.Now(), states)
		assert.Equal(t, changes, []int{0, 1, 1, 2}[i])
	}
}

// evacuatedRoster is rosterOf with evacuations and the states that it sends with its statuses.
func evacuatedRoster(t *testing.T, count int) (*peer.Roster, *peer.Evacuations, map[netip.AddrPort]int) {
	t.Helper()
	n, _ := rosterOf(t, count)
	sent := make(map[netip.AddrPort]int)
	e := peer.NewEvacuations(peer.EvacuationOptions{
		Zone: "z0", Send: func(to netip.AddrPort, states []peer.Evacuation) { sent[to] += len(states) }, Log: slog.New(slog.DiscardHandler),
	})
	n.roster = peer.NewRoster(peer.Options{
		Zone: "z0", Address: address(200), Routing: peer.Routing{FreshFor: 20 * time.Millisecond}, Sender: n, Self: n.self, Evacuations: e, Log: slog.New(slog.DiscardHandler),
	})
	for i := 1; i <= count; i++ {
		n.roster.AddNode(address(i))
	}
	time.Sleep(10 * time.Millisecond)
	synctest.Wait()
	return n.roster, e, sent
}

// Guards against requests that are placed in an evacuated zone, or that wait when all zones are evacuated.
func TestNoRequestIsPlacedInAnEvacuatedZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, e, _ := evacuatedRoster(t, 6)
		e.Merge(time.Now(), []peer.Evacuation{{Zone: "z0", Active: true, Revision: 1}})
		for range 30 {
			assert.Equal(t, choose(t, r).Status.Zone, "z1")
		}
		e.Merge(time.Now(), []peer.Evacuation{{Zone: "z1", Active: true, Revision: 2}})
		began := time.Now()
		_, err := r.Choose(t.Context(), peer.Criteria{Service: "s", ServiceTime: time.Second, AnswerWithin: time.Minute})
		assert.Assert(t, errors.Is(err, peer.ErrNoUpstream), "%v", err)
		assert.Equal(t, time.Since(began), time.Duration(0))
		e.Merge(time.Now(), []peer.Evacuation{{Zone: "z0", Revision: 3}})
		assert.Equal(t, choose(t, r).Status.Zone, "z0")
	})
}

// Guards against a node that starts, or has missed a change, and never learns of an evacuation or of its end.
func TestStatusesAreFollowedByTheEvacuations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, e, sent := evacuatedRoster(t, 2)
		r.BroadcastStatus()
		assert.Equal(t, len(sent), 0, "no zone was ever evacuated")
		e.Merge(time.Now(), []peer.Evacuation{{Zone: "z1", Active: true, Revision: 1}})
		r.BroadcastStatus()
		assert.DeepEqual(t, sent, map[netip.AddrPort]int{address(1): 1, address(2): 1})
		e.Merge(time.Now(), []peer.Evacuation{{Zone: "z1", Revision: 2}})
		r.HandleStatus(address(3), peer.StatusMessage{Status: peer.Status{Node: "n3", Boot: 3, Address: "10.0.0.3:80"}, ReplyRequested: true})
		assert.Equal(t, sent[address(3)], 1, "a node that starts")
	})
}

// Guards against a whole data centre that returns cold and gets the requests of the others, which are full, beyond its cold rate; and
// against one whose cold rate is not used.
func TestDataCentreReturnsColdWhileTheOthersAreFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, r := rosterOf(t, 6)
		const coldPerSecond, left = 14, 5
		for i := 1; i <= 6; i++ {
			if i%2 == 0 { // zone z0 is cold
				n.change(i, func(n *node) { n.limit, n.load.ServiceTimePercent = limitAt(i, coldPerSecond, left), 200 })
				continue
			}
			n.change(i, func(n *node) { n.load.Running, n.load.Waiting = 8, 8 })
		}
		placed := make(map[string]int)
		for range 60 {
			c, err := r.Choose(t.Context(), peer.Criteria{Service: "s", ServiceTime: 50 * time.Millisecond, AnswerWithin: 400 * time.Millisecond})
			var limited *peer.LimitedError
			if errors.As(err, &limited) {
				break
			}
			assert.NilError(t, err)
			placed[c.Status.Zone]++
			if c.Limit.Named {
				assert.Check(t, c.LimitWait < 400*time.Millisecond, "%v", c.LimitWait)
			}
		}
		assert.Check(t, placed["z0"] >= 3*left, "the cold rate was not used: %v", placed)
		assert.Check(t, placed["z1"] > 0, "all went to cold upstreams: %v", placed)
	})
}
