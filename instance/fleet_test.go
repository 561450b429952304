package instance_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/magnoliawharf/magnoliawharf/instance"
)

// Guards against indexes and digests that differ from the records, and against a newer record replaced by an older one.
func TestFleetIndexesMatchScan(t *testing.T) {
	names := rapid.SampledFrom([]string{"a", "b", "c"})
	rapid.Check(t, func(r *rapid.T) {
		fleet := instance.NewFleet()
		model := make(map[instance.ID]instance.Record)
		r.Repeat(map[string]func(*rapid.T){
			"merge": func(r *rapid.T) {
				next := instance.Record{
					ID: instance.ID(names.Draw(r, "id")), Incarnation: rapid.Uint64Range(1, 3).Draw(r, "incarnation"),
					StateVersion: rapid.Uint64Range(0, 3).Draw(r, "version"), DataCentre: names.Draw(r, "centre"),
					Service: names.Draw(r, "service"), State: instance.State(rapid.IntRange(0, int(instance.Failed)).Draw(r, "state")),
				}
				current, found := model[next.ID]
				newer := !found || next.Newer(current)
				assert.Equal(r, fleet.Merge(next), newer)
				if newer {
					model[next.ID] = next
				}
			},
			"remove": func(r *rapid.T) {
				id := instance.ID(names.Draw(r, "id"))
				fleet.Remove(id)
				delete(model, id)
			},
			"": func(r *rapid.T) {
				for _, name := range []string{"a", "b", "c"} {
					served := func(m instance.Record) bool { return m.Service == name && !m.State.Gone() }
					within := func(m instance.Record) bool { return m.DataCentre == name && !m.State.Gone() }
					assert.Equal(r, len(fleet.Service(name)), len(fleet.Select(served)))
					scan, digest := fleet.Select(within), uint64(0)
					for i, m := range fleet.DataCentre(name) {
						assert.Equal(r, m, scan[i])
						assert.Equal(r, m, model[m.ID])
						digest ^= m.Digest()
					}
					sum, count := fleet.Digest(name)
					assert.Equal(r, sum, digest)
					assert.Equal(r, count, len(scan))
				}
			},
		})
	})
}

// Guards against a late message with an older record that restores an instance that left, and against records of
// gone instances that are never deleted.
func TestGoneRecordsExpireAfterRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := instance.NewFleet()
		old := instance.Record{ID: "a", Incarnation: 1, DataCentre: "dc", State: instance.Ready}
		gone := old
		gone.StateVersion, gone.State = 1, instance.Left
		fleet.Merge(old)
		fleet.Merge(gone)
		time.Sleep(instance.GoneRetention)
		fleet.PruneGone(time.Now())
		assert.Assert(t, !fleet.Merge(old))
		time.Sleep(time.Second)
		fleet.PruneGone(time.Now())
		assert.Equal(t, fleet.Len(), 0)
	})
}

// BenchmarkFleetService measures the lookup by service that each request makes, by the number of records.
func BenchmarkFleetService(b *testing.B) {
	for _, size := range []int{320, 3200, 12800} {
		b.Run(fmt.Sprintf("records=%d", size), func(b *testing.B) {
			fleet := instance.NewFleet()
			for i := range size {
				fleet.Merge(instance.Record{
					ID: instance.ID(fmt.Sprint(i)), Incarnation: 1, State: instance.Ready, Service: fmt.Sprint("service-", i%370),
				})
			}
			for b.Loop() {
				fleet.Service("service-7")
			}
		})
	}
}
