package idempotency

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

var benchSizes = []int{1_000, 20_000, 200_000}

func benchTable(size int) (*Table, Instant) {
	bounds := Bounds{Keys: 1 << 30, AnswerBytes: 1 << 30, Lifetime: 10 * time.Minute, Margin: DefaultMargin}
	table, now := NewTable(bounds), NewClock().Now()
	for i := range size {
		table.Claim(now, newKey(now.Wall, uint64(i)), Attempt{1}, time.Second, true)
	}
	return table, now
}

// BenchmarkClaimSettle measures one claim with its settlement at the key owner, under its group's
// lock and checks.
func BenchmarkClaimSettle(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("keys=%d", size), func(b *testing.B) {
			table, now := benchTable(size)
			self := Identity{ID: "n", Incarnation: 1}
			g := NewGroup(self, "s", DefaultConfig(), table)
			g.Handle(now, RecordReceived{Record: &Record{Epoch: 1, Region: "r", Outage: 1e6, Members: []Member{{Identity: self}}}})
			g.Handle(now, RecordRead{Started: now, Record: g.Record(), Revision: 1})
			g.Handle(now, Tick{})
			keys := make([]Key, b.N)
			for i := range keys {
				keys[i] = newKey(now.Wall, uint64(size+i))
			}
			answer := &Answer{Status: 200, Body: make([]byte, 200)}
			b.ReportAllocs()
			b.ResetTimer()
			for _, key := range keys {
				reply := g.Claim(now, ClaimRequest{Service: "s", Epoch: 1, To: self, Key: key, Attempt: Attempt{2}, TimeLeft: time.Second})
				if reply.Verdict != Granted {
					b.Fatal(reply.Verdict)
				}
				g.Settle(now, SettleRequest{Service: "s", Epoch: 1, To: self, Key: key, Attempt: Attempt{2}, Outcome: OutcomeDone, Answer: answer})
			}
		})
	}
}

// BenchmarkExpire measures a sweep that deletes nothing.
func BenchmarkExpire(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("keys=%d", size), func(b *testing.B) {
			table, now := benchTable(size)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				table.Expire(now)
			}
		})
	}
}

// BenchmarkMemoryPerKey reports the live heap per key that holds an attempt, without answer.
func BenchmarkMemoryPerKey(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("keys=%d", size), func(b *testing.B) {
			for range b.N {
				before := liveHeap()
				table, _ := benchTable(size)
				b.ReportMetric(float64(liveHeap()-before)/float64(size), "B/key")
				runtime.KeepAlive(table)
			}
		})
	}
}

func liveHeap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
