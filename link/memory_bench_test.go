package link_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/magnoliawharf/magnoliawharf/instance"
	"github.com/magnoliawharf/magnoliawharf/link"
)

// upstreamsPerService is the average number of upstreams of a service at the target size of 3,200 upstreams in 370
// services.
const upstreamsPerService = 8

// BenchmarkMemory measures the memory per link at an entry node that sends requests to every service.
func BenchmarkMemory(b *testing.B) {
	for _, count := range []int{320, 3200, 12800} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			for range b.N {
				b.ReportMetric(float64(linkMemory(b, count))/float64(count), "B/link")
			}
		})
	}
}

func linkMemory(b *testing.B, count int) int64 {
	b.Helper()
	fleet := instance.NewFleet()
	for i := range count {
		fleet.Merge(instance.Record{
			ID: instance.ID(fmt.Sprintf("node-%05d", i)), Incarnation: 1, State: instance.Ready, Slots: 12,
			DataCentre: fmt.Sprintf("dc-%02d", i%17), Service: fmt.Sprintf("service-%04d", i/upstreamsPerService),
		})
	}
	before := heapInUse()
	table := link.NewTable(fleet)
	for i := 0; i < count; i += upstreamsPerService {
		set := table.Set(fmt.Sprintf("service-%04d", i/upstreamsPerService))
		chosen, err := set.Choose(time.Now(), link.Short, func(instance.ID) bool { return false })
		if err != nil {
			b.Fatal(err)
		}
		chosen.End(time.Now(), chosen.Begin(time.Now(), link.Short), link.Served, &link.Report{Slots: 12})
	}
	used := heapInUse() - before
	runtime.KeepAlive(table)
	return used
}

func heapInUse() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
