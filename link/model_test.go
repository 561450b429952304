package link_test

import (
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/magnoliawharf/magnoliawharf/instance"
	"github.com/magnoliawharf/magnoliawharf/link"
)

// A fixed seed makes the runs of CI repeatable; -rapid.seed overrides it.
func init() { _ = flag.Set("rapid.seed", "20261204") }

// bubbleT hides testing.T.Deadline, which rapid would call and a synctest bubble forbids.
type bubbleT struct{ testing.TB }

type attempt struct {
	link     *link.Link
	token    *link.Token
	answered bool
}

// setModel is the oracle of a set: it keeps the records and the attempts in flight by itself.
type setModel struct {
	fleet   *instance.Fleet
	table   *link.Table
	records map[instance.ID]instance.Record
	flying  []attempt
}

func (m *setModel) change(t *rapid.T) {
	id := instance.ID(fmt.Sprint("i", rapid.IntRange(0, 9).Draw(t, "id")))
	record := m.records[id]
	record.ID, record.Service, record.Slots = id, "catalogue", 4
	record.DataCentre = rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "data centre")
	record.StateVersion++
	if rapid.Bool().Draw(t, "restart") || record.Incarnation == 0 {
		record.Incarnation++
	}
	record.State = rapid.SampledFrom([]instance.State{
		instance.Ready, instance.Ready, instance.Cold, instance.Draining, instance.Left, instance.Failed,
	}).Draw(t, "state")
	m.records[id] = record
	m.fleet.Merge(record)
}

func (m *setModel) serving() (n int) {
	for _, record := range m.records {
		if record.State.Serves() {
			n++
		}
	}
	return n
}

func (m *setModel) choose(t *rapid.T) {
	kind := rapid.SampledFrom([]link.Kind{link.Short, link.Long}).Draw(t, "kind")
	chosen, err := m.table.Set("catalogue").Choose(time.Now(), kind, func(instance.ID) bool { return false })
	if err != nil {
		if n := m.serving(); n > 0 {
			t.Fatalf("no link chosen although %d instances serve", n)
		}
		return
	}
	record := m.records[chosen.Record().ID]
	if !record.State.Serves() || record.Incarnation != chosen.Record().Incarnation {
		t.Fatalf("chose %+v, the fleet holds %+v", chosen.Record(), record)
	}
	m.flying = append(m.flying, attempt{link: chosen, token: chosen.Begin(time.Now(), kind)})
}

func (m *setModel) finish(t *rapid.T) {
	if len(m.flying) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.flying)-1).Draw(t, "attempt")
	a := m.flying[i]
	result := rapid.SampledFrom([]link.Result{
		link.Served, link.Failed, link.Lost, link.Lost, link.Unreachable, link.Refused, link.Late, link.Abandoned,
	}).Draw(t, "result")
	// All reports say that the upstream serves, since the oracle knows only the records.
	report := &link.Report{State: instance.Ready, Slots: 4, InUse: rapid.IntRange(0, 4).Draw(t, "in use")}
	if !a.answered && rapid.Bool().Draw(t, "header first") {
		a.link.Answered(time.Now(), a.token, result, report)
		m.flying[i].answered = true
		return
	}
	a.link.End(time.Now(), a.token, result, report)
	m.flying = append(m.flying[:i], m.flying[i+1:]...)
}

func (m *setModel) check(t *rapid.T) {
	set := m.table.Set("catalogue")
	if out := set.Ejected(); out < 0 || 2*out > set.Len() {
		t.Fatalf("%d of %d links are ejected", out, set.Len())
	}
	flying := make(map[*link.Link]int)
	for _, a := range m.flying {
		flying[a.link]++
	}
	for _, l := range set.Links() {
		if l.InFlight() != flying[l] {
			t.Fatalf("%s has %d requests in flight, oracle counts %d", l.Record().ID, l.InFlight(), flying[l])
		}
	}
}

// Guards against choosing an instance that does not serve, against finding none although one
// serves, against too many ejected links and against a wrong count of requests in flight.
func TestSetAgainstOracle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(bubbleT{t}, func(rt *rapid.T) {
			fleet := instance.NewFleet()
			m := &setModel{fleet: fleet, table: link.NewTable(fleet, link.At("a")), records: map[instance.ID]instance.Record{}}
			rt.Repeat(map[string]func(*rapid.T){
				"": m.check, "change": m.change, "choose": m.choose, "choose again": m.choose,
				"finish": m.finish, "finish again": m.finish,
				"advance": func(rt *rapid.T) {
					time.Sleep(time.Duration(rapid.IntRange(1, 3000).Draw(rt, "ms")) * time.Millisecond)
				},
			})
		})
	})
}
