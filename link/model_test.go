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

// noDeadlineT hides testing.T.Deadline, which rapid calls and which is not permitted in a synctest bubble.
type noDeadlineT struct{ testing.TB }

type attempt struct {
	link     *link.Link
	token    *link.Token
	answered bool
}

// setModel is the reference model of a set: it tracks the records and the attempts in flight independently.
type setModel struct {
	fleet    *instance.Fleet
	table    *link.Table
	records  map[instance.ID]instance.Record
	inFlight []attempt
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
	m.inFlight = append(m.inFlight, attempt{link: chosen, token: chosen.Begin(time.Now(), kind)})
}

func (m *setModel) finish(t *rapid.T) {
	if len(m.inFlight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.inFlight)-1).Draw(t, "attempt")
	a := m.inFlight[i]
	result := rapid.SampledFrom([]link.Result{
		link.Served, link.ServerError, link.ConnectionLost, link.ConnectionLost, link.Unreachable, link.Refused, link.TimedOut, link.Cancelled,
	}).Draw(t, "result")
	// All reports say that the upstream serves, since the model knows only the records.
	report := &link.Report{State: instance.Ready, Slots: 4, InUse: rapid.IntRange(0, 4).Draw(t, "in use")}
	if !a.answered && rapid.Bool().Draw(t, "header first") {
		a.link.RecordAnswer(time.Now(), a.token, result, report)
		m.inFlight[i].answered = true
		return
	}
	a.link.End(time.Now(), a.token, result, report)
	m.inFlight = append(m.inFlight[:i], m.inFlight[i+1:]...)
}

func (m *setModel) check(t *rapid.T) {
	set := m.table.Set("catalogue")
	if ejected := set.EjectedCount(); ejected < 0 || 2*ejected > set.Len() {
		t.Fatalf("%d of %d links are ejected", ejected, set.Len())
	}
	attempts := make(map[*link.Link]int)
	for _, a := range m.inFlight {
		attempts[a.link]++
	}
	for _, l := range set.Links() {
		if l.InFlight() != attempts[l] {
			t.Fatalf("%s has %d requests in flight, the model counts %d", l.Record().ID, l.InFlight(), attempts[l])
		}
	}
}

// Guards against a choice of an instance that does not serve, a failed choice although an instance serves, too many
// ejected links, and a wrong count of requests in flight.
func TestSetAgainstOracle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(noDeadlineT{t}, func(rt *rapid.T) {
			fleet := instance.NewFleet()
			m := &setModel{fleet: fleet, table: link.NewTable(fleet, link.WithDataCentre("a")), records: map[instance.ID]instance.Record{}}
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
